// Package peer carries the calls between hosts over drpc: one listener a
// host, and one pool of connections to the others.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// closeGrace is how long Stop waits for the peers to close the connections
// that it has ended, and for calls that it cut off to notice.
const closeGrace = time.Second

// Server takes the calls of other hosts. Modules register their drpc services
// before Start.
type Server struct {
	address string
	mux     *drpcmux.Mux
	opts    options
	ln      net.Listener
	cancel  context.CancelFunc
	done    chan struct{}

	mu       sync.Mutex // guards the fields below
	conns    map[*countedConn]struct{}
	running  int
	stopping bool
	idle     chan struct{} // closed once stopping and no call runs
	empty    chan struct{} // closed once idle and no connection is open
}

// NewServer returns a server that will listen on address.
func NewServer(address string, opts ...Option) *Server {
	return &Server{
		address: address, mux: drpcmux.New(), opts: newOptions(opts),
		done: make(chan struct{}), conns: map[*countedConn]struct{}{},
		idle: make(chan struct{}), empty: make(chan struct{}),
	}
}

// Register adds a drpc service, as the generated DRPCRegister functions want.
func (s *Server) Register(srv any, desc drpc.Description) error { return s.mux.Register(srv, desc) }

// On makes the server use a listener that is open already, so that its
// address can be known before Start. The server closes it at Stop.
func (s *Server) On(ln net.Listener) { s.ln = ln }

// Start serves until Stop, and listens first unless it was given a listener.
func (s *Server) Start(context.Context) error {
	if s.ln == nil {
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			return Error.New("listen for peers: %w", err)
		}
		s.ln = ln
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	server := drpcserver.NewWithOptions(handler{s}, drpcserver.Options{Manager: s.opts.manager(sideServer)})
	go func() {
		defer close(s.done)
		_ = server.Serve(ctx, listener{s.ln, s, ctx}) // ends with ctx; errors of single connections are the callers' to report
	}()
	return nil
}

// Addr returns the address listened on, after On or Start.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop takes no more connections, refuses new calls as not run, and lets
// those that run finish until ctx is done. Then it closes every connection;
// an error tells how many calls that cut off.
func (s *Server) Stop(ctx context.Context) error {
	if s.ln == nil {
		return nil
	}
	_ = s.ln.Close() // its owner may have closed it
	if s.cancel == nil {
		return nil
	}
	s.refuse()
	cut := s.drain(ctx)
	if cut == 0 {
		s.finish(ctx)
	}
	s.cancel()
	select {
	case <-s.done:
	case <-time.After(closeGrace):
		return Error.New("stop: %d calls were cut off and did not end", cut)
	}
	if cut > 0 {
		return Error.New("stop: %d calls were cut off: %w", cut, ctx.Err())
	}
	return nil
}

// refuse makes every call from now on fail as not run.
func (s *Server) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.settle()
}

// settle closes idle and empty when their time has come. s.mu is held.
func (s *Server) settle() {
	if s.stopping && s.running == 0 {
		closeOnce(s.idle)
	}
	if s.stopping && len(s.conns) == 0 {
		closeOnce(s.empty)
	}
}

// closeOnce closes a channel that is closed under one lock only.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// drain waits until no call runs, and returns how many still do when ctx is done.
func (s *Server) drain(ctx context.Context) int {
	select {
	case <-s.idle:
		return 0
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// finish ends the sending side of every connection and waits until the peers
// have read to the end and closed. Closing at once could destroy an answer
// that its caller has not read yet.
func (s *Server) finish(ctx context.Context) {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.closeWrite() // a connection that fails is closed already
	}
	s.mu.Unlock()
	select {
	case <-s.empty:
	case <-ctx.Done():
	case <-time.After(closeGrace):
	}
}

// begin counts a call and reports whether it may run; end must follow.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return !s.stopping
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.settle()
}

func (s *Server) opened(c *countedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) closed(c *countedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.settle()
}

// handler runs the calls of one server.
type handler struct{ server *Server }

// HandleRPC runs one call, sends its end and counts it. The end is not left
// to drpc, which would send it after the call no longer counts as running.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) error {
	if tr, ok := drpcctx.Transport(stream.Context()); ok {
		if c, ok := tr.(*countedConn); ok {
			c.setClass(classOf(rpc))
		}
	}
	mayRun := h.server.begin()
	defer h.server.end()
	if !mayRun {
		return sendEnd(stream, errStopping)
	}
	err := h.server.mux.HandleRPC(stream, rpc)
	h.server.opts.metrics.calls.WithLabelValues(sideServer, rpc, result(err)).Inc()
	return sendEnd(stream, err)
}

// sendEnd tells the caller how its call ended.
func sendEnd(stream drpc.Stream, err error) error {
	if err == nil {
		return stream.CloseSend()
	}
	if s, ok := stream.(interface{ SendError(error) error }); ok {
		return s.SendError(err)
	}
	return err
}

// listener counts its connections. After it is closed Accept waits for ctx,
// because drpc would cut off running calls when Accept fails.
type listener struct {
	net.Listener
	server *Server
	ctx    context.Context
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		counted := countConn(c, l.server.opts.metrics, sideServer, l.server.closed)
		l.server.opened(counted)
		return counted, nil
	}
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return nil, err // such as too many open files: drpc tries again
	}
	<-l.ctx.Done()
	return nil, err
}
