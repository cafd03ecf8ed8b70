package delivery

import (
	"context"
	"errors"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// flush writes the pending windows, oldest first, until one fails or as many
// as given are written, and those again that the platform may have lost.
func (w *Windows) flush(ctx context.Context, most int) {
	defer w.rewrite(ctx)
	for range most {
		p := w.queue.head()
		if p == nil {
			return
		}
		if err := w.write(ctx, p); err != nil {
			w.failed(p, err)
			return
		}
		w.written(p)
	}
}

// write writes one window under a name that is its own, so that a write whose
// answer was lost is told from one that was not applied, and never counts
// twice. The value of a window in doubt stays what it was.
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
		w.keep(kind, name, value, o.Era)
		return nil
	case errors.As(err, &conflict) && sameValue(conflict.Current.Value, value):
		w.keep(kind, name, value, conflict.Current.Era) // an earlier try was applied
		return nil
	case errors.As(err, &conflict):
		return w.takeNextNumber(p)
	case errors.As(err, &unavailable):
		return Error.New("write window %s: %w", p.window.name(), err) // not applied: it may still be joined
	}
	p.value = value
	return Error.New("write window %s: %w", p.window.name(), err)
}

// kind returns the kind of the host's windows.
func (w *Windows) kind(host string) string {
	return inShard(objstore.KindWindow, shardOf(host, w.cfg.Shards))
}

// value returns what to write: for a window in doubt the same as before.
func (w *Windows) value(p *pending) ([]byte, error) {
	if p.inDoubt() {
		return p.value, nil
	}
	if w.numbered != p.window.Incarnation {
		w.numbered, w.next = p.window.Incarnation, 0
	}
	p.window.Number = w.next
	p.window.Start, _ = w.clock.at(p.opened)
	p.window.End, _ = w.clock.at(p.closed)
	return encodeWindow(p.window)
}

// takeNextNumber leaves a name that another process has taken.
func (w *Windows) takeNextNumber(p *pending) error {
	w.log.Event(evNameTaken).Str("window", p.window.name()).Msg("")
	name := p.window.name()
	w.next++
	p.value = nil // it can't be applied any more under that name
	return Error.New("write window %s: the name is taken", name)
}

// failed counts and logs a write that failed.
func (w *Windows) failed(p *pending, err error) {
	w.failures++
	w.metrics.failures.Inc()
	w.log.Event(evWriteFailed).Str("window", p.window.name()).Int("pending", len(w.queue.items)).Err(err).Msg("")
}

// written takes the window off the queue and counts it.
func (w *Windows) written(p *pending) {
	if w.failures > 0 {
		w.log.Event(evRecovered).Str("window", p.window.name()).Int("failures", w.failures).Msg("")
	}
	w.failures = 0
	w.next++
	w.queue.pop()
	w.metrics.written.Inc()
	w.metrics.pending.Set(float64(len(w.queue.items)))
}
