package objectstore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	headerTimeout = 10 * time.Second
	shutdownLimit = time.Second // for calls in flight
)

// Server serves a store on a listener.
type Server struct{ http http.Server }

// NewServer returns a server for the store.
func NewServer(s *Store) *Server {
	srv := &Server{http: http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}}
	srv.http.RegisterOnShutdown(s.endWatches)
	return srv
}

// Serve answers calls until Shutdown; it then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return Error.New("serve: %w", err)
	}
	return nil
}

// Shutdown takes no more calls, ends the watches that wait, and lets other
// calls in flight end for a moment; those that hang are then cut.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownLimit)
	defer cancel()
	if err := s.http.Shutdown(ctx); err == nil {
		return nil
	}
	return Error.Wrap(s.http.Close())
}
