package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// loggedStore is a store with a changing registry and the configuration of a fakeStore.
type loggedStore struct {
	*fakeStore
	mu       sync.Mutex
	registry registryLog
	down     atomic.Bool // for all hosts
}

// cutSource is the store as one host reaches it. All calls fail once ctx is done.
type cutSource struct {
	Source
	ctx context.Context
}

// newCutSource returns a source for one host, and the function that cuts the host off.
func newCutSource(s Source) (cutSource, context.CancelFunc) {
	ctx, cut := context.WithCancel(context.Background())
	return cutSource{s, ctx}, cut
}

// callUnlessCut makes a call, which fails if the host is cut off before the answer.
func callUnlessCut[T any](ctx context.Context, s cutSource, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	answer, err := call(ctx)
	if s.ctx.Err() != nil {
		return *new(T), errUnavailable
	}
	return answer, err
}

func (s cutSource) Config(ctx context.Context) (ConfigRead, error) {
	return callUnlessCut(ctx, s, s.Source.Config)
}

func (s cutSource) Targets(ctx context.Context) (TargetList, error) {
	return callUnlessCut(ctx, s, s.Source.Targets)
}

func (s cutSource) WatchConfig(ctx context.Context, after revision.Revision, wait time.Duration) (ConfigRead, error) {
	return callUnlessCut(ctx, s, func(ctx context.Context) (ConfigRead, error) { return s.Source.WatchConfig(ctx, after, wait) })
}

func (s cutSource) WatchTargets(ctx context.Context, after revision.Revision, wait time.Duration) (TargetChanges, error) {
	return callUnlessCut(ctx, s, func(ctx context.Context) (TargetChanges, error) { return s.Source.WatchTargets(ctx, after, wait) })
}

func (s *loggedStore) write(changes ...TargetChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		s.registry.write(c)
	}
}

func (s *loggedStore) Config(ctx context.Context) (ConfigRead, error) {
	if s.down.Load() {
		return ConfigRead{}, errUnavailable
	}
	return s.fakeStore.Config(ctx)
}

func (s *loggedStore) WatchConfig(ctx context.Context, after revision.Revision, wait time.Duration) (ConfigRead, error) {
	if s.down.Load() {
		return ConfigRead{}, errUnavailable
	}
	return s.fakeStore.WatchConfig(ctx, after, wait)
}

func (s *loggedStore) Targets(context.Context) (TargetList, error) {
	time.Sleep(storeCallTime)
	if s.down.Load() {
		return TargetList{}, errUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := TargetList{Revision: at(s.registry.revision)}
	for _, t := range s.registry.at(s.registry.revision) {
		list.Targets = append(list.Targets, t)
	}
	return list, nil
}

func (s *loggedStore) WatchTargets(ctx context.Context, after revision.Revision, wait time.Duration) (TargetChanges, error) {
	for began := time.Now(); ; time.Sleep(storeCallTime) {
		if s.down.Load() {
			return TargetChanges{}, errUnavailable
		}
		s.mu.Lock()
		changes, err := s.registry.watch(after.Number)
		s.mu.Unlock()
		if err != nil || len(changes.Changes) > 0 || time.Since(began) >= wait || ctx.Err() != nil {
			return changes, errors.Join(err, ctx.Err())
		}
	}
}

// withRegistry runs f with n hosts that follow a store with targets, 10 s after their start.
func withRegistry(t *testing.T, cfg *Config, n int, targets []TargetChange, f func(net *simNet, store *loggedStore, all []*simHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := &loggedStore{fakeStore: newFakeStore()}
		store.fakeStore.write(1)
		store.write(targets...)
		net := &simNet{hosts: map[string]*simHost{}, crossDomainBytes: map[string]int{}, cfg: cfg}
		all := startSimFleet(t, net, store, n, 0)
		defer func() {
			for _, h := range all {
				h.kill(t)
			}
		}()
		time.Sleep(10 * time.Second)
		f(net, store, all)
	})
}

// kill stops the host without a message to the others.
func (h *simHost) kill(t *testing.T) {
	t.Helper()
	h.net.mu.Lock()
	if h.net.hosts[h.self.PeerAddress] == h {
		delete(h.net.hosts, h.self.PeerAddress)
	}
	h.net.mu.Unlock()
	if err := errors.Join(h.follower.Stop(context.Background()), h.members.Stop(context.Background())); err != nil {
		t.Error(err)
	}
}

// The watching host and two others are killed and restarted. In the half second in between some
// registrations are removed and other targets start to drain. Every host must apply this within the
// time for a change, and must not add a removed target again.
func TestTargetsThatLeaveWhileTheWatcherRestarts(t *testing.T) {
	const targets, removed, drained = 85, 8, 23
	var ids []string
	for i := range targets {
		ids = append(ids, fmt.Sprintf("t%02d", i))
	}
	withRegistry(t, nil, 7, additionsOf(ids...), func(net *simNet, store *loggedStore, all []*simHost) {
		watcher := all[0].spread.ownGroup().watchers()[0]
		var killed []int
		for i, h := range all {
			if h.self.ID == watcher.ID || len(killed) < 2 {
				killed = append(killed, i)
			}
		}
		for _, i := range killed {
			all[i].kill(t)
		}
		for _, id := range ids[:removed] {
			store.write(removalOf(id)...)
		}
		for _, id := range ids[removed : removed+drained] {
			store.write(TargetChange{Target: Target{ID: id, Service: "s", Draining: true}})
		}
		time.Sleep(300 * time.Millisecond)
		for _, i := range killed {
			all[i] = startSimHost(t, net, store, i, 0)
		}

		time.Sleep(DefaultConfig().ApplyWithin.Std())
		for _, h := range all {
			leaving := 0
			for _, target := range h.state.View().Targets {
				if target.Draining {
					leaving++
				}
			}
			if known := len(h.state.View().Targets); known != targets-removed || leaving != drained {
				t.Errorf("%s has %d targets, %d of which are leaving; want %d and %d", h.self.ID, known, leaving, targets-removed, drained)
			}
		}
	})
}

// The watching host is cut off from the store, but not from the other hosts, and reports failed
// reads of the registry. A target whose registration is removed meanwhile must be gone on every
// other host within the time for a change, as those have read the store themselves or got updates
// from hosts that had.
func TestTargetThatLeavesWhileTheWatcherIsCutOff(t *testing.T) {
	for _, within := range []time.Duration{3 * time.Second, 6 * time.Second} {
		t.Run(within.String(), func(t *testing.T) {
			cfg := DefaultConfig()
			cfg.ApplyWithin, cfg.LeaveWithin = unit.Duration(within), unit.Duration(within)
			testTargetLeavesWhileWatcherIsCutOff(t, cfg)
		})
	}
}

func testTargetLeavesWhileWatcherIsCutOff(t *testing.T, cfg Config) {
	t.Helper()
	withRegistry(t, &cfg, 7, additionsOf("leaves", "stays"), func(net *simNet, store *loggedStore, all []*simHost) {
		watcher := all[0].spread.ownGroup().watchers()[0]
		net.host(watcher.PeerAddress).cut()
		store.write(removalOf("leaves")...)
		time.Sleep(cfg.LeaveWithin.Std())
		for _, h := range all {
			if h.self.ID != watcher.ID && len(h.state.View().Targets) != 1 {
				t.Errorf("%s still has the target that left", h.self.ID)
			}
		}
	})
}

// The store is down for all hosts for some seconds. Half of the registrations lapse; one of the two
// is written again 1.5 s after the end. No host may remove these targets in that time. The one that
// is not written again must be gone 3 s after the end.
func TestTargetsThatLapseInAnOutageAreKept(t *testing.T) {
	for _, tc := range []struct {
		hosts  int
		outage time.Duration
	}{{1, 5 * time.Second}, {7, 2600 * time.Millisecond}, {7, 5 * time.Second}, {100, 2600 * time.Millisecond}, {100, 4 * time.Second}, {100, 5 * time.Second}} {
		t.Run(fmt.Sprintf("%d hosts, %s", tc.hosts, tc.outage), func(t *testing.T) {
			cfg := DefaultConfig()
			withRegistry(t, &cfg, tc.hosts, additionsOf("a", "b", "lapses", "lost"), func(_ *simNet, store *loggedStore, all []*simHost) {
				const lastMoment = 200 * time.Millisecond // of the outage, in which registrations lapse
				store.down.Store(true)
				time.Sleep(tc.outage - lastMoment)
				store.write(removalOf("lapses")...)
				store.write(removalOf("lost")...)
				time.Sleep(lastMoment)
				store.down.Store(false)
				for range 3 {
					time.Sleep(500 * time.Millisecond)
					wantTargets(t, all, 4)
				}
				store.write(additionsOf("lapses")...)
				time.Sleep(1500 * time.Millisecond)
				wantTargets(t, all, 3)
			})
		})
	}
}

// wantTargets fails the test unless all hosts have the given number of targets.
func wantTargets(t *testing.T, all []*simHost, want int) {
	t.Helper()
	wrong := 0
	for _, h := range all {
		if len(h.state.View().Targets) != want {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("%d of %d hosts do not have %d targets", wrong, len(all), want)
	}
}

// If LeaveWithin is shorter than ApplyWithin, the registry must be followed at the pace of
// LeaveWithin.
func TestTargetLeavesInTimeWhereConfigurationsTakeLonger(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ApplyWithin, cfg.LeaveWithin = unit.Duration(6*time.Second), unit.Duration(2*time.Second)
	testTargetLeavesWhileWatcherIsCutOff(t, cfg)
}
