package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"rhubarbwood.example/rhubarbwood/internal/netdial"
)

const (
	maxIdlePerHost  = 64 // idle connections of a class kept open to one host
	dialTimeout     = time.Second
	maxOpenPerHost  = 256 // connections of a class open to one host, those being dialled included
	maxDialsPerHost = 16  // concurrent dials of a class to one host
)

// idleTimeouts is how long an unused connection of each class stays open.
// Control calls go to random hosts: in a small fleet each host is called again
// within seconds; in a large one it is not, and open connections would only
// accumulate.
var idleTimeouts = map[class]time.Duration{classControl: 10 * time.Second, classData: 30 * time.Second}

// Dialer provides connections to other hosts. A drpc connection carries one
// call at a time, so concurrent calls use several.
type Dialer interface {
	Conn(ctx context.Context, address string) drpc.Conn
}

// Pool is the Dialer of a host; it reuses idle connections.
type Pool struct {
	opts      options
	idlePools map[class]*drpcpool.Pool[connKey, drpcpool.Conn]

	mu         sync.Mutex
	usageByKey map[connKey]*connUsage
}

// connKey identifies interchangeable connections: those of one class to one
// host.
type connKey struct {
	address string
	class   class
}

// connUsage counts the connections of one key to enforce their limits.
type connUsage struct {
	open      int           // guarded by Pool.mu
	dialSlots chan struct{} // one element for each dial in progress
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	p := &Pool{
		opts:       newOptions(opts),
		idlePools:  map[class]*drpcpool.Pool[connKey, drpcpool.Conn]{},
		usageByKey: map[connKey]*connUsage{},
	}
	for cl, expiry := range idleTimeouts {
		p.idlePools[cl] = drpcpool.New[connKey, drpcpool.Conn](drpcpool.Options{Expiration: expiry, KeyCapacity: maxIdlePerHost})
	}
	return p
}

// Conn returns a connection to the address; each call on it uses an idle
// connection or dials. NotRun reports whether a failed call certainly did not
// run.
func (p *Pool) Conn(_ context.Context, address string) drpc.Conn {
	return &conn{pool: p, address: address, closed: make(chan struct{})}
}

// Start does nothing: connections are dialled on demand.
func (p *Pool) Start(context.Context) error { return nil }

// Stop closes the idle connections.
func (p *Pool) Stop(context.Context) error {
	var problems []error
	for _, idle := range p.idlePools {
		if err := idle.Close(); err != nil {
			problems = append(problems, Error.New("close idle connections: %w", err))
		}
	}
	return errors.Join(problems...)
}

// idleOrDial returns a connection of the call's class, an idle one if there is
// one.
func (p *Pool) idleOrDial(ctx context.Context, address, rpc string) drpc.Conn {
	cl := classOf(rpc)
	return p.idlePools[cl].Get(ctx, connKey{address, cl}, p.dial)
}

// dial opens a connection within the limits of the key.
func (p *Pool) dial(ctx context.Context, k connKey) (drpcpool.Conn, error) {
	u, err := p.reserveConn(k)
	if err != nil {
		return nil, notSent{err}
	}
	c, err := u.dialInSlot(ctx, p.opts.dial, k.address)
	p.opts.metrics.dials.WithLabelValues(string(k.class), resultLabel(err)).Inc()
	if err != nil {
		p.releaseConn(k, u)
		return nil, notSent{err}
	}
	counted := countConn(c, p.opts, sideClient, func(*countedConn) { p.releaseConn(k, u) })
	counted.setClass(k.class)
	return clientConn{drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: p.opts.managerOptions(sideClient)}), counted}, nil
}

// reserveConn counts a connection that is about to be dialled; releaseConn must
// follow.
func (p *Pool) reserveConn(k connKey) (*connUsage, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.usageByKey[k]
	if u == nil {
		u = &connUsage{dialSlots: make(chan struct{}, maxDialsPerHost)}
		p.usageByKey[k] = u
	}
	if u.open >= maxOpenPerHost {
		return nil, Error.New("%d connections to %s are in use", maxOpenPerHost, k.address)
	}
	u.open++
	return u, nil
}

// releaseConn uncounts a connection that was closed or could not be dialled.
func (p *Pool) releaseConn(k connKey, u *connUsage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.open--
	if u.open == 0 {
		delete(p.usageByKey, k)
	}
}

// dialInSlot waits for a dial slot and opens a connection.
func (u *connUsage) dialInSlot(ctx context.Context, dial netdial.Func, address string) (net.Conn, error) {
	select {
	case u.dialSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, Error.New("wait to dial %s: %w", address, ctx.Err())
	}
	defer func() { <-u.dialSlots }()
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, Error.New("dial %s: %w", address, err)
	}
	return c, nil
}

// conn is the drpc.Conn to one host; each call in progress uses a connection of
// its own.
type conn struct {
	pool    *Pool
	address string
	once    sync.Once
	closed  chan struct{}
}

// Close prevents further calls; calls in progress continue.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Closed returns a channel that is closed by Close.
func (c *conn) Closed() <-chan struct{} { return c.closed }

// Invoke makes a unary call.
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	err := c.checkUsable(ctx)
	if err == nil {
		err = c.pool.idleOrDial(ctx, c.address, rpc).Invoke(ctx, rpc, enc, in, out)
	}
	c.count(rpc, err)
	return err
}

// NewStream starts a streaming call.
func (c *conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	var stream drpc.Stream
	err := c.checkUsable(ctx)
	if err == nil {
		stream, err = c.pool.idleOrDial(ctx, c.address, rpc).NewStream(ctx, rpc, enc)
	}
	c.count(rpc, err)
	return stream, err
}

// checkUsable returns an error if a call cannot be made, before anything is
// sent.
func (c *conn) checkUsable(ctx context.Context) error {
	select {
	case <-c.closed:
		return notSent{Error.New("connection to %s was closed by its user", c.address)}
	case <-ctx.Done():
		return notSent{Error.New("call %s: %w", c.address, ctx.Err())}
	default:
		return nil
	}
}

// count counts a call; the result of a streaming call is that of its start.
func (c *conn) count(rpc string, err error) {
	c.pool.opts.metrics.calls.WithLabelValues(sideClient, rpc, resultLabel(err)).Inc()
}
