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
	version    uint64 // current version that the write requires
	value      []byte
	changeID   string // also contained in the value
}

// put makes the write. If the response is lost, it reads the object back and, if
// that still has the old version, retries. A retry is safe: the write takes
// effect at most once, since that changes the version that it requires.
func (e *Editor) put(ctx context.Context, w write, r Result) Result {
	delay := newReadBackDelay()
	answerLost := false // an earlier attempt may still take effect
	for {
		o, err := e.store.Put(ctx, w.kind, w.name, w.version, w.value)
		if err == nil {
			return r.accepted(o)
		}
		var conflict *objstore.Conflict
		if errors.As(err, &conflict) {
			return w.resolve(conflict.Current, answerLost, r)
		}
		var unanswered *objstore.Unanswered
		answerLost = answerLost || errors.As(err, &unanswered)
		if !answerLost {
			return r.refused(Error.New("nothing was written: %w", err))
		}
		current, versionChanged, cause := e.readBack(ctx, w, delay)
		if cause != nil {
			return r.unknown(err)
		}
		if versionChanged {
			return w.resolve(current, answerLost, r)
		}
	}
}

// readBack reads the object, with a delay before each attempt, until the
// platform responds. versionChanged is false if the object still has the version that
// the write requires, so that the write has not taken effect yet.
func (e *Editor) readBack(ctx context.Context, w write, delay *backoff.ExponentialBackOff) (current objstore.Object, versionChanged bool, err error) {
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

// resolve determines the result of the write from the current object, whose
// version is no longer the one that the write requires. answerLost means that a
// response was lost before, so the write itself may have changed the version.
func (w write) resolve(current objstore.Object, answerLost bool, r Result) Result {
	ids := append([]string{changeOf(current).ID}, changeOf(current).Previous...)
	newer := slices.Index(ids, w.changeID) // number of changes after this one
	switch {
	case newer == 0:
		return r.accepted(current)
	case newer > 0:
		r.Status, r.Version = Accepted, current.Version-uint64(newer)
		return r
	case answerLost && !w.wouldBeListed(current, len(ids)):
		return r.unknown(Error.New("%s %q has changed too often since, it stands at version %d", w.kind, w.name, current.Version))
	}
	return r.withLostRace(current, w.value).refused(Error.New("%s %q stands at version %d, not %d", w.kind, w.name, current.Version, w.version))
}

// wouldBeListed reports whether an object that lists its last n changes would
// list the write's change if that had been made.
func (w write) wouldBeListed(current objstore.Object, n int) bool {
	return current.Version > w.version && current.Version-w.version <= uint64(n)
}

// newReadBackDelay returns the backoff between the reads after a lost response.
func newReadBackDelay() *backoff.ExponentialBackOff {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = 20*time.Millisecond, 500*time.Millisecond
	return delay
}
