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
	"rhubarbwood.example/rhubarbwood/internal/membudget"
)

// Limits of a connection where the configuration sets none. maxHeaderBytes exceeds the
// configuration's limit, so that a request above that limit is read and gets a response
// that says so.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	maxHeaderBytes       = 256 << 10 // 16 times the limit in known configurations
	// maxProbeHeaderBytes is the limit for readiness checks and scrapes of metrics.
	maxProbeHeaderBytes = 16 << 10
)

// listeners are the open listeners of a host.
type listeners struct{ callers, readiness, metrics, peers net.Listener }

func listenAll(s System, a Addresses) (listeners, error) {
	opened, err := listen.AllWith(s.Listen,
		listen.Address{Name: "callers", Address: a.Callers},
		listen.Address{Name: "readiness", Address: a.Readiness},
		listen.Address{Name: "metrics", Address: a.Metrics},
		listen.Address{Name: "peers", Address: a.Peers},
	)
	if err != nil {
		return listeners{}, Error.Wrap(err)
	}
	return listeners{callers: opened[0], readiness: opened[1], metrics: opened[2], peers: opened[3]}, nil
}

// close closes the listeners that are still open.
func (l listeners) close() { listen.Close(l.callers, l.readiness, l.metrics, l.peers) }

// httpListener is a kernel module with an HTTP server on one listener.
type httpListener struct {
	name     string
	listener net.Listener
	server   *http.Server
	log      *event.Log
	served   chan struct{} // closed when the server accepts no more connections
}

func newHTTPListener(name string, ln net.Listener, h http.Handler, l *event.Log) *httpListener {
	return &httpListener{
		name: name, listener: ln, log: l, served: make(chan struct{}),
		server: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: defaultHeaderTimeout,
			IdleTimeout:       defaultIdleTimeout,
			MaxHeaderBytes:    maxProbeHeaderBytes,
			ErrorLog:          log.New(serverLog{l, name}, "", 0),
		},
	}
}

// serverLog is an io.Writer that logs the HTTP server's messages as events.
type serverLog struct {
	log  *event.Log
	name string
}

// Write logs one message.
func (s serverLog) Write(b []byte) (int, error) {
	s.log.Event(evServerMessage).Str("listener", s.name).Str("message", string(b)).Msg("")
	return len(b), nil
}

// Start starts serving in the background.
func (l *httpListener) Start(context.Context) error {
	go func() {
		defer close(l.served)
		if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
			l.log.Event(evListenerFailed).Str("listener", l.name).Err(err).Msg("")
		}
	}()
	return nil
}

// Stop closes the listener and waits for requests in flight until ctx is done, then cuts them off.
func (l *httpListener) Stop(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close() // cuts off the requests in flight; the error below reports it
		return Error.New("stop listener %s: requests in flight were cut off: %w", l.name, err)
	}
	return nil
}

// callerListener is the HTTP listener for requests to forward.
type callerListener struct {
	*httpListener
	conns *limitedListener
	// beforeCut is called before connections with requests in flight are closed.
	beforeCut func()
}

func newCallerListener(ln net.Listener, limits limitsSource, memory *membudget.Budget, h http.Handler, log *event.Log) *callerListener {
	conns := newLimitedListener(ln, limits, memory)
	l := newHTTPListener("callers", conns, h, log)
	l.server.MaxHeaderBytes = maxHeaderBytes
	l.server.DisableGeneralOptionsHandler = true // "OPTIONS *" would be answered 200 without the gateway
	l.server.ConnState = conns.trackState
	l.server.ConnContext = callerContext
	return &callerListener{httpListener: l, conns: conns, beforeCut: func() {}}
}

// connCheckInterval is the interval at which Stop checks whether all connections are closed. http.Server.Shutdown
// checks up to half a second apart, which would leave the modules that stop later no time.
const connCheckInterval = 10 * time.Millisecond

// Stop closes the listener and waits until the connections are closed, each after the response to its request. When
// ctx is done it closes those that remain.
func (c *callerListener) Stop(ctx context.Context) error {
	shutdown := make(chan error, 1)
	go func() { shutdown <- c.server.Shutdown(ctx) }()
	<-c.served // from here on every accepted connection is counted
	check := time.NewTicker(connCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-check.C:
			if c.conns.count() == 0 {
				return nil
			}
		case err := <-shutdown:
			if err == nil {
				return nil
			}
			return c.closeAll(err)
		}
	}
}

// closeAll closes all connections. The error says how many requests that cut off.
func (c *callerListener) closeAll(cause error) error {
	c.beforeCut()
	cut := c.conns.countServing()
	_ = c.server.Close() // the connections are not used any more
	if cut == 0 {
		return nil
	}
	return Error.New("stop listener %s: %d requests in flight were cut off: %w", c.name, cut, cause)
}

// callerContext makes the caller's connection available to the gateway.
func callerContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*callerConn); ok {
		return gateway.WithCallerConn(ctx, conn)
	}
	return ctx
}

// closeIdle closes the idle connections. The others are closed after the response to
// their current request, which has "Connection: close"; new connections are still
// accepted, for one request each.
func (c *callerListener) closeIdle() { c.conns.closeIdle() }

func newReadinessListener(ln net.Listener, path string, g *gateway.Gateway, log *event.Log) *httpListener {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if err := g.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return newHTTPListener("readiness", ln, mux, log)
}

// Paths of the metrics. The metrics of the process and the Go runtime have a path of their own:
// the data collected in an incident had only the first lines of each scrape, which were Go's.
const (
	pathMetrics = "/metrics"
	pathRuntime = "/metrics/runtime"
)

func newMetricsListener(ln net.Listener, product, runtime *prometheus.Registry, log *event.Log) *httpListener {
	mux := http.NewServeMux()
	mux.Handle("GET "+pathMetrics, promhttp.HandlerFor(product, promhttp.HandlerOpts{}))
	mux.Handle("GET "+pathRuntime, promhttp.HandlerFor(runtime, promhttp.HandlerOpts{}))
	return newHTTPListener("metrics", ln, mux, log)
}
