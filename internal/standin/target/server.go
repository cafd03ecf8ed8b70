package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const headerTimeout = 10 * time.Second

// Server serves a target on a listener over HTTP/1.1 and h2c, and applies the target's connection
// limit and connection cost.
type Server struct {
	http    http.Server
	control http.Server
	target  *Target
}

// NewServer returns a server for the target.
func NewServer(t *Target) *Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{
		target:  t,
		http:    http.Server{Handler: t.Handler(), Protocols: &protocols, ReadHeaderTimeout: headerTimeout},
		control: http.Server{Handler: t.controlHandler(), ReadHeaderTimeout: headerTimeout},
	}
}

// Serve handles requests until Shutdown and then returns nil. It also opens the control listener,
// if one is configured.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.listenControl(); err != nil {
		return err
	}
	if err := s.http.Serve(&listener{Listener: ln, target: s.target}); !errors.Is(err, http.ErrServerClosed) {
		return Error.New("serve: %w", err)
	}
	return nil
}

func (s *Server) listenControl() error {
	address := s.target.cfg.ControlListen
	if address == "" {
		return nil
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return Error.New("listen for control: %w", err)
	}
	go func() { _ = s.ServeControl(ln) }() // returns at Shutdown
	return nil
}

// ServeControl serves the control paths on another listener until Shutdown, and then returns nil.
func (s *Server) ServeControl(ln net.Listener) error {
	if err := s.control.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return Error.New("serve control: %w", err)
	}
	return nil
}

// Shutdown stops accepting connections and waits for the requests in flight; it cuts them when ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(Error.New("shutdown: %w", err), Error.Wrap(s.http.Close()))
	}
	return errors.Join(err, Error.Wrap(s.control.Close()))
}

// listener closes connections beyond the limit right after accepting them and counts the others.
type listener struct {
	net.Listener
	target *Target
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.target.connectionOpened() {
			return &conn{Conn: c, target: l.target}, nil
		}
		_ = c.Close() // refused before any byte is exchanged
	}
}

// connectionOpened counts a connection. It returns false if the limit is reached.
func (t *Target) connectionOpened() (ok bool) {
	t.counts.update(func(c *Counters) {
		if t.cfg.Connections > 0 && c.Connections >= t.cfg.Connections {
			c.ConnectionsRefused++
			return
		}
		ok = true
		c.Connections++
		c.ConnectionsOpened++
		c.ConnectionsMax = max(c.ConnectionsMax, c.Connections)
	})
	return ok
}

func (t *Target) connectionClosed() { t.counts.update(func(c *Counters) { c.Connections-- }) }

// conn delays its first read by the connection cost.
type conn struct {
	net.Conn
	target *Target
	opened sync.Once
	closed sync.Once
}

// Read sleeps for the connection cost on the first call.
func (c *conn) Read(b []byte) (int, error) {
	c.opened.Do(func() { time.Sleep(c.target.cfg.ConnectionCost.Std()) })
	return c.Conn.Read(b)
}

// Close closes the connection and counts it once.
func (c *conn) Close() error {
	c.closed.Do(c.target.connectionClosed)
	return c.Conn.Close()
}
