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

// The platform may be restored from an older copy and then lack changes that were reported as accepted to operators. Hosts
// that have applied such changes keep them in force, and write them again on top of the objects in the copy.

// maxLostChangeAge is the greatest age of a change that the platform can have lost; it exceeds the age of a copy. An older
// object that the platform lacks was deleted.
const maxLostChangeAge = time.Minute

// mayBeLost reports whether the platform, which is at platformRevision, may have lost the entry's object in a restore: the
// object is of an earlier era and this host received it less than maxLostChangeAge ago.
func (e *entry) mayBeLost(platformRevision uint64, now time.Time) bool {
	isEarlier := revision.FromOrdinal(e.object.Revision).Era < revision.FromOrdinal(platformRevision).Era
	return isEarlier && !e.object.Deleted && now.Sub(e.receivedAt) < maxLostChangeAge
}

// isSuccessorOf reports whether the entry is a lost change that was made after the state o, which the platform returns in a
// later era. If o is not among the changes that the entry's object lists as previous, o stays in force: it was written after
// the restore, or is older than the maxPreviousChanges listed.
func (e *entry) isSuccessorOf(o objstore.Object, now time.Time) bool {
	if e == nil || o.Deleted || !e.mayBeLost(o.Revision, now) {
		return false
	}
	return slices.Contains(changeOf(e.object).Previous, changeOf(o).ID) // an empty id means that o was not written by a change
}

// rebasedOn returns a copy of the entry with the version and revision of the platform's object, so that the content can be
// written again on top of it.
func (e *entry) rebasedOn(version, revision uint64) *entry {
	rebased := *e
	rebased.object.Version, rebased.object.Revision = version, revision
	rebased.needsRewrite = true
	return &rebased
}

// signalRewrite makes rewriteLoop check for lost changes.
func (c *Catalog) signalRewrite() {
	select {
	case c.rewriteSignal <- struct{}{}:
	default:
	}
}

// rewriteLoop writes lost changes again, and retries with backoff while that fails.
func (c *Catalog) rewriteLoop(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRetryDelay, maxRetryDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.rewriteSignal:
		}
		if c.rewriteAll(ctx) {
			delay.Reset()
			continue
		}
		await.Sleep(ctx, delay.NextBackOff())
		c.signalRewrite()
	}
}

// rewriteAll writes all lost changes again. It stops at the first that fails, and reports whether none is left.
func (c *Catalog) rewriteAll(ctx context.Context) bool {
	for _, e := range c.state.Load().entries {
		if e.needsRewrite && !c.rewrite(ctx, e) {
			return false
		}
	}
	return true
}

// rewrite writes one lost change again, and reports whether it needs no retry: it was written, or another write came first.
// The next watch returns the current object in both cases.
func (c *Catalog) rewrite(ctx context.Context, e *entry) bool {
	o := e.object
	_, err := c.store.Put(ctx, o.Kind, o.Name, o.Version, o.Value)
	var conflict *objstore.Conflict
	conflicted := errors.As(err, &conflict) // another host wrote the same change, or the object was changed after the restore
	superseded := conflicted && changeOf(conflict.Current).ID != changeOf(o).ID
	line := c.log.Event(evWrittenAgain).Str("kind", o.Kind).Str("object", o.Name).Str("change", changeOf(o).ID).
		Stringer("revision", revision.FromOrdinal(o.Revision)).Bool("superseded", superseded)
	if err != nil && !conflicted {
		line.Str("error", err.Error()).Msg("")
		return false
	}
	line.Str("error", "").Msg("")
	c.markRewritten(e)
	return true
}

// markRewritten clears needsRewrite of an entry, unless the entry has been replaced meanwhile.
func (c *Catalog) markRewritten(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state.Load()
	k := keyOf(e.object)
	if s.entries[k] != e {
		return // a newer version was received since
	}
	rewritten := *e
	rewritten.needsRewrite = false
	next := *s
	next.entries = maps.Clone(s.entries)
	next.entries[k] = &rewritten
	c.state.Store(&next)
}
