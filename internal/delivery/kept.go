package delivery

import (
	"context"
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// The platform may come back from an older copy, without the windows that were written since. A host keeps its last ones for that
// long, and writes them again.

// keepWritten is how long a window is kept after it was written: more than the age of a copy, and less than the time after which
// windows are summed up and removed.
const keepWritten = 30 * time.Second

// writtenWindow is a window that is in the platform, as far as an era goes.
type writtenWindow struct {
	kind, name string
	value      []byte
	at         time.Time
	era        uint64 // in which it was written
}

// keep keeps a window that was written, and forgets those from before.
func (w *Windows) keep(kind, name string, value []byte, era uint64) {
	now := time.Now()
	kept := w.kept[:0]
	for _, one := range w.kept {
		if now.Sub(one.at) < keepWritten {
			kept = append(kept, one)
		}
	}
	w.kept = append(kept, writtenWindow{kind, name, value, now, era})
}

// rewrite writes the windows again that an older copy may lack. It goes on with the next flush where a write fails.
func (w *Windows) rewrite(ctx context.Context) {
	era := w.store.Era()
	for i, one := range w.kept {
		if one.era >= era || time.Since(one.at) >= keepWritten {
			continue
		}
		if err := w.writeAgain(ctx, one); err != nil {
			w.log.Event(evRewriteFailed).Str("window", one.name).Uint64("era", era).Err(err).Msg("")
			return
		}
		w.log.Event(evRewritten).Str("window", one.name).Uint64("before", one.era).Uint64("era", era).Msg("")
		w.kept[i].era = era
	}
}

// writeAgain writes a window unless the copy has it.
func (w *Windows) writeAgain(ctx context.Context, one writtenWindow) error {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.WriteTimeout.Std())
	defer cancel()
	_, err := w.store.Put(ctx, one.kind, one.name, 0, one.value)
	if conflict := (*objstore.Conflict)(nil); errors.As(err, &conflict) {
		return nil
	}
	if err != nil {
		return Error.New("write window %s again: %w", one.name, err)
	}
	return nil
}
