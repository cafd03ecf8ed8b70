package catalog

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"rhubarbwood.example/rhubarbwood/internal/platform"
)

// write is one conditional write of an operator's change.
type write struct {
	kind, name string
	version    uint64 // at which the object must stand
	value      []byte
	id         string // of the change, also in the value
}

// put makes the write and settles an answer that is lost. The write may be
// repeated: it takes effect at most once, since its first effect changes the
// version that it asks for.
func (e *Editor) put(ctx context.Context, w write, r Result) Result {
	delay := newSettleDelay()
	sent := false // a write without answer may still take effect
	for {
		o, err := e.store.Put(ctx, w.kind, w.name, w.version, w.value)
		if err == nil {
			return r.accepted(o)
		}
		var conflict *platform.Conflict
		if errors.As(err, &conflict) {
			return w.judge(conflict.Current, sent, r)
		}
		var unanswered *platform.Unanswered
		sent = sent || errors.As(err, &unanswered)
		if !sent {
			return r.refused(Error.New("nothing was written: %w", err))
		}
		stands, settled, cause := e.readBack(ctx, w, delay)
		if cause != nil {
			return r.unknown(err)
		}
		if settled {
			return w.judge(stands, sent, r)
		}
	}
}

// readBack waits and reads the object until the platform answers. It reports
// false if the object still stands at the version that the write asks for, so
// that the write has not taken effect yet.
func (e *Editor) readBack(ctx context.Context, w write, delay *backoff.ExponentialBackOff) (platform.Object, bool, error) {
	for {
		sleep(ctx, delay.NextBackOff())
		if ctx.Err() != nil {
			return platform.Object{}, false, ctx.Err()
		}
		stands, err := e.current(ctx, w.kind, w.name)
		if err == nil {
			return stands, stands.Version != w.version, nil
		}
	}
}

// judge tells what became of the write from an object that no longer stands
// at the version that the write asked for. sent: an answer was lost before.
func (w write) judge(stands platform.Object, sent bool, r Result) Result {
	ids := append([]string{changeOf(stands).ID}, changeOf(stands).Previous...)
	place := slices.Index(ids, w.id)
	switch {
	case place == 0:
		return r.accepted(stands)
	case place > 0:
		r.Status, r.Version = Accepted, stands.Version-uint64(place)
		return r
	case sent && !w.remembered(stands, len(ids)):
		return r.unknown(Error.New("%s %q has changed too often since, it stands at version %d", w.kind, w.name, stands.Version))
	}
	return r.lost(stands, w.value).refused(Error.New("%s %q stands at version %d, not %d", w.kind, w.name, stands.Version, w.version))
}

// remembered reports whether an object that remembers n changes would show
// the write's, had it been made.
func (w write) remembered(stands platform.Object, n int) bool {
	return stands.Version > w.version && stands.Version-w.version <= uint64(n)
}

func newSettleDelay() *backoff.ExponentialBackOff {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = 20*time.Millisecond, 500*time.Millisecond
	return delay
}
