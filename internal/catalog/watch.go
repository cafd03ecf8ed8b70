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

	roleCheckInterval   = 250 * time.Millisecond // interval at which a host that does not watch checks whether it should
	minRetryDelay       = 100 * time.Millisecond
	maxRetryDelay       = 2 * time.Second
	watcherListDelay    = time.Second     // time for which a starting watcher without configuration waits for its peers before it lists
	nonWatcherListDelay = 3 * time.Second // the same for any other starting host
)

// watchLoop follows the platform while this host is one of the watchers.
func (c *Catalog) watchLoop(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRetryDelay, maxRetryDelay
	for ctx.Err() == nil {
		c.reportFreshness()
		if !c.shouldWatch() {
			await.Sleep(ctx, roleCheckInterval)
			continue
		}
		if err := c.follow(ctx); err != nil {
			await.Sleep(ctx, delay.NextBackOff())
			continue
		}
		delay.Reset()
	}
}

// follow receives and applies the next changes from the platform. It lists all
// objects if this host has none yet, if the platform no longer keeps all
// changes since the last one, or if they are more than one response may hold.
func (c *Catalog) follow(ctx context.Context) error {
	sentAt := c.clock.Now()
	after := revision.FromOrdinal(c.state.Load().complete)
	if after.IsZero() {
		return c.list(ctx)
	}
	l, err := c.store.Watch(ctx, after, c.cfg.WatchWait.Std(), kinds...)
	var tooLong *objstore.LimitError
	if errors.Is(err, objstore.ErrCompacted) || errors.As(err, &tooLong) || err == nil && l.At().Before(after) {
		return c.list(ctx)
	}
	if err != nil {
		return Error.New("watch: %w", err)
	}
	if err := c.applyBatch(batch{after: after.Ordinal(), complete: l.At().Ordinal(), objects: withOrdinals(l.Objects)}, sourcePlatform); err != nil {
		return err
	}
	c.recordPlatformAnswer(sentAt)
	return nil
}

func (c *Catalog) list(ctx context.Context) error {
	sentAt := c.clock.Now()
	l, err := c.store.List(ctx, kinds...)
	if err != nil {
		return Error.New("list: %w", err)
	}
	if applied := revision.FromOrdinal(c.state.Load().complete); l.At().Before(applied) {
		c.log.Event(evPlatformBehind).Stringer("revision", applied).Stringer("platform_revision", l.At()).Msg("")
		return Error.New("list: the platform is at revision %s, which is older than %s on this host", l.At(), applied)
	}
	at := l.At().Ordinal()
	if err := c.applyBatch(batch{complete: at, floor: at, full: true, objects: withOrdinals(l.Objects)}, sourcePlatform); err != nil {
		return err
	}
	c.recordPlatformAnswer(sentAt)
	if l.Revision == 0 {
		return errEmptyPlatform
	}
	return nil
}

// shouldWatch reports whether this host has to watch the platform now. It has to
// if its rank among the hosts of its failure domain requires it, or if its
// configuration has not been confirmed for half of StaleAfter, since pulls from
// peers then evidently fail.
func (c *Catalog) shouldWatch() bool {
	self, hosts := c.members.Self(), c.members.Hosts()
	rank := watchRank(self, hosts)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	should := c.isWatcher(rank, now)
	if c.state.Load().complete == 0 {
		should = len(hosts) < 2 || now.Sub(c.startedAt) >= c.firstListDelay(rank)
	}
	if should != c.watching {
		c.setWatching(should, rank)
	}
	return should
}

// isWatcher decides for a host that has a configuration; c.mu must be held.
func (c *Catalog) isWatcher(rank int, now time.Time) bool {
	l := levelOf(rank, c.cfg.WatchersPerDomain)
	if c.platformAnswers.mustWatch(l, now, c.startedAt, c.cfg.TakeoverAfter.Std()) {
		return true
	}
	return now.Sub(c.freshness.confirmedAt) > c.cfg.StaleAfter.Std()/2
}

// firstListDelay is how long a host without configuration waits for its peers
// before it lists the platform, so that a starting fleet doesn't list it all at once.
func (c *Catalog) firstListDelay(rank int) time.Duration {
	if rank < c.cfg.WatchersPerDomain {
		return watcherListDelay
	}
	return nonWatcherListDelay
}

// setWatching updates, reports in the metrics and logs whether this host
// watches the platform; c.mu must be held.
func (c *Catalog) setWatching(watching bool, rank int) {
	c.watching = watching
	if watching {
		c.metrics.watching.Set(1)
		c.log.Event(evWatching).Int("rank", rank).Msg("")
		return
	}
	c.metrics.watching.Set(0)
	c.log.Event(evNotWatching).Msg("")
}
