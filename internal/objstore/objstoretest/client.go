package objstoretest

import (
	"context"
	"slices"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Client is one host's client of the platform, with its own fault injection.
// It implements objstore.Store.
type Client struct {
	p *Platform

	mu           sync.Mutex
	down         bool
	latency      time.Duration
	loseAnswers  int // number of next writes whose response is lost
	loseRequests int // number of next writes whose request is lost
	holdWrites   int // number of next writes that are applied by ApplyDelayedWrites
	now          time.Time
}

var _ objstore.Store = (*Client)(nil)

// SetDown disconnects this client from the platform, or reconnects it.
func (c *Client) SetDown(down bool) {
	c.set(func() { c.down = down })
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.p.signalWatches()
}

// LoseNextAnswers makes the next n writes take effect but fail with
// *objstore.Unanswered.
func (c *Client) LoseNextAnswers(n int) { c.set(func() { c.loseAnswers = n }) }

// LoseNextRequests makes the next n writes fail with *objstore.Unanswered
// without effect.
func (c *Client) LoseNextRequests(n int) { c.set(func() { c.loseRequests = n }) }

// DelayNextWrites makes the next n writes fail with *objstore.Unanswered and
// take effect only when Platform.ApplyDelayedWrites is called.
func (c *Client) DelayNextWrites(n int) { c.set(func() { c.holdWrites = n }) }

// SetLatency delays each call but a watch by d before it takes effect. A call
// whose context ends first fails with *objstore.Unanswered, without effect.
func (c *Client) SetLatency(d time.Duration) { c.set(func() { c.latency = d }) }

// Get implements objstore.Store.
func (c *Client) Get(ctx context.Context, kind, name string) (objstore.Object, error) {
	if err := c.begin(ctx, "get"); err != nil {
		return objstore.Object{}, err
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.readClock()
	o, ok := c.p.objects[key{kind, name}]
	if !ok {
		return objstore.Object{}, objstore.ErrNotFound
	}
	o.Era = c.p.era
	return o, nil
}

// List implements objstore.Store.
func (c *Client) List(ctx context.Context, kinds ...string) (objstore.Listing, error) {
	if err := c.begin(ctx, "list"); err != nil {
		return objstore.Listing{}, err
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.readClock()
	return c.p.list(kinds...), nil
}

// Put implements objstore.Store.
func (c *Client) Put(ctx context.Context, kind, name string, version uint64, value []byte) (objstore.Object, error) {
	return c.write(ctx, "put", key{kind, name}, version, value, false)
}

// Delete implements objstore.Store.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, err := c.write(ctx, "delete", key{kind, name}, version, nil, true)
	return err
}

// Watch implements objstore.Store.
func (c *Client) Watch(ctx context.Context, after revision.Revision, wait time.Duration, kinds ...string) (objstore.Listing, error) {
	if err := c.begin(ctx, "watch"); err != nil {
		return objstore.Listing{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l, signal, err := c.changed(after, kinds)
		if err != nil || len(l.Objects) > 0 {
			return l, err
		}
		select {
		case <-signal:
		case <-timer.C:
			return l, nil
		case <-ctx.Done():
			return objstore.Listing{}, &objstore.Unanswered{Cause: ctx.Err()}
		}
	}
}

// Era implements objstore.Store.
func (c *Client) Era() uint64 {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	return c.p.era
}

// Hosts implements objstore.Store.
func (c *Client) Hosts(ctx context.Context) ([]objstore.ListedHost, error) {
	if err := c.begin(ctx, "hosts"); err != nil {
		return nil, err
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.readClock()
	return slices.Clone(c.p.hosts), nil
}

// Now implements objstore.Store.
func (c *Client) Now() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now, !c.now.IsZero()
}

func (c *Client) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// begin counts the call, waits for the latency and fails if the platform is
// unreachable for this client.
func (c *Client) begin(ctx context.Context, verb string) error {
	c.p.mu.Lock()
	c.p.callCounts[verb]++
	c.p.mu.Unlock()
	if c.unreachable() || ctx.Err() != nil {
		return &objstore.Unavailable{Cause: errDown}
	}
	c.mu.Lock()
	latency := c.latency
	c.mu.Unlock()
	if latency == 0 || verb == "watch" {
		return nil
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return &objstore.Unanswered{Cause: ctx.Err()}
	}
	if c.unreachable() {
		return &objstore.Unanswered{Cause: errDown}
	}
	return nil
}

// unreachable reports whether this client is disconnected or the platform is down.
func (c *Client) unreachable() bool {
	c.mu.Lock()
	down := c.down
	c.mu.Unlock()
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	return down || c.p.down
}

// readClock advances c.now to the platform's clock, as each response does; p.mu must be held.
func (c *Client) readClock() {
	now := c.p.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.now) {
		c.now = now
	}
}

func (c *Client) write(ctx context.Context, verb string, k key, version uint64, value []byte, deleted bool) (objstore.Object, error) {
	if err := c.begin(ctx, verb); err != nil {
		return objstore.Object{}, err
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	lost := &objstore.Unanswered{Cause: errDown}
	switch {
	case c.consumeFault(&c.loseRequests):
		return objstore.Object{}, lost
	case c.consumeFault(&c.holdWrites):
		kept := slices.Clone(value)
		c.p.heldWrites = append(c.p.heldWrites, func() { _, _ = c.p.write(k, version, kept, deleted) })
		return objstore.Object{}, lost
	}
	o, err := c.p.write(k, version, value, deleted)
	if c.consumeFault(&c.loseAnswers) {
		return objstore.Object{}, lost
	}
	c.readClock()
	return o, err
}

// consumeFault decrements the fault counter n and reports whether it was above 0.
func (c *Client) consumeFault(n *int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// changed returns the changes after a revision, and a channel that is closed at the next change.
func (c *Client) changed(after revision.Revision, kinds []string) (objstore.Listing, <-chan struct{}, error) {
	if c.unreachable() {
		return objstore.Listing{}, nil, &objstore.Unanswered{Cause: errDown}
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if after.Era != c.p.era || after.Number < c.p.compacted || after.Number > c.p.revision {
		return objstore.Listing{}, nil, objstore.ErrCompacted
	}
	c.readClock()
	l := objstore.Listing{Revision: c.p.revision, Era: c.p.era}
	for _, o := range c.p.changes {
		if o.Revision > after.Number && slices.Contains(kinds, o.Kind) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, c.p.changeSignal, nil
}
