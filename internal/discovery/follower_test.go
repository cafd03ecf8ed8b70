package discovery

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

var errUnavailable = errors.New("the store is unavailable")

// fakeStore is a Source that simulates faults of a store.
type fakeStore struct {
	mu             sync.Mutex
	config         routing.Config
	revision       uint64
	restores       uint64 // from an older copy; the era counts from 1
	configRevision uint64 // at which the configuration was written
	changed        chan struct{}
	unavailable    bool
	missesChanges  bool   // watches do not return on changes
	compactedTo    uint64 // history up to this revision is not available
	tooLongBefore  uint64 // changes since an earlier revision are too long for a response
	calls          int
	listCalls      int // of these, full reads of the registry or of one page of it

	evacuations evacuationLog
	orders      orderLog
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{})} }

func (f *fakeStore) write(v uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.configRevision = f.revision
	f.config = configVersion(v)
	f.wakeLocked()
}

func (f *fakeStore) wakeLocked() {
	if !f.missesChanges {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.wakeLocked()
}

// at returns a revision of the current era. The caller holds the lock.
func (f *fakeStore) at(number uint64) revision.Revision {
	return revision.Revision{Era: 1 + f.restores, Number: number}
}

// restore takes the store back by a number of revisions, into a new era.
func (f *fakeStore) restore(by uint64) {
	f.set(func() {
		f.restores++
		f.revision -= by
		f.configRevision = min(f.configRevision, f.revision)
		f.orders.events = slices.DeleteFunc(f.orders.events, func(e revisedOrder) bool { return e.revision > f.revision })
	})
}

// callCount returns the number of calls so far.
func (f *fakeStore) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeStore) countCall() error {
	f.calls++
	if f.unavailable {
		return errUnavailable
	}
	return nil
}

func (f *fakeStore) Config(context.Context) (ConfigRead, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.countCall()
	return ConfigRead{Config: f.config, Found: f.configRevision > 0, Listed: true, Revision: f.at(f.revision)}, err
}

// wait returns on a change after a revision, or after the wait.
func (f *fakeStore) wait(ctx context.Context, since revision.Revision, wait time.Duration) (uint64, error) {
	after := since.Number
	timer := time.NewTimer(wait)
	defer timer.Stop()
	f.mu.Lock()
	err := f.countCall()
	for {
		changed, revision := f.changed, f.revision
		if err == nil && (after < f.compactedTo || since.Era != 1+f.restores) {
			err = ErrHistoryGone
		}
		if err == nil && after < f.tooLongBefore {
			err = ErrHistoryTooLong
		}
		if f.missesChanges {
			revision = after
		}
		f.mu.Unlock()
		if err != nil || revision > after {
			return revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return revision, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
		f.mu.Lock()
		if f.unavailable {
			err = errUnavailable
		}
	}
}

func (f *fakeStore) WatchConfig(ctx context.Context, since revision.Revision, wait time.Duration) (ConfigRead, error) {
	after := since.Number
	reached, err := f.wait(ctx, since, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || reached <= after || f.configRevision <= after {
		return ConfigRead{Revision: f.at(reached)}, err
	}
	return ConfigRead{Config: f.config, Found: true, Revision: f.at(reached)}, nil
}

func (f *fakeStore) Targets(context.Context) (TargetList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listCalls++
	return TargetList{Revision: f.at(f.revision)}, f.countCall()
}

func (f *fakeStore) WatchTargets(ctx context.Context, since revision.Revision, wait time.Duration) (TargetChanges, error) {
	reached, err := f.wait(ctx, since, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	return TargetChanges{Revision: f.at(reached)}, err
}

// fakePeers connects a host to one watching host.
type fakePeers struct {
	watches bool
	watcher *State
	mu      sync.Mutex
	isCut   bool
	last    Update // last reply, up to which the numbers of the watching host were received
}

func (f *fakePeers) Watches() bool { return f.watches }

// Hosts returns the size of a large fleet, in which failed calls are spaced.
func (f *fakePeers) Hosts() int { return 71 }

// Rank puts several hosts before this one.
func (f *fakePeers) Rank() int { return 4 }

func (f *fakePeers) Isolated() bool                                        { return false }
func (f *fakePeers) SendRequests(context.Context, []quarantine.Record) int { return 0 }
func (f *fakePeers) SendFindings(_ context.Context, all []Finding)         { f.watcher.publishFindings(all) }

// BootstrapContacts returns none: the one peer is polled for updates.
func (f *fakePeers) BootstrapContacts() []string { return nil }
func (f *fakePeers) FetchState(context.Context, string, Cursor) (Update, error) {
	return Update{}, errUnavailable
}

func (f *fakePeers) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = cut
}

func (f *fakePeers) Poll(ctx context.Context, than Cursor, wait time.Duration) (Update, error) {
	f.mu.Lock()
	cut := f.isCut
	than.FindingEpoch, than.FindingNumber, than.KeptNumber = f.last.FindingEpoch, f.last.FindingNumber, f.last.Kept.Number
	f.mu.Unlock()
	if cut {
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	update := f.watcher.AwaitUpdate(ctx, than, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = update
	return update, nil
}

func startFollower(t *testing.T, store Source, peers Peers) (*State, func()) {
	t.Helper()
	return startFollowerWith(t, DefaultConfig(), store, peers)
}

func startFollowerWith(t *testing.T, cfg Config, store Source, peers Peers) (*State, func()) {
	t.Helper()
	s := NewState()
	f := NewFollower(cfg, store, peers, s, event.Discard(), nil)
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s, func() {
		if err := f.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	}
}

// timeUntilApplied returns how long it takes until a version is in force.
func timeUntilApplied(s *State, v uint64) time.Duration {
	began := time.Now()
	for time.Since(began) < time.Minute {
		if table, _ := s.Table(); table != nil && table.Config.Version >= v {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Hour
}

func TestChangeIsInForceWithinTheBound(t *testing.T) {
	bound := DefaultConfig().ApplyWithin.Std()
	cases := []struct {
		name string
		do   func(store *fakeStore, peers *fakePeers)
	}{
		{"calm", func(store *fakeStore, _ *fakePeers) { store.write(2) }},
		{"the watches miss changes for a second", func(store *fakeStore, _ *fakePeers) {
			store.set(func() { store.missesChanges = true })
			store.write(2)
			time.AfterFunc(time.Second, func() { store.set(func() { store.missesChanges, store.compactedTo = false, store.revision }) })
		}},
		{"the history is compacted", func(store *fakeStore, _ *fakePeers) {
			store.write(2)
			store.set(func() { store.compactedTo = store.revision + 1; store.revision++ })
		}},
		{"the history is compacted and the connection to the peer is cut", func(store *fakeStore, peers *fakePeers) {
			peers.setCut(true)
			time.Sleep(5 * time.Second) // both hosts read the store by now
			store.write(2)
			store.set(func() { store.compactedTo = store.revision + 1; store.revision++ })
		}},
		{"the changes are too long for a response", func(store *fakeStore, _ *fakePeers) {
			store.set(func() { store.tooLongBefore = store.revision + 1 })
			store.write(2)
		}},
		{"the changes are too long for a response and the connection to the peer is cut", func(store *fakeStore, peers *fakePeers) {
			peers.setCut(true)
			store.set(func() { store.tooLongBefore = store.revision + 1 })
			store.write(2)
		}},
		{"the connection to the peer is cut", func(store *fakeStore, peers *fakePeers) {
			peers.setCut(true)
			store.write(2)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.write(1)
				watcher, stopWatcher := startFollower(t, store, nil)
				defer stopWatcher()
				peers := &fakePeers{watcher: watcher}
				other, stopOther := startFollower(t, store, peers)
				defer stopOther()
				time.Sleep(10 * time.Second)
				tc.do(store, peers)
				for name, s := range map[string]*State{"watcher": watcher, "other": other} {
					if took := timeUntilApplied(s, 2); took > bound {
						t.Errorf("%s: in force after %s, want %s", name, took, bound)
					}
				}
			})
		})
	}
}

// After a power loss the watching host may be down and not answer.
func TestHostWithoutStateReadsTheStoreSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.write(1)
		peers := &fakePeers{watcher: NewState(), isCut: true}
		s, stop := startFollower(t, store, peers)
		defer stop()
		is.True(timeUntilApplied(s, 1) < 2*coldPeerGrace)
	})
}

// A host that the store refuses gets updates from one that it serves.
func TestHostThatTheStoreRefusesFollowsItsPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, refusing := newFakeStore(), newFakeStore()
		refusing.unavailable = true
		store.write(1)
		watcher, stopWatcher := startFollower(t, store, nil)
		defer stopWatcher()
		other, stopOther := startFollower(t, refusing, &fakePeers{watcher: watcher})
		defer stopOther()
		time.Sleep(time.Second)
		store.write(2)
		is.True(timeUntilApplied(other, 2) < DefaultConfig().ApplyWithin.Std())
		time.Sleep(time.Minute)
		is.True(time.Since(other.Freshness()) < DefaultConfig().staleAfter())
	})
}

// The number of store calls must not grow with the number of hosts.
func TestHostsThatPollAPeerMakeFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, unused := newFakeStore(), newFakeStore()
		store.write(1)
		unused.write(1)
		watcher, stopWatcher := startFollower(t, store, nil)
		defer stopWatcher()
		_, stopOther := startFollower(t, unused, &fakePeers{watcher: watcher})
		defer stopOther()
		time.Sleep(time.Minute)
		is.True(unused.callCount() <= 4)  // at the start, before the first update
		is.True(store.callCount() <= 150) // two feeds, one watch a second each
	})
}

// Configuration and targets are both read soon after the end of an outage.
func TestConfigurationAndTargetsAreReadOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.write(1)
		store.set(func() { store.unavailable = true })
		s, stop := startFollower(t, store, nil)
		defer stop()
		time.Sleep(10*time.Second + 17*time.Millisecond)
		store.set(func() { store.unavailable = false })
		time.Sleep(DefaultConfig().RetryMost.Std()*3/2 + time.Millisecond) // delays are randomized by up to half
		is.True(!s.Freshness().IsZero())
		v := s.View()
		is.True(v.RegistryAsOf.Sub(v.ConfigAsOf).Abs() < 20*time.Millisecond)
	})
}

// Calls during an outage are billed, too.
func TestCallsDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.write(1)
		watcher, stopWatcher := startFollower(t, store, nil)
		defer stopWatcher()
		otherStore := newFakeStore()
		_, stopOther := startFollower(t, otherStore, &fakePeers{watcher: watcher})
		defer stopOther()
		time.Sleep(10 * time.Second)
		store.set(func() { store.unavailable = true })
		otherStore.set(func() { otherStore.unavailable = true })
		watcherCalls, otherCalls := store.callCount(), otherStore.callCount()
		time.Sleep(10 * time.Second)
		is.True(store.callCount()-watcherCalls <= 100)
		is.True(otherStore.callCount()-otherCalls <= 30)
	})
}
