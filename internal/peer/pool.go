package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	idlePerHost = 64               // connections kept open to one host between calls
	idleExpiry  = 30 * time.Second // after which an unused connection is closed
	dialTimeout = time.Second
)

// Dialer gives connections to other hosts. A drpc connection carries one call
// at a time, so calls that overlap use several.
type Dialer interface {
	Conn(ctx context.Context, address string) drpc.Conn
}

// Pool is the Dialer of a host.
type Pool struct{ pool *drpcpool.Pool[string, drpcpool.Conn] }

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleExpiry, KeyCapacity: idlePerHost,
	})}
}

// Conn returns a connection to the address; each call on it takes an idle one
// or dials.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, dial)
}

// Start does nothing: connections are made when they are wanted.
func (p *Pool) Start(context.Context) error { return nil }

// Stop closes the idle connections.
func (p *Pool) Stop(context.Context) error {
	if err := p.pool.Close(); err != nil {
		return Error.New("close idle connections: %w", err)
	}
	return nil
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Error.New("dial %s: %w", address, err)
	}
	return drpcconn.New(c), nil
}
