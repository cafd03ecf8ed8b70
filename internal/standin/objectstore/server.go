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
	shutdownLimit = time.Second // for calls in flight
)

// Server serves a store on a listener.
type Server struct {
	http  http.Server
	store *Store
	ended chan struct{} // closes at the shutdown
	once  sync.Once
}

// NewServer returns a server for the store.
func NewServer(s *Store) *Server {
	srv := &Server{http: http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}, store: s, ended: make(chan struct{})}
	srv.http.RegisterOnShutdown(s.endWatches)
	return srv
}

// Serve answers calls, and copies the store, until Shutdown; it then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	go s.store.KeepCopies(s.ended)
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return Error.New("serve: %w", err)
	}
	return nil
}

// Shutdown takes no more calls, ends the watches that wait, and lets other
// calls in flight end for a moment; those that hang are then cut.
func (s *Server) Shutdown(ctx context.Context) error {
	s.once.Do(func() { close(s.ended) })
	ctx, cancel := context.WithTimeout(ctx, shutdownLimit)
	defer cancel()
	if err := s.http.Shutdown(ctx); err == nil {
		return nil
	}
	return Error.Wrap(s.http.Close())
}
