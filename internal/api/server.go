// Package api serves the HTTP API of the goa design: one listener for callers
// and the balancer, one for operators.
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

// Server is one HTTP listener.
type Server struct {
	address string
	server  *http.Server
	ln      net.Listener
	serving bool
	log     *event.Log
}

// Host tells the listeners about the state of the process.
type Host interface {
	// Ready returns why the host takes no callers, or nil.
	Ready() error
	// Leaving reports whether the host is stopping.
	Leaving() bool
}

// NewCallers returns the listener for callers and the balancer.
func NewCallers(cfg Config, address string, entry Entry, host Host, log *event.Log) *Server {
	mux := goahttp.NewMuxer()
	endpoints := genquery.NewEndpoints(queryService{entry})
	queryserver.New(endpoints, mux, decoder, goahttp.ResponseEncoder, faults(log), format).Mount(mux)
	health := genhealth.NewEndpoints(healthService{host.Ready})
	healthserver.New(health, mux, decoder, goahttp.ResponseEncoder, faults(log), nil).Mount(mux)
	handler := http.MaxBytesHandler(mux, cfg.MaxBody)
	return newServer(cfg, address, closing(host, withRequestID(handler)), log)
}

// NewOperators returns the listener for operators: statements, metrics and
// health. Operators are authorized apart from callers.
func NewOperators(cfg Config, address string, operators []Operator, exec Executor, host Host, metrics prometheus.Gatherer, log *event.Log) *Server {
	mux := goahttp.NewMuxer()
	endpoints := genoperate.NewEndpoints(&operateService{operators: operators, exec: exec})
	operateserver.New(endpoints, mux, decoder, goahttp.ResponseEncoder, faults(log), format).Mount(mux)
	health := genhealth.NewEndpoints(healthService{host.Ready})
	healthserver.New(health, mux, decoder, goahttp.ResponseEncoder, faults(log), nil).Mount(mux)
	mux.Handle(http.MethodGet, "/metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}).ServeHTTP)
	handler := http.MaxBytesHandler(mux, cfg.MaxStatement)
	return newServer(cfg, address, withRequestID(handler), log)
}

func newServer(cfg Config, address string, handler http.Handler, log *event.Log) *Server {
	return &Server{address: address, log: log, server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: cfg.ReadTimeout.Std(),
		ReadTimeout:       cfg.ReadTimeout.Std(),
		IdleTimeout:       cfg.IdleTimeout.Std(),
	}}
}

// closing asks clients of a leaving host to close their connections, so that
// none sends a request on one that is about to be closed.
func closing(host Host, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if host.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// faults logs an answer that could not be written.
func faults(log *event.Log) func(context.Context, http.ResponseWriter, error) {
	return func(ctx context.Context, _ http.ResponseWriter, err error) {
		log.Event(evWriteFailed).Str("request", requestID(ctx)).Err(err).Msg("")
	}
}

// On makes the server use a listener that is open already, so that its
// address can be known before Start. The server closes it at Stop.
func (s *Server) On(ln net.Listener) { s.ln = ln }

// Start serves until Stop, and listens first unless it was given a listener.
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

// Addr returns the address listened on, after On or Start.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop takes no new connections and waits for the requests in flight; when ctx
// is done first it cuts them off and says so.
func (s *Server) Stop(ctx context.Context) error {
	if !s.serving {
		return nil
	}
	if err := s.server.Shutdown(ctx); err != nil {
		return Error.New("requests in flight on %s were cut off: %w", s.address, errors.Join(err, s.server.Close()))
	}
	return nil
}
