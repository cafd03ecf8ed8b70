package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/event"
)

// A host that was suspended believes nothing older than its bound: to its steady clock no time has
// passed, yet it is stale at once, asks the store though its peer is silent, and has what was changed
// meanwhile in force within the bound.
func TestHostThatWasSuspendedIsStaleUntilItHasAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		store := newFakeStore()
		store.write(1)
		watcher, stopWatcher := startFollower(t, store, nil)
		defer stopWatcher()
		machine, suspend := clock.Virtual()
		state := NewState()
		state.GoBy(machine)
		peers := &fakePeers{watcher: watcher}
		f := NewFollower(cfg, store, peers, state, event.Discard(), nil)
		is.NoErr(f.Start(t.Context()))
		defer func() { is.NoErr(f.Stop(t.Context())) }()
		time.Sleep(10 * time.Second)
		is.True(!f.shouldReadStore()) // its peer tells it all

		peers.setCut(true)
		store.write(2)
		suspend(time.Minute)
		is.True(machine.Since(state.Freshness()) >= time.Minute)
		is.True(f.shouldReadStore())
		is.True(timeUntilApplied(state, 2) < cfg.ApplyWithin.Std())
	})
}

// An answer that came while the host was suspended proves what stood when the store gave it, which is
// no later than the end of the time for which it was asked to wait.
func TestWatchProvesNothingOfASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		machine, suspend := clock.Virtual()
		state := NewState()
		state.GoBy(machine)
		f := NewFollower(cfg, nil, nil, state, event.Discard(), nil)
		asked := machine.Now()
		w := f.newWatch(asked)
		suspend(time.Minute)
		is.Equal(w.currentAsOf(false), asked.Add(cfg.watchWait()))
		is.True(machine.Since(w.currentAsOf(false)) > cfg.staleAfter())
	})
}

// A watcher that is suspended while it holds the question of a peer tells the age that its news have by
// then, not the one that its steady clock knows of.
func TestNewsOfAHostThatWasSuspendedTellTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		machine, suspend := clock.Virtual()
		state := NewState()
		state.GoBy(machine)
		state.ApplyConfig(ConfigRead{Config: version(1), Found: true, Revision: at(1)}, machine.Now())
		suspend(time.Minute)
		reply := encodeReply(state.AwaitUpdate(t.Context(), Cursor{}, time.Second), machine.Now(), machine.Now())
		update, err := decodeReply(reply, time.Now(), time.Now())
		is.NoErr(err)
		is.True(time.Since(update.ConfigAsOf) >= time.Minute)
	})
}
