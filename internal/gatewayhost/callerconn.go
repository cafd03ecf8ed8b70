package gatewayhost

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// limitsSource returns the limits of the current configuration.
type limitsSource func() routing.Limits

// limitedListener accepts callers' connections and applies the timeouts of the
// current configuration to them. The timeouts of an http.Server are fixed, but the
// configuration changes while it serves.
type limitedListener struct {
	net.Listener
	limits limitsSource
	memory *membudget.Budget // of the heads being received; nil: no limit

	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newLimitedListener(ln net.Listener, limits limitsSource, memory *membudget.Budget) *limitedListener {
	return &limitedListener{Listener: ln, limits: limits, memory: memory, conns: map[*callerConn]bool{}}
}

// Accept waits for the next connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: c, limits: l.limits, head: callerHead{conn: c, budget: l.memory}}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
	return conn, nil
}

// closeIdle closes the idle connections. http.Server.Shutdown counts a connection as
// idle until it has read the whole header of the next request, so it may close one on
// which a request is being received: the request then runs and its response is lost.
func (l *limitedListener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeIfIdle()
	}
}

// count returns the number of open connections.
func (l *limitedListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// countServing returns the number of connections on which a request is being served.
func (l *limitedListener) countServing() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if c.isServing() {
			n++
		}
	}
	return n
}

// trackState records the state of a connection; it is the http.Server.ConnState hook.
func (l *limitedListener) trackState(c net.Conn, s http.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok {
		return
	}
	conn.setState(s)
	if s != http.StateNew {
		conn.head.end()
	}
	if s == http.StateClosed || s == http.StateHijacked {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, conn)
	}
}

// callerConn is a connection of a caller. The HTTP server sets a read deadline for
// the idle time between two requests and one for the header of each; callerConn
// replaces them by those of the current configuration.
type callerConn struct {
	net.Conn
	limits limitsSource
	head   callerHead
	// responded is set after a response: the next read deadline is the idle timeout
	// before another request.
	responded atomic.Bool

	mu           sync.Mutex
	requestCount int  // requests, including the one being served
	idle         bool // nothing was read since the last response
	serving      bool // a request is being served
	readAhead    bool // bytes were read while a request was served
	closing      bool // reads return no more data
}

// Read reads from the connection. Bytes that arrive while an idle connection is being
// closed are dropped, so that no request is served whose response would be lost.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if refused := c.head.received(n, c.isServing()); refused != nil {
		return 0, refused
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idle = false
		c.readAhead = c.serving
	}
	return n, err
}

// setState records the state of the connection. Bytes read while a request was served
// may be the start of the next one, so the connection then doesn't count as idle.
func (c *callerConn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = s == http.StateActive
	switch s {
	case http.StateActive:
		c.requestCount++
		c.readAhead = false
	case http.StateIdle:
		c.idle = !c.readAhead
		c.responded.Store(true)
	}
}

// isServing reports whether a request is being served.
func (c *callerConn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving
}

// closeIfIdle closes the connection if it is idle.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return
	}
	c.closing = true
	_ = c.Conn.Close() // it may be closed already
}

// SetReadDeadline replaces a deadline in the future by that of the configuration,
// if it sets one.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.After(now) {
		if limit := c.readTimeout(); limit > 0 {
			t = now.Add(limit)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// readTimeout returns the configured timeout of the next read: the idle timeout after a
// response, the header timeout otherwise; 0: the configuration sets none.
func (c *callerConn) readTimeout() time.Duration {
	l := c.limits()
	if c.responded.Swap(false) {
		return l.IdleTimeout
	}
	return l.HeaderTimeout
}

// First implements gateway.CallerConn.
func (c *callerConn) First() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestCount <= 1
}

// RoundTrip implements gateway.CallerConn.
func (c *callerConn) RoundTrip() time.Duration { return roundTrip(c.Conn) }
