package api

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	goahttp "goa.design/goa/v3/http"

	genhealth "rhubarbwood.example/rhubarbwood/gen/health"
	healthserver "rhubarbwood.example/rhubarbwood/gen/http/health/server"
	operateserver "rhubarbwood.example/rhubarbwood/gen/http/operate/server"
	queryserver "rhubarbwood.example/rhubarbwood/gen/http/query/server"
	genoperate "rhubarbwood.example/rhubarbwood/gen/operate"
	genquery "rhubarbwood.example/rhubarbwood/gen/query"
	"rhubarbwood.example/rhubarbwood/internal/event"
)

// Server is one HTTP listener and its server.
type Server struct {
	address string
	server  *http.Server
	ln      net.Listener
	serving bool
	log     *event.Log
}

// Host is the state of the process that the listeners report.
type Host interface {
	// Ready returns the reason why the host doesn't accept callers, or nil.
	Ready() error
	// Leaving reports whether the host is stopping.
	Leaving() bool
}

// NewCallerServer returns the listener for callers and the balancer.
func NewCallerServer(cfg Config, address string, entry Entry, host Host, log *event.Log) *Server {
	mux := goahttp.NewMuxer()
	endpoints := genquery.NewEndpoints(queryService{entry})
	queryserver.New(endpoints, mux, newDecoder, goahttp.ResponseEncoder, logWriteErrors(log), formatError).Mount(mux)
	health := genhealth.NewEndpoints(healthService{host.Ready})
	healthserver.New(health, mux, newDecoder, goahttp.ResponseEncoder, logWriteErrors(log), nil).Mount(mux)
	handler := http.MaxBytesHandler(mux, cfg.MaxBody)
	s := newServer(cfg, address, withWait(closeWhenLeaving(host, withRequestID(handler))), log)
	s.server.ConnContext = withConn
	return s
}

// NewOperatorServer returns the listener for operators: statements, metrics and
// health. Only statements require an operator's bearer token.
func NewOperatorServer(cfg Config, address string, operators []Operator, exec Executor, host Host, metrics prometheus.Gatherer, log *event.Log) *Server {
	mux := goahttp.NewMuxer()
	endpoints := genoperate.NewEndpoints(&operateService{operators: operators, exec: exec})
	operateserver.New(endpoints, mux, newDecoder, goahttp.ResponseEncoder, logWriteErrors(log), formatError).Mount(mux)
	health := genhealth.NewEndpoints(healthService{host.Ready})
	healthserver.New(health, mux, newDecoder, goahttp.ResponseEncoder, logWriteErrors(log), nil).Mount(mux)
	mux.Handle(http.MethodGet, "/metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}).ServeHTTP)
	handler := http.MaxBytesHandler(mux, cfg.MaxStatement)
	return newServer(cfg, address, withRequestID(handler), log)
}

// maxHeaderBytes is the maximum size of the header of a request.
const maxHeaderBytes = 32 << 10

func newServer(cfg Config, address string, handler http.Handler, log *event.Log) *Server {
	return &Server{address: address, log: log, server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: cfg.ReadTimeout.Std(),
		ReadTimeout:       cfg.ReadTimeout.Std(),
		IdleTimeout:       cfg.IdleTimeout.Std(),
		MaxHeaderBytes:    maxHeaderBytes,
	}}
}

// closeWhenLeaving closes connections after their response while the host is
// leaving, so that no client sends a request on a connection that is about to be
// closed.
func closeWhenLeaving(host Host, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if host.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// logWriteErrors returns an error handler that logs responses that could not be
// written.
func logWriteErrors(log *event.Log) func(context.Context, http.ResponseWriter, error) {
	return func(ctx context.Context, _ http.ResponseWriter, err error) {
		log.Event(evWriteFailed).Str("request", requestID(ctx)).Err(err).Msg("")
	}
}

// UseListener makes the server use a listener that is already open, so that its address
// is available before Start. Stop closes it.
func (s *Server) UseListener(ln net.Listener) { s.ln = ln }

// Start serves in the background until Stop. It opens a listener unless UseListener has
// set one.
func (s *Server) Start(context.Context) error {
	if s.ln == nil {
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			return Error.New("listen: %w", err)
		}
		s.ln = ln
	}
	s.serving = true
	go func() {
		if err := s.server.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
			s.log.Event(evServeFailed).Str("address", s.address).Err(err).Msg("")
		}
	}()
	return nil
}

// Addr returns the listener's address. It must not be called before UseListener or Start.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop accepts no new connections and waits for the requests in flight. If ctx
// ends first, it closes their connections and returns an error.
func (s *Server) Stop(ctx context.Context) error {
	if !s.serving {
		return nil
	}
	if err := s.server.Shutdown(ctx); err != nil {
		return Error.New("requests in flight on %s were cut off: %w", s.address, errors.Join(err, s.server.Close()))
	}
	return nil
}
