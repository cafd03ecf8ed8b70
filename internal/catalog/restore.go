package catalog

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// The platform may come back from an older copy, without changes that operators were told are accepted. Hosts that have heard
// of them keep them in force, and write them again on what the copy holds.

// lostWithin is how old a change may be that the platform lost: more than the age of a copy. An older object that the
// platform lacks was removed.
const lostWithin = time.Minute

// mayBeLost reports whether the platform may have lost the entry's object when it came to the era of a revision.
func (e *entry) mayBeLost(at uint64, now time.Time) bool {
	isEarlier := revision.FromOrdinal(e.object.Revision).Era < revision.FromOrdinal(at).Era
	return isEarlier && !e.object.Deleted && now.Sub(e.heard) < lostWithin
}

// succeeds reports whether the entry holds a change that was made on the state of the object that the platform tells in a
// later era. A change made there on another state stands. Objects remember their last changes, and no more than those are
// written again.
func (e *entry) succeeds(o objstore.Object, now time.Time) bool {
	if e == nil || o.Deleted || !e.mayBeLost(o.Revision, now) {
		return false
	}
	return slices.Contains(changeOf(e.object).Previous, changeOf(o).ID) // empty: as it was before its first change
}

// keptOver returns the entry with its content kept, over a version of the object that the platform holds at a revision.
func (e *entry) keptOver(version, at uint64) *entry {
	kept := *e
	kept.object.Version, kept.object.Revision = version, at
	kept.lost = true
	return &kept
}

// wakeRewriting lets rewriteLoop look for lost changes.
func (c *Catalog) wakeRewriting() {
	select {
	case c.lost <- struct{}{}:
	default:
	}
}

// rewriteLoop writes lost changes again, and tries again while the platform does not answer.
func (c *Catalog) rewriteLoop(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRetryDelay, maxRetryDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.lost:
		}
		if c.rewriteAll(ctx) {
			delay.Reset()
			continue
		}
		await.Sleep(ctx, delay.NextBackOff())
		c.wakeRewriting()
	}
}

// rewriteAll writes all lost changes again, and reports whether none is left.
func (c *Catalog) rewriteAll(ctx context.Context) bool {
	for _, e := range c.state.Load().entries {
		if e.lost && !c.rewrite(ctx, e) {
			return false
		}
	}
	return true
}

// rewrite writes one lost change again, and reports whether that is settled: it was written, or another write came first. The
// next watch tells which.
func (c *Catalog) rewrite(ctx context.Context, e *entry) bool {
	o := e.object
	_, err := c.store.Put(ctx, o.Kind, o.Name, o.Version, o.Value)
	var conflict *objstore.Conflict
	stands := errors.As(err, &conflict) // another write: that of another host that held the same change, or a change of the copy
	superseded := stands && changeOf(conflict.Current).ID != changeOf(o).ID
	line := c.log.Event(evWrittenAgain).Str("kind", o.Kind).Str("object", o.Name).Str("change", changeOf(o).ID).
		Stringer("revision", revision.FromOrdinal(o.Revision)).Bool("superseded", superseded)
	if err != nil && !stands {
		line.Str("error", err.Error()).Msg("")
		return false
	}
	line.Str("error", "").Msg("")
	c.settle(e)
	return true
}

// settle notes that an entry is not to be written again.
func (c *Catalog) settle(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state.Load()
	k := keyOf(e.object)
	if s.entries[k] != e {
		return // the platform has told of it since
	}
	settled := *e
	settled.lost = false
	next := *s
	next.entries = maps.Clone(s.entries)
	next.entries[k] = &settled
	c.state.Store(&next)
}
