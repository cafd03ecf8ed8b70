package catalog

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
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
		var conflict *objstore.Conflict
		if errors.As(err, &conflict) {
			return w.judge(conflict.Current, sent, r)
		}
		var unanswered *objstore.Unanswered
		sent = sent || errors.As(err, &unanswered)
		if !sent {
			return r.refused(Error.New("nothing was written: %w", err))
		}
		current, settled, cause := e.readBack(ctx, w, delay)
		if cause != nil {
			return r.unknown(err)
		}
		if settled {
			return w.judge(current, sent, r)
		}
	}
}

// readBack waits and reads the object until the platform answers. settled is
// false if the object still stands at the version that the write asks for, so
// that the write has not taken effect yet.
func (e *Editor) readBack(ctx context.Context, w write, delay *backoff.ExponentialBackOff) (current objstore.Object, settled bool, err error) {
	for {
		await.Sleep(ctx, delay.NextBackOff())
		if ctx.Err() != nil {
			return objstore.Object{}, false, ctx.Err()
		}
		current, err = e.current(ctx, w.kind, w.name)
		if err == nil {
			return current, current.Version != w.version, nil
		}
	}
}

// judge tells what became of the write from the current object, which is no
// longer at the version that the write asked for. sent means that an answer was
// lost before, so the write itself may have moved the object on.
func (w write) judge(current objstore.Object, sent bool, r Result) Result {
	ids := append([]string{changeOf(current).ID}, changeOf(current).Previous...)
	newer := slices.Index(ids, w.id) // changes made since
	switch {
	case newer == 0:
		return r.accepted(current)
	case newer > 0:
		r.Status, r.Version = Accepted, current.Version-uint64(newer)
		return r
	case sent && !w.remembered(current, len(ids)):
		return r.unknown(Error.New("%s %q has changed too often since, it stands at version %d", w.kind, w.name, current.Version))
	}
	return r.lost(current, w.value).refused(Error.New("%s %q stands at version %d, not %d", w.kind, w.name, current.Version, w.version))
}

// remembered reports whether an object that remembers n changes would show
// the write's, had it been made.
func (w write) remembered(current objstore.Object, n int) bool {
	return current.Version > w.version && current.Version-w.version <= uint64(n)
}

// newSettleDelay returns the delays between the calls that settle a lost answer.
func newSettleDelay() *backoff.ExponentialBackOff {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = 20*time.Millisecond, 500*time.Millisecond
	return delay
}
