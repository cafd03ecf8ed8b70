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

// closeTimeout is how long Stop waits for the peers to close their connections,
// and for aborted calls to return.
const closeTimeout = time.Second

// Server serves the calls of other hosts. Modules register their drpc services
// before Start.
type Server struct {
	address   string
	mux       *drpcmux.Mux
	opts      options
	ln        net.Listener
	cancel    context.CancelFunc
	serveDone chan struct{}

	mu           sync.Mutex // guards the fields below
	conns        map[*countedConn]struct{}
	runningCalls int
	stopping     bool
	callsDone    chan struct{} // closed once the server is stopping and no call is running
	connsClosed  chan struct{} // closed once the server is stopping and no connection is open
}

// NewServer returns a server that will listen on address.
func NewServer(address string, opts ...Option) *Server {
	return &Server{
		address: address, mux: drpcmux.New(), opts: newOptions(opts),
		serveDone: make(chan struct{}), conns: map[*countedConn]struct{}{},
		callsDone: make(chan struct{}), connsClosed: make(chan struct{}),
	}
}

// Register adds a drpc service, as the generated DRPCRegister functions
// require.
func (s *Server) Register(srv any, desc drpc.Description) error { return s.mux.Register(srv, desc) }

// UseListener sets a listener that is already open, so that its address can be known
// before Start. Stop closes it.
func (s *Server) UseListener(ln net.Listener) { s.ln = ln }

// Start serves in the background until Stop. It opens a listener unless UseListener has
// set one.
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
	server := drpcserver.NewWithOptions(handler{s}, drpcserver.Options{Manager: s.opts.managerOptions(sideServer)})
	go func() {
		defer close(s.serveDone)
		_ = server.Serve(ctx, listener{s.ln, s, ctx}) // returns when ctx is done; callers report the errors of single connections
	}()
	return nil
}

// Addr returns the listener's address, after UseListener or Start.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop closes the listener, rejects new calls as not run, and waits for running
// calls until ctx is done. Then it closes every connection; an error reports
// how many calls that aborted.
func (s *Server) Stop(ctx context.Context) error {
	if s.ln == nil {
		return nil
	}
	_ = s.ln.Close() // may have been closed by its owner
	if s.cancel == nil {
		return nil
	}
	s.rejectNewCalls()
	abortedCalls := s.waitForCalls(ctx)
	if abortedCalls == 0 {
		s.closeGracefully(ctx)
	}
	s.cancel()
	select {
	case <-s.serveDone:
	case <-time.After(closeTimeout):
		return Error.New("stop: %d calls were cut off and did not end", abortedCalls)
	}
	if abortedCalls > 0 {
		return Error.New("stop: %d calls were cut off: %w", abortedCalls, ctx.Err())
	}
	return nil
}

// rejectNewCalls makes every further call fail as not run.
func (s *Server) rejectNewCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.signalIfDrained()
}

// signalIfDrained closes callsDone and connsClosed once their conditions hold.
// s.mu is held.
func (s *Server) signalIfDrained() {
	if s.stopping && s.runningCalls == 0 {
		closeOnce(s.callsDone)
	}
	if s.stopping && len(s.conns) == 0 {
		closeOnce(s.connsClosed)
	}
}

// closeOnce closes a channel that is not closed yet. All calls for one channel
// must be made under the same lock.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// waitForCalls waits until no call is running, and returns how many still are
// when ctx is done.
func (s *Server) waitForCalls(ctx context.Context) int {
	select {
	case <-s.callsDone:
		return 0
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runningCalls
}

// closeGracefully closes the sending side of every connection and waits until
// the peers have read all data and closed theirs. Closing at once could discard
// a reply that the peer has not read yet.
func (s *Server) closeGracefully(ctx context.Context) {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.closeWrite() // an error means that the connection is closed already
	}
	s.mu.Unlock()
	select {
	case <-s.connsClosed:
	case <-ctx.Done():
	case <-time.After(closeTimeout):
	}
}

// beginCall counts a call and reports whether it may run; endCall must follow.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningCalls++
	return !s.stopping
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningCalls--
	s.signalIfDrained()
}

func (s *Server) addConn(c *countedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) removeConn(c *countedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.signalIfDrained()
}

// handler dispatches the calls of one server.
type handler struct{ server *Server }

// HandleRPC runs one call, sends its result and counts it. It does not leave
// the result to drpc, which would send it only after the call has stopped
// counting as running.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) error {
	if tr, ok := drpcctx.Transport(stream.Context()); ok {
		if c, ok := tr.(*countedConn); ok {
			c.setClass(classOf(rpc))
			stream = countMessages(stream, c)
			defer c.endMessage()
		}
	}
	mayRun := h.server.beginCall()
	defer h.server.endCall()
	if !mayRun {
		return sendResult(stream, errStopping)
	}
	err := h.server.mux.HandleRPC(stream, rpc)
	h.server.opts.metrics.calls.WithLabelValues(sideServer, rpc, resultLabel(err)).Inc()
	return sendResult(stream, err)
}

// sendResult sends the end of a call, or its error, to the caller.
func sendResult(stream drpc.Stream, err error) error {
	if err == nil {
		return stream.CloseSend()
	}
	if s, ok := stream.(interface{ SendError(error) error }); ok {
		return s.SendError(err)
	}
	return err
}

// listener registers accepted connections with the server. Once it is closed,
// Accept blocks until ctx is done, because drpc would abort running calls when
// Accept fails.
type listener struct {
	net.Listener
	server *Server
	ctx    context.Context
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		counted := countConn(c, l.server.opts, sideServer, l.server.removeConn)
		l.server.addConn(counted)
		return counted, nil
	}
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return nil, err // temporary, such as too many open files: drpc retries
	}
	<-l.ctx.Done()
	return nil, err
}
