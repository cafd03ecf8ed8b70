// Package peer carries the calls between hosts over drpc: one listener a
// host, and one pool of connections to the others.
package peer

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server takes the calls of other hosts. Modules register their drpc services
// before Start.
type Server struct {
	address string
	mux     *drpcmux.Mux
	ln      net.Listener
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewServer returns a server that will listen on address.
func NewServer(address string) *Server {
	return &Server{address: address, mux: drpcmux.New(), done: make(chan struct{})}
}

// Register adds a drpc service, as the generated DRPCRegister functions want.
func (s *Server) Register(srv any, desc drpc.Description) error { return s.mux.Register(srv, desc) }

// Listen opens the listener before Start, so that its address is known to
// modules that tell it to others. Without it Start listens.
func (s *Server) Listen() error {
	if s.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return Error.New("listen for peers: %w", err)
	}
	s.ln = ln
	return nil
}

// Start listens and serves until Stop.
func (s *Server) Start(context.Context) error {
	if err := s.Listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		defer close(s.done)
		_ = drpcserver.New(s.mux).Serve(ctx, s.ln) // ends with ctx; errors of single connections are the callers' to report
	}()
	return nil
}

// Addr returns the address listened on, after Listen or Start.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop closes the listener and every connection.
func (s *Server) Stop(context.Context) error {
	if s.cancel == nil {
		return s.closeUnused()
	}
	s.cancel()
	<-s.done
	return nil
}

// closeUnused closes a listener that never served.
func (s *Server) closeUnused() error {
	if s.ln == nil {
		return nil
	}
	if err := s.ln.Close(); err != nil {
		return Error.New("close unused listener: %w", err)
	}
	return nil
}
