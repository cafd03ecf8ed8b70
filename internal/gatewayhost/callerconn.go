package gatewayhost

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// limitsFunc returns the limits of the configuration in force.
type limitsFunc func() routing.Limits

// limitedListener accepts callers' connections under the limits of the
// configuration in force. The HTTP server knows fixed times only, and the
// configuration changes while it serves.
type limitedListener struct {
	net.Listener
	limits limitsFunc

	mu   sync.Mutex
	open map[*callerConn]bool
}

func newLimitedListener(on net.Listener, limits limitsFunc) *limitedListener {
	return &limitedListener{Listener: on, limits: limits, open: map[*callerConn]bool{}}
}

// Accept waits for the next connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limited := &callerConn{Conn: c, limits: l.limits}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[limited] = true
	return limited, nil
}

// closeIdle closes the connections that wait for a request. The HTTP server's own
// way closes one whose request has just been read, too, as it takes it for idle
// until the whole header is there: the request then runs and its answer is lost.
func (l *limitedListener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.closeIfIdle()
	}
}

// noteState follows what the server does with a connection; it is an
// http.Server.ConnState.
func (l *limitedListener) noteState(c net.Conn, s http.ConnState) {
	limited, ok := c.(*callerConn)
	if !ok {
		return
	}
	limited.note(s)
	if s == http.StateClosed || s == http.StateHijacked {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, limited)
	}
}

// callerConn is a connection of a caller. The server sets a read deadline for
// the wait between two requests and one for the header of each; the time that
// the configuration allows takes its place.
type callerConn struct {
	net.Conn
	limits limitsFunc
	// waits is set when an answer was sent: the next deadline is that of the
	// wait for another request.
	waits atomic.Bool

	mu      sync.Mutex
	served  int  // requests, the one that is served included
	idle    bool // an answer was sent, and nothing was read since
	serving bool
	early   bool // something was read while a request was served
	closing bool // nothing that is read from now on is served
}

// Read reads what the caller sends. What crosses the close of an idle connection
// is dropped, so that it is not served.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idle = false
		c.early = c.serving
	}
	return n, err
}

// note follows the state of the connection. Bytes that came while a request was
// served may be the start of the next one, so the connection is not idle after.
func (c *callerConn) note(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = s == http.StateActive
	switch s {
	case http.StateActive:
		c.served++
		c.early = false
	case http.StateIdle:
		c.idle = !c.early
		c.waits.Store(true)
	}
}

// closeIfIdle closes the connection if it waits for a request.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return
	}
	c.closing = true
	_ = c.Conn.Close() // it may be closed already
}

// SetReadDeadline sets the deadline that the configuration allows in place of
// one in the future.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.After(now) {
		if limit := c.limit(); limit > 0 {
			t = now.Add(limit)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// limit returns the time for what the connection is read for next; 0: the
// configuration sets none.
func (c *callerConn) limit() time.Duration {
	l := c.limits()
	if c.waits.Swap(false) {
		return l.IdleTimeout
	}
	return l.HeaderTimeout
}

// First implements gateway.CallerConn.
func (c *callerConn) First() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served <= 1
}

// RoundTrip implements gateway.CallerConn.
func (c *callerConn) RoundTrip() time.Duration { return roundTrip(c.Conn) }
