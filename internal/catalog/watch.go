package catalog

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

const (
	sourcePlatform = "platform"
	sourcePeer     = "peer"

	roleInterval     = 250 * time.Millisecond // between looks at whether to watch
	minRetryDelay    = 100 * time.Millisecond
	maxRetryDelay    = 2 * time.Second
	peersFirst       = time.Second     // that a starting watcher leaves to its peers
	othersPeersFirst = 3 * time.Second // that any other starting host does
)

// watchLoop follows the platform while this host is one of the watchers.
func (c *Catalog) watchLoop(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRetryDelay, maxRetryDelay
	for ctx.Err() == nil {
		c.noteFreshness()
		if !c.shouldWatch() {
			await.Sleep(ctx, roleInterval)
			continue
		}
		if err := c.follow(ctx); err != nil {
			await.Sleep(ctx, delay.NextBackOff())
			continue
		}
		delay.Reset()
	}
}

// follow takes the next changes from the platform: all objects if this host
// has none yet, or if the platform has forgotten changes since.
func (c *Catalog) follow(ctx context.Context) error {
	asked := c.clock.Now()
	after := revision.FromOrdinal(c.state.Load().complete)
	if after.IsZero() {
		return c.list(ctx)
	}
	l, err := c.store.Watch(ctx, after, c.cfg.WatchWait.Std(), kinds...)
	if errors.Is(err, objstore.ErrCompacted) || err == nil && l.At().Before(after) {
		return c.list(ctx)
	}
	if err != nil {
		return Error.New("watch: %w", err)
	}
	if err := c.applyBatch(batch{after: after.Ordinal(), complete: l.At().Ordinal(), objects: withOrdinals(l.Objects)}, sourcePlatform); err != nil {
		return err
	}
	c.heardPlatform(asked)
	return nil
}

func (c *Catalog) list(ctx context.Context) error {
	asked := c.clock.Now()
	l, err := c.store.List(ctx, kinds...)
	if err != nil {
		return Error.New("list: %w", err)
	}
	if held := revision.FromOrdinal(c.state.Load().complete); l.At().Before(held) {
		c.log.Event(evPlatformBehind).Stringer("revision", held).Stringer("platform_revision", l.At()).Msg("")
		return Error.New("list: the platform is at revision %s, this host at %s", l.At(), held)
	}
	at := l.At().Ordinal()
	if err := c.applyBatch(batch{complete: at, floor: at, full: true, objects: withOrdinals(l.Objects)}, sourcePlatform); err != nil {
		return err
	}
	c.heardPlatform(asked)
	if l.Revision == 0 {
		return errEmptyPlatform
	}
	return nil
}

// shouldWatch decides whether this host is a watcher now. It is if its rank
// among the hosts of its failure domain says so; or if no peer has
// confirmed its configuration for half of the time after which it is stale,
// since then the platform is all that is left.
func (c *Catalog) shouldWatch() bool {
	self, hosts := c.members.Self(), c.members.Hosts()
	rank := watchRank(self, hosts)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	should := c.watcherAt(rank, now)
	if c.state.Load().complete == 0 {
		should = len(hosts) < 2 || now.Sub(c.started) >= c.leftToPeers(rank)
	}
	if should != c.watching {
		c.noteWatching(should, rank)
	}
	return should
}

// watcherAt decides for a host that has a configuration; c.mu is held.
func (c *Catalog) watcherAt(rank int, now time.Time) bool {
	l := levelOf(rank, c.cfg.WatchersPerDomain)
	if c.lastHeard.mustWatch(l, now, c.started, c.cfg.TakeoverAfter.Std()) {
		return true
	}
	return now.Sub(c.fresh.confirmed) > c.cfg.StaleAfter.Std()/2
}

// leftToPeers is the time in which a host without configuration waits for
// that of its peers, so that a fleet that starts doesn't list all at once.
func (c *Catalog) leftToPeers(rank int) time.Duration {
	if rank < c.cfg.WatchersPerDomain {
		return peersFirst
	}
	return othersPeersFirst
}

func (c *Catalog) noteWatching(watching bool, rank int) {
	c.watching = watching
	if watching {
		c.metrics.watching.Set(1)
		c.log.Event(evWatching).Int("rank", rank).Msg("")
		return
	}
	c.metrics.watching.Set(0)
	c.log.Event(evNotWatching).Msg("")
}
