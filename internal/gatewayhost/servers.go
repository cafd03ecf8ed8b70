package gatewayhost

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/listen"
)

// Bounds of a connection where the configuration sets none. A header up to
// maxHeader bytes is read, so that one over the configuration's limit is told so.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 256 << 10 // bytes; the limits known are a sixteenth of it
)

// listeners are the addresses of a host.
type listeners struct{ callers, readiness, metrics, peers net.Listener }

func listenOn(s System, a Addresses) (listeners, error) {
	all, err := listen.AllOn(s.Listen,
		listen.Address{Name: "callers", Address: a.Callers},
		listen.Address{Name: "readiness", Address: a.Readiness},
		listen.Address{Name: "metrics", Address: a.Metrics},
		listen.Address{Name: "peers", Address: a.Peers},
	)
	if err != nil {
		return listeners{}, Error.Wrap(err)
	}
	return listeners{callers: all[0], readiness: all[1], metrics: all[2], peers: all[3]}, nil
}

// close closes what is still open.
func (l listeners) close() { listen.Close(l.callers, l.readiness, l.metrics, l.peers) }

// listener is an HTTP server as a module.
type listener struct {
	name   string
	on     net.Listener
	server *http.Server
	log    *event.Log
}

func newListener(name string, on net.Listener, h http.Handler, l *event.Log) *listener {
	return &listener{
		name: name, on: on, log: l,
		server: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeader,
			ErrorLog:          log.New(serverLog{l, name}, "", 0),
		},
	}
}

// serverLog turns the HTTP server's own messages into events.
type serverLog struct {
	log  *event.Log
	name string
}

// Write logs one message.
func (s serverLog) Write(b []byte) (int, error) {
	s.log.Event(evServerMessage).Str("listener", s.name).Str("message", string(b)).Msg("")
	return len(b), nil
}

// Start serves.
func (l *listener) Start(context.Context) error {
	go func() {
		if err := l.server.Serve(l.on); !errors.Is(err, http.ErrServerClosed) {
			l.log.Event(evListenerFailed).Str("listener", l.name).Err(err).Msg("")
		}
	}()
	return nil
}

// Stop takes no new connection and waits for requests in flight.
func (l *listener) Stop(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close() // what is left is cut; the error below says so
		return Error.New("requests of %s cut off: %w", l.name, err)
	}
	return nil
}

// callers is the listener for requests to forward.
type callers struct {
	*listener
	conns *limitedListener
}

func newCallers(on net.Listener, limits limitsFunc, h http.Handler, log *event.Log) *callers {
	conns := newLimitedListener(on, limits)
	l := newListener("callers", conns, h, log)
	l.server.ConnState = conns.noteState
	l.server.ConnContext = callerContext
	return &callers{l, conns}
}

// callerContext lets the gateway see the connection of a caller.
func callerContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*callerConn); ok {
		return gateway.WithCallerConn(ctx, conn)
	}
	return ctx
}

// closeIdle closes the connections that wait for a request. The others end after
// their answer, which says so; new ones are still taken, for one request each.
func (c *callers) closeIdle() { c.conns.closeIdle() }

func newReadiness(on net.Listener, path string, g *gateway.Gateway, log *event.Log) *listener {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if err := g.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return newListener("readiness", on, mux, log)
}

// Where counters and histograms are read. Those of the process stand apart: what was collected
// of an incident held the first lines of each reading only, which were Go's.
const (
	pathMetrics = "/metrics"
	pathRuntime = "/metrics/runtime"
)

func newMetrics(on net.Listener, product, runtime *prometheus.Registry, log *event.Log) *listener {
	mux := http.NewServeMux()
	mux.Handle("GET "+pathMetrics, promhttp.HandlerFor(product, promhttp.HandlerOpts{}))
	mux.Handle("GET "+pathRuntime, promhttp.HandlerFor(runtime, promhttp.HandlerOpts{}))
	return newListener("metrics", on, mux, log)
}
