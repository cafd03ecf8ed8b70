package gatewayhost

import (
	"net"
	"net/http"
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
}

// Accept waits for the next connection.
func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits}, nil
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

// noteState follows what the server does with a connection; it is an
// http.Server.ConnState.
func noteState(c net.Conn, s http.ConnState) {
	if limited, ok := c.(*callerConn); ok && s == http.StateIdle {
		limited.waits.Store(true)
	}
}
