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
	idlePerHost = 64 // connections of a class kept open to one host between calls
	dialTimeout = time.Second
	maxPerHost  = 256 // connections of a class open to one host, those being dialled included
	maxDials    = 16  // connections of a class being dialled to one host at once
)

// idleExpiry is after how long an unused connection is closed. Control calls
// go to random hosts: in a small fleet each comes round within seconds; in a
// large one none does, and open connections would only pile up.
var idleExpiry = map[class]time.Duration{control: 10 * time.Second, data: 30 * time.Second}

// Dialer gives connections to other hosts. A drpc connection carries one call
// at a time, so calls that overlap use several.
type Dialer interface {
	Conn(ctx context.Context, address string) drpc.Conn
}

// Pool is the Dialer of a host.
type Pool struct {
	opts options
	idle map[class]*drpcpool.Pool[key, drpcpool.Conn]

	mu   sync.Mutex
	used map[key]*usage
}

// key names connections of which any may carry a call: those of one class to
// one host.
type key struct {
	address string
	class   class
}

// usage counts the connections of one key, for their bounds.
type usage struct {
	open  int           // guarded by Pool.mu
	slots chan struct{} // one for each dial at work
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	p := &Pool{
		opts: newOptions(opts),
		idle: map[class]*drpcpool.Pool[key, drpcpool.Conn]{},
		used: map[key]*usage{},
	}
	for cl, expiry := range idleExpiry {
		p.idle[cl] = drpcpool.New[key, drpcpool.Conn](drpcpool.Options{Expiration: expiry, KeyCapacity: idlePerHost})
	}
	return p
}

// Conn returns a connection to the address; each call on it takes an idle one
// or dials. NotRun tells of a failed call whether it certainly did not run.
func (p *Pool) Conn(_ context.Context, address string) drpc.Conn {
	return &conn{pool: p, address: address, closed: make(chan struct{})}
}

// Start does nothing: connections are made when they are wanted.
func (p *Pool) Start(context.Context) error { return nil }

// Stop closes the idle connections.
func (p *Pool) Stop(context.Context) error {
	var problems []error
	for _, idle := range p.idle {
		if err := idle.Close(); err != nil {
			problems = append(problems, Error.New("close idle connections: %w", err))
		}
	}
	return errors.Join(problems...)
}

// get returns a connection of a class.
func (p *Pool) get(ctx context.Context, address, rpc string) drpc.Conn {
	cl := classOf(rpc)
	return p.idle[cl].Get(ctx, key{address, cl}, p.dial)
}

// dial opens a connection within the bounds of the key.
func (p *Pool) dial(ctx context.Context, k key) (drpcpool.Conn, error) {
	u, err := p.reserve(k)
	if err != nil {
		return nil, notSent{err}
	}
	c, err := u.connect(ctx, p.opts.dial, k.address)
	p.opts.metrics.dials.WithLabelValues(string(k.class), result(err)).Inc()
	if err != nil {
		p.release(k, u)
		return nil, notSent{err}
	}
	counted := countConn(c, p.opts.metrics, sideClient, func(*countedConn) { p.release(k, u) })
	counted.setClass(k.class)
	return clientConn{drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: p.opts.manager(sideClient)})}, nil
}

// reserve counts a connection that is to be opened; release must follow.
func (p *Pool) reserve(k key) (*usage, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.used[k]
	if u == nil {
		u = &usage{slots: make(chan struct{}, maxDials)}
		p.used[k] = u
	}
	if u.open >= maxPerHost {
		return nil, Error.New("%d connections to %s are in use", maxPerHost, k.address)
	}
	u.open++
	return u, nil
}

func (p *Pool) release(k key, u *usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.open--
	if u.open == 0 {
		delete(p.used, k)
	}
}

// connect dials when a slot is free.
func (u *usage) connect(ctx context.Context, dial netdial.Func, address string) (net.Conn, error) {
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, Error.New("wait to dial %s: %w", address, ctx.Err())
	}
	defer func() { <-u.slots }()
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, Error.New("dial %s: %w", address, err)
	}
	return c, nil
}

// conn is the drpc.Conn to one host, over as many connections as its calls need.
type conn struct {
	pool    *Pool
	address string
	once    sync.Once
	closed  chan struct{}
}

// Close makes no further call possible; calls at work go on.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Closed returns a channel that is closed by Close.
func (c *conn) Closed() <-chan struct{} { return c.closed }

// Invoke makes a call with one answer.
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	err := c.check(ctx)
	if err == nil {
		err = c.pool.get(ctx, c.address, rpc).Invoke(ctx, rpc, enc, in, out)
	}
	c.count(rpc, err)
	return err
}

// NewStream begins a call with many messages.
func (c *conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	var stream drpc.Stream
	err := c.check(ctx)
	if err == nil {
		stream, err = c.pool.get(ctx, c.address, rpc).NewStream(ctx, rpc, enc)
	}
	c.count(rpc, err)
	return stream, err
}

// check finds out before anything is sent that a call cannot be made.
func (c *conn) check(ctx context.Context) error {
	select {
	case <-c.closed:
		return notSent{Error.New("connection to %s was closed by its user", c.address)}
	case <-ctx.Done():
		return notSent{Error.New("call %s: %w", c.address, ctx.Err())}
	default:
		return nil
	}
}

// count counts a call; of a stream only how it began is known here.
func (c *conn) count(rpc string, err error) {
	c.pool.opts.metrics.calls.WithLabelValues(sideClient, rpc, result(err)).Inc()
}
