package delivery

import (
	"context"
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// recentWriteRetention is how long a host keeps a window after it was written. The platform may be restored from an
// older copy that lacks the newest windows; the host then rewrites those it has kept. The time is longer than the age
// of a restored copy, and shorter than the time after which windows are aggregated and removed.
const recentWriteRetention = 30 * time.Second

// writtenWindow is a window that was written to the platform.
type writtenWindow struct {
	kind, name string
	value      []byte
	writtenAt  time.Time
	era        uint64 // the platform's era in which it was last written
}

// addRecentWrite adds a written window and drops those that are past recentWriteRetention.
func (w *Windows) addRecentWrite(kind, name string, value []byte, era uint64) {
	now := time.Now()
	kept := w.recentWrites[:0]
	for _, written := range w.recentWrites {
		if now.Sub(written.writtenAt) < recentWriteRetention {
			kept = append(kept, written)
		}
	}
	w.recentWrites = append(kept, writtenWindow{kind, name, value, now, era})
}

// rewriteLostWindows rewrites the recent windows that were written in an earlier era and may have been lost. It stops
// at the first failure; the next flush continues.
func (w *Windows) rewriteLostWindows(ctx context.Context) {
	era := w.store.Era()
	for i, written := range w.recentWrites {
		if written.era >= era || time.Since(written.writtenAt) >= recentWriteRetention {
			continue
		}
		if err := w.rewriteWindow(ctx, written); err != nil {
			w.log.Event(evRewriteFailed).Str("window", written.name).Uint64("era", era).Err(err).Msg("")
			return
		}
		w.log.Event(evRewritten).Str("window", written.name).Uint64("before", written.era).Uint64("era", era).Msg("")
		w.recentWrites[i].era = era
	}
}

// rewriteWindow writes a window unless the platform still has it.
func (w *Windows) rewriteWindow(ctx context.Context, written writtenWindow) error {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.WriteTimeout.Std())
	defer cancel()
	_, err := w.store.Put(ctx, written.kind, written.name, 0, written.value)
	if conflict := (*objstore.Conflict)(nil); errors.As(err, &conflict) {
		return nil
	}
	if err != nil {
		return Error.New("rewrite window %s: %w", written.name, err)
	}
	return nil
}
