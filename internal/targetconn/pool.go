// Package targetconn holds the connections of a host to one target, and sends
// requests over them: each request at most once, with proof when it was not
// sent, and with an answer that is known to be the one to that request.
package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/netdial"
)

// Error is the class of this package's errors.
var Error = errs.Class("target connection")

// ErrLimit means that the pool has as many connections as it may.
var ErrLimit = errors.New("every connection to the target is in use")

// errUnreachable means that the target took no connection.
var errUnreachable = errors.New("the target takes no connection")

// Refused reports whether a connection was refused: nobody listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Unreachable reports whether Get failed since the target took no connection.
func Unreachable(err error) bool { return errors.Is(err, errUnreachable) }

// errClosed means that the pool was closed.
var errClosed = errors.New("the target is gone")

const (
	// readBuffer is the read buffer of a connection, in bytes; a target's
	// header fits in.
	readBuffer = 4096
	// idleMargin is taken off the time that a target says it keeps an idle
	// connection, so that a request does not cross its close.
	idleMargin = 300 * time.Millisecond
	// idleDefault is how long an idle connection is kept if the target says
	// nothing.
	idleDefault = 20 * time.Second
)

// Pool is the connections to one target. Every method is safe for concurrent
// use.
type Pool struct {
	address string
	dial    netdial.Func
	timeout time.Duration // of a dial

	restarted atomic.Bool // see TakeRestarted

	mu     sync.Mutex
	limit  int
	kept   int           // connections that were reserved and not yet got
	keep   time.Duration // longest time that an idle connection is kept; 0: as the target says
	open   int
	all    map[*Conn]bool // that are open, those in use included
	dialed uint64
	idle   []*Conn // the one used last at the end
	closed bool
}

// NewPool returns an empty pool for the target at an address. limit is the
// most connections open at once, timeout that of a dial.
func NewPool(address string, limit int, timeout time.Duration, dial netdial.Func) *Pool {
	return &Pool{address: address, limit: limit, timeout: timeout, dial: dial, all: map[*Conn]bool{}}
}

// SetLimit changes the most connections that may be open. Those above it are
// closed as they come back.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// SetKeep changes how long an idle connection is kept at most; 0 keeps it as
// long as the target says.
func (p *Pool) SetKeep(keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep = keep
}

// Free reports whether there is a connection to reserve.
func (p *Pool) Free() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.free()
}

// free is Free with the lock held.
func (p *Pool) free() bool { return !p.closed && len(p.idle)+max(p.limit-p.open, 0) > p.kept }

// TryReserve is Reserve if there is a connection to reserve.
func (p *Pool) TryReserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.free() {
		return false
	}
	p.kept++
	return true
}

// Reserve keeps a connection for the next Get: requests that are given one at the same moment are no
// more than there are.
func (p *Pool) Reserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept++
}

// Unreserve gives up what Reserve kept, where no Get follows.
func (p *Pool) Unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept--
}

// TakeRestarted reports whether the target may have started again since the last call: it has ended a
// connection before its time, or a connection was opened while there was no other one that would have ended.
func (p *Pool) TakeRestarted() bool { return p.restarted.Swap(false) }

// Dialed returns the connections opened so far.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Get returns the connection that was reserved for one request: an idle one that shows no sign of
// its end, or a new one that is open by the deadline. Nothing was sent if it fails.
func (p *Pool) Get(ctx context.Context, deadline time.Time) (*Conn, error) {
	for reserved := true; ; reserved = false {
		c, err := p.take(reserved)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx, deadline)
		}
		if c.sound(time.Now()) {
			return c, nil
		}
		c.Discard()
	}
}

// take returns an idle connection, or nil and a place for a new one.
func (p *Pool) take(reserved bool) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reserved {
		p.kept--
	}
	if p.closed {
		return nil, Error.Wrap(errClosed)
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= p.limit {
		return nil, Error.Wrap(ErrLimit)
	}
	p.open++
	return nil, nil
}

func (p *Pool) connect(ctx context.Context, deadline time.Time) (*Conn, error) {
	if latest := time.Now().Add(p.timeout); latest.Before(deadline) {
		deadline = latest
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		return nil, Error.New("connect to %s: %w", p.address, fmt.Errorf("%w: %w", errUnreachable, err))
	}
	p.dialed++
	if len(p.all) == 0 {
		p.restarted.Store(true)
	}
	c := &Conn{pool: p, net: nc, reader: bufio.NewReaderSize(nc, readBuffer), idleUntil: time.Now().Add(unusedKeep)}
	p.all[c] = true
	return c, nil
}

// unusedKeep is how long a connection that has carried no request is kept idle: the target has not
// said yet for how long it may be.
const unusedKeep = 2 * time.Second

// Check opens a connection, to see whether the target takes any, and keeps it for the next
// request if there is room. It returns why the target took none.
func (p *Pool) Check(ctx context.Context) error {
	p.mu.Lock()
	closed := p.closed
	p.open++
	p.mu.Unlock()
	c, err := p.connect(ctx, time.Now().Add(p.timeout))
	if err != nil || closed {
		if c != nil {
			c.Discard()
		}
		return err
	}
	c.Release()
	return nil
}

// put takes a connection back that has nothing in flight.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	keep := !p.closed && p.open <= p.limit
	if keep {
		if until := time.Now().Add(p.keep); p.keep > 0 && until.Before(c.idleUntil) {
			c.idleUntil = until
		}
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Discard()
	}
}

func (p *Pool) left(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	delete(p.all, c)
}

// Trim closes the idle connections that the target is about to close, so that
// their places are free for others.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	var old []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.idleUntil) {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.Discard()
	}
}

// Abort ends what is in flight: the target that had it is no more.
func (p *Pool) Abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.all {
		_ = c.net.SetDeadline(longAgo) // it may be closed already
	}
}

// Close closes the idle connections. Those in use are closed when their
// request has ended.
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
