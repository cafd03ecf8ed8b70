package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/event"
)

// For a host that was suspended, no time has passed by the monotonic clock. Its state must still
// count as stale at once, so that it reads the store although its peer does not answer, and applies
// what changed meanwhile within the bound.
func TestSuspendedHostIsStaleUntilItHasReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		store := newFakeStore()
		store.write(1)
		watcher, stopWatcher := startFollower(t, store, nil)
		defer stopWatcher()
		machine, suspend := clock.NewVirtual()
		state := NewState()
		state.SetClock(machine)
		peers := &fakePeers{watcher: watcher}
		f := NewFollower(cfg, store, peers, state, event.Discard(), nil)
		is.NoErr(f.Start(t.Context()))
		defer func() { is.NoErr(f.Stop(t.Context())) }()
		time.Sleep(10 * time.Second)
		is.True(!f.shouldReadStore()) // it gets everything from its peer

		peers.setCut(true)
		store.write(2)
		suspend(time.Minute)
		is.True(machine.Since(state.Freshness()) >= time.Minute)
		is.True(f.shouldReadStore())
		is.True(timeUntilApplied(state, 2) < cfg.ApplyWithin.Std())
	})
}

// An answer that arrived while the host was suspended confirms the state as of the time the store
// gave it, which is no later than the end of the watch's wait.
func TestWatchConfirmsNothingDuringASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		machine, suspend := clock.NewVirtual()
		state := NewState()
		state.SetClock(machine)
		f := NewFollower(cfg, nil, nil, state, event.Discard(), nil)
		requestedAt := machine.Now()
		w := f.newWatch(requestedAt)
		suspend(time.Minute)
		is.Equal(w.currentAsOf(false), requestedAt.Add(cfg.watchWait()))
		is.True(machine.Since(w.currentAsOf(false)) > cfg.staleAfter())
	})
}

// A watching host that is suspended while it holds a poll must reply with the age that its state
// has by then, not with the age by its monotonic clock.
func TestSuspendedHostReportsTheAgeOfItsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		machine, suspend := clock.NewVirtual()
		state := NewState()
		state.SetClock(machine)
		state.ApplyConfig(ConfigRead{Config: configVersion(1), Found: true, Revision: at(1)}, machine.Now())
		suspend(time.Minute)
		reply := encodeReply(state.AwaitUpdate(t.Context(), Cursor{}, time.Second), machine.Now(), machine.Now())
		update, err := decodeReply(reply, time.Now(), time.Now())
		is.NoErr(err)
		is.True(time.Since(update.ConfigAsOf) >= time.Minute)
	})
}
