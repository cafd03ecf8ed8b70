package objectstore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerTimeout = 10 * time.Second
	shutdownGrace = time.Second // for calls in flight
)

// Server serves a store on a listener.
type Server struct {
	http     http.Server
	store    *Store
	stopped  chan struct{} // closed by Shutdown
	stopOnce sync.Once
}

// NewServer returns a server for the store.
func NewServer(s *Store) *Server {
	srv := &Server{http: http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}, store: s, stopped: make(chan struct{})}
	srv.http.RegisterOnShutdown(s.endWatches)
	return srv
}

// Serve handles requests and takes backups until Shutdown, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	go s.store.TakeBackups(s.stopped)
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return Error.New("serve: %w", err)
	}
	return nil
}

// Shutdown stops accepting calls, ends pending watches and waits up to shutdownGrace for other
// calls in flight; those that still hang are then cut.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopOnce.Do(func() { close(s.stopped) })
	ctx, cancel := context.WithTimeout(ctx, shutdownGrace)
	defer cancel()
	if err := s.http.Shutdown(ctx); err == nil {
		return nil
	}
	return Error.Wrap(s.http.Close())
}
