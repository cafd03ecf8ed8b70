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
)

// Bounds of a caller's connection, wider than those of any configuration.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10 // bytes
)

// listener is an HTTP server as a module.
type listener struct {
	name    string
	address string
	server  *http.Server
	log     *event.Log
}

func newListener(name, address string, h http.Handler, l *event.Log) *listener {
	return &listener{
		name: name, address: address, log: l,
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

// Start listens and serves.
func (l *listener) Start(context.Context) error {
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return Error.New("listen for %s: %w", l.name, err)
	}
	go func() {
		if err := l.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
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
type callers struct{ *listener }

func newCallers(address string, g *gateway.Gateway, log *event.Log) *callers {
	return &callers{newListener("callers", address, g, log)}
}

// closeIdle closes connections that have no request in flight, and the others
// after their answer. New connections are still taken, for one request each.
func (c *callers) closeIdle() { c.server.SetKeepAlivesEnabled(false) }

func newReadiness(address, path string, g *gateway.Gateway, log *event.Log) *listener {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if err := g.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return newListener("readiness", address, mux, log)
}

// pathMetrics is where counters and histograms are read.
const pathMetrics = "/metrics"

func newMetrics(address string, reg *prometheus.Registry, log *event.Log) *listener {
	mux := http.NewServeMux()
	mux.Handle("GET "+pathMetrics, promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	return newListener("metrics", address, mux, log)
}
