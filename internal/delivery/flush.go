package delivery

import (
	"context"
	"errors"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// flush writes at most maxWrites pending windows, oldest first, and stops at
// the first failure. It then rewrites recent windows that a restore of the
// platform may have lost.
func (w *Windows) flush(ctx context.Context, maxWrites int) {
	defer w.rewriteLostWindows(ctx)
	for range maxWrites {
		p := w.queue.head()
		if p == nil {
			return
		}
		if err := w.write(ctx, p); err != nil {
			w.noteFailure(p, err)
			return
		}
		w.noteSuccess(p)
	}
}

// write writes one window under a name that no other window has. A retry
// therefore conflicts with its own earlier write if that was applied, and the
// window is never counted twice. While the result of a write is unknown, the
// value of the window does not change.
func (w *Windows) write(ctx context.Context, p *pending) error {
	value, err := w.value(p)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.WriteTimeout.Std())
	defer cancel()
	kind, name := w.kind(p.window.Host), p.window.name()
	o, err := w.store.Put(ctx, kind, name, 0, value)
	var conflict *objstore.Conflict
	var unavailable *objstore.Unavailable
	switch {
	case err == nil:
		w.metrics.bytes.Add(float64(len(value)))
		w.addRecentWrite(kind, name, value, o.Era)
		return nil
	case errors.As(err, &conflict) && sameValue(conflict.Current.Value, value):
		w.addRecentWrite(kind, name, value, conflict.Current.Era) // an earlier attempt was applied
		return nil
	case errors.As(err, &conflict):
		return w.skipTakenNumber(p)
	case errors.As(err, &unavailable):
		return Error.New("write window %s: %w", p.window.name(), err) // not applied: the window may still be merged with the next one
	}
	p.value = value
	return Error.New("write window %s: %w", p.window.name(), err)
}

// kind returns the platform kind of the host's windows.
func (w *Windows) kind(host string) string {
	return inShard(objstore.KindWindow, shardOf(host, w.cfg.Shards))
}

// value returns the value to write. If the result of an earlier write is
// unknown, it is the same value as before.
func (w *Windows) value(p *pending) ([]byte, error) {
	if p.inDoubt() {
		return p.value, nil
	}
	if w.numberedIncarnation != p.window.Incarnation {
		w.numberedIncarnation, w.nextNumber = p.window.Incarnation, 0
	}
	p.window.Number = w.nextNumber
	p.window.Start, _ = w.clock.at(p.opened)
	p.window.End, _ = w.clock.at(p.closed)
	return encodeWindow(p.window)
}

// skipTakenNumber moves to the next number, as another process has written a
// window with this one.
func (w *Windows) skipTakenNumber(p *pending) error {
	w.log.Event(evNameTaken).Str("window", p.window.name()).Msg("")
	name := p.window.name()
	w.nextNumber++
	p.value = nil // the write can no longer be applied under the old name
	return Error.New("write window %s: another process has written an object with this name", name)
}

// noteFailure counts and logs a failed write.
func (w *Windows) noteFailure(p *pending, err error) {
	w.consecutiveFailures++
	w.metrics.failures.Inc()
	w.log.Event(evWriteFailed).Str("window", p.window.name()).Int("pending", len(w.queue.items)).Err(err).Msg("")
}

// noteSuccess removes the written window from the queue and counts it.
func (w *Windows) noteSuccess(p *pending) {
	if w.consecutiveFailures > 0 {
		w.log.Event(evRecovered).Str("window", p.window.name()).Int("failures", w.consecutiveFailures).Msg("")
	}
	w.consecutiveFailures = 0
	w.nextNumber++
	w.queue.pop()
	w.metrics.written.Inc()
	w.metrics.pending.Set(float64(len(w.queue.items)))
}
