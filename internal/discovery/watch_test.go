package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// lateSource is a store whose answers to watches of the configuration arrive late, as at a host
// that was frozen.
type lateSource struct {
	*fakeStore
	late time.Duration
}

// WatchConfig implements Source.
func (l lateSource) WatchConfig(ctx context.Context, after revision.Revision, wait time.Duration) (ConfigRead, error) {
	read, err := l.fakeStore.WatchConfig(ctx, after, wait)
	time.Sleep(l.late)
	return read, err
}

// An answer that was delayed confirms the state as of the time it was made, not of its arrival.
func TestWatchConfirmsNothingAfterItsAnswerWasMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.write(1)
		state := NewState()
		f := NewFollower(DefaultConfig(), lateSource{store, 3 * time.Second}, nil, state, event.Discard(), nil)
		is.NoErr(f.Start(t.Context()))
		time.Sleep(50 * time.Millisecond)
		first := DefaultConfig().watchWait()
		time.Sleep(first + 3*time.Second) // the first watch has ended, and its answer has arrived
		_, asOf := state.Table()
		is.True(time.Since(asOf) >= 3*time.Second)
		store.set(func() { store.unavailable = true })
		is.NoErr(f.Stop(t.Context()))
	})
}

// After a change the state counts as confirmed at the beginning of the watch that found it, so the
// next watch must be shorter: hosts that poll this one must not find its state stale.
func TestWatchAfterAChangeIsShorter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		f := NewFollower(cfg, nil, nil, NewState(), event.Discard(), nil)
		now := time.Now()
		is.Equal(f.newWatch(now).wait, cfg.watchWait())
		next := f.newWatch(now.Add(-cfg.watchWait()))
		is.True(next.wait < cfg.watchWait())
		is.True(cfg.watchWait()+next.wait+cfg.peerPollWait() < cfg.staleAfter())
	})
}
