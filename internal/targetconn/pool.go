package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/netdial"
)

// Error is the class of this package's errors.
var Error = errs.Class("target connection")

// ErrLimit means that the pool has reached its connection limit.
var ErrLimit = errors.New("every connection to the target is in use")

// errUnreachable means that no connection to the target could be opened.
var errUnreachable = errors.New("the target accepts no connection")

// Refused reports whether the connection was refused: no process listens on the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Unreachable reports whether Get failed because no connection could be opened.
func Unreachable(err error) bool { return errors.Is(err, errUnreachable) }

// errPoolClosed means that the pool was closed, as its target was removed.
var errPoolClosed = errors.New("the connection pool is closed as the target was removed")

const (
	// readBufferBytes is the size of a connection's read buffer; the header of a
	// target's response fits in it.
	readBufferBytes = 4096
	// idleMargin is subtracted from the Keep-Alive timeout that a target sends, so
	// that no request is sent while the target closes the connection.
	idleMargin = 300 * time.Millisecond
	// defaultIdleTime is how long an idle connection is kept if the target sends no
	// Keep-Alive timeout.
	defaultIdleTime = 20 * time.Second
)

// Pool is a pool of connections to one target. Its methods are safe for concurrent
// use.
type Pool struct {
	address     string
	dial        netdial.Func
	dialTimeout time.Duration

	restarted atomic.Bool // the target may have restarted; see TakeMayHaveRestarted

	mu          sync.Mutex
	limit       int
	reserved    int            // reservations for which Get was not called yet
	maxIdleTime time.Duration  // maximum time that an idle connection is kept; 0: the target's Keep-Alive timeout
	openCount   int            // open connections and those being dialed
	conns       map[*Conn]bool // open connections, idle or in use
	dialed      uint64         // connections opened since the start
	idle        []*Conn        // the most recently used one last
	closed      bool
}

// NewPool returns an empty pool for the target at an address. limit is the maximum
// number of open connections, timeout that of a dial.
func NewPool(address string, limit int, timeout time.Duration, dial netdial.Func) *Pool {
	return &Pool{address: address, limit: limit, dialTimeout: timeout, dial: dial, conns: map[*Conn]bool{}}
}

// SetLimit changes the maximum number of open connections. Connections above it are
// closed when they are returned to the pool.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// SetMaxIdleTime changes the maximum time that an idle connection is kept; 0 keeps it as
// long as the target's Keep-Alive timeout allows.
func (p *Pool) SetMaxIdleTime(keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdleTime = keep
}

// HasFree reports whether a connection can be reserved.
func (p *Pool) HasFree() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.free()
}

// free is HasFree for callers that hold p.mu.
func (p *Pool) free() bool { return !p.closed && len(p.idle)+max(p.limit-p.openCount, 0) > p.reserved }

// TryReserve reserves a connection if one is free, and reports whether it did.
func (p *Pool) TryReserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.free() {
		return false
	}
	p.reserved++
	return true
}

// Reserve reserves a connection for the next Get, so that concurrent requests are not assigned to more connections
// than there are.
func (p *Pool) Reserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved++
}

// CancelReservation cancels a reservation for which Get is not called.
func (p *Pool) CancelReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved--
}

// TakeMayHaveRestarted reports whether the target may have restarted since the last call, and resets the flag: the target has
// closed a connection early, or a connection was opened while the pool had no other that a restart would have closed.
func (p *Pool) TakeMayHaveRestarted() bool { return p.restarted.Swap(false) }

// Dialed returns the number of connections opened so far.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Get returns the reserved connection for the request with the id, empty for one without: an idle one that
// is still usable, or a new one that is opened by the deadline. It is none over which the target answered
// that it did not run this request. If Get fails, nothing was sent.
func (p *Pool) Get(ctx context.Context, deadline time.Time, id string) (*Conn, error) {
	for reserved := true; ; reserved = false {
		c, err := p.takeIdle(reserved, id)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx, deadline)
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		c.Discard()
	}
}

// takeIdle returns an idle connection for the request with the id, or counts a new one as open and returns
// nil. At the limit it closes an idle connection that the request can't use, for the new one. It uses up the
// caller's reservation if reserved is set.
func (p *Pool) takeIdle(reserved bool, id string) (*Conn, error) {
	c, unusable, err := p.takeIdleOrOpen(reserved, id)
	if unusable != nil {
		unusable.Discard()
	}
	return c, err
}

// takeIdleOrOpen is takeIdle, but returns the connection to close.
func (p *Pool) takeIdleOrOpen(reserved bool, id string) (c, unusable *Conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reserved {
		p.reserved--
	}
	if p.closed {
		return nil, nil, Error.Wrap(errPoolClosed)
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !c.notRun.has(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, nil, nil
		}
	}
	if p.openCount >= p.limit {
		if len(p.idle) == 0 {
			return nil, nil, Error.Wrap(ErrLimit)
		}
		unusable, p.idle = p.idle[0], p.idle[1:]
	}
	p.openCount++
	return nil, unusable, nil
}

func (p *Pool) connect(ctx context.Context, deadline time.Time) (*Conn, error) {
	if latest := time.Now().Add(p.dialTimeout); latest.Before(deadline) {
		deadline = latest
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.openCount--
		return nil, Error.New("connect to %s: %w", p.address, fmt.Errorf("%w: %w", errUnreachable, err))
	}
	p.dialed++
	if len(p.conns) == 0 {
		p.restarted.Store(true)
	}
	m := &meter{conn: nc}
	c := &Conn{pool: p, number: p.dialed, net: nc, meter: m, reader: bufio.NewReaderSize(m, readBufferBytes), expires: time.Now().Add(unusedIdleTime)}
	p.conns[c] = true
	return c, nil
}

// unusedIdleTime is how long a connection that has carried no request is kept idle: the target has not
// sent its Keep-Alive timeout yet.
const unusedIdleTime = 2 * time.Second

// ProbeConnection opens a connection to find out whether the target accepts any, and keeps it for the next
// request if the limit allows. It returns the dial error.
func (p *Pool) ProbeConnection(ctx context.Context) error {
	p.mu.Lock()
	closed := p.closed
	p.openCount++
	p.mu.Unlock()
	c, err := p.connect(ctx, time.Now().Add(p.dialTimeout))
	if err != nil || closed {
		if c != nil {
			c.Discard()
		}
		return err
	}
	c.Release()
	return nil
}

// put returns a connection with no request in flight to the pool.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	keep := !p.closed && p.openCount <= p.limit
	if keep {
		if until := time.Now().Add(p.maxIdleTime); p.maxIdleTime > 0 && until.Before(c.expires) {
			c.expires = until
		}
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Discard()
	}
}

func (p *Pool) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
	delete(p.conns, c)
}

// CloseExpired closes the idle connections whose idle time is over, so that new ones can be
// opened in their place.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var expired []*Conn
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.expires) {
			expired = append(expired, c)
			continue
		}
		remaining = append(remaining, c)
	}
	p.idle = remaining
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}

// AbortExchanges ends the exchanges in flight, since their target no longer exists.
func (p *Pool) AbortExchanges() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.net.SetDeadline(pastDeadline) // it may be closed already
	}
}

// Close closes the idle connections. Those in use are closed when their exchange has
// ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
}
