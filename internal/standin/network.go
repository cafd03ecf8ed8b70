package standin

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network is an in-memory network for programs that only listen and dial, so that tests can run
// them in virtual time.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*networkListener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: map[string]*networkListener{}} }

// Listen binds an address and replaces an earlier listener on it.
func (n *Network) Listen(address string) (net.Listener, error) {
	l := &networkListener{address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l, nil
}

// errRefused is returned for a dial to an address without a listener.
var errRefused = &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}

// Dial connects to an address. It returns a connection-refused error if nothing listens there.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return n.DialFrom(ctx, "memory", address)
}

// DialFrom is like Dial with an explicit source address, which the accepting side sees.
func (n *Network) DialFrom(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	here, there := net.Pipe()
	select {
	case l.accept <- addressedConn{there, networkAddress(from)}:
		return here, nil
	case <-l.closed:
	case <-ctx.Done():
		_ = here.Close()
		return nil, ctx.Err()
	}
	_ = here.Close()
	return nil, errRefused
}

// addressedConn is a connection with an explicit remote address.
type addressedConn struct {
	net.Conn
	remote networkAddress
}

// RemoteAddr returns the address of the peer.
func (c addressedConn) RemoteAddr() net.Addr { return c.remote }

type networkListener struct {
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for the next connection.
func (l *networkListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops listening.
func (l *networkListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the listening address.
func (l *networkListener) Addr() net.Addr { return networkAddress(l.address) }

type networkAddress string

func (a networkAddress) Network() string { return "memory" }
func (a networkAddress) String() string  { return string(a) }
