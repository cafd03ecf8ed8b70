package discovery

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Settings of a liveStore.
const (
	registrationBeat = time.Second            // between two writes of a registration
	lapseBeats       = 3                      // missed writes after which a registration lapses
	copyInterval     = 700 * time.Millisecond // between two copies
	keptCopies       = 8
)

// liveStore is a restorableStore for calls of simulated hosts. After a restore the operator writes
// again soon, and targets with their next beat.
type liveStore struct {
	mu sync.Mutex
	restorableStore
	changed          chan struct{}
	unavailable      bool
	stableSince      time.Time            // since when it has been without faults
	compactedTo      uint64               // history up to this number is not available
	missedBeats      map[string]int       // of registrations that nothing writes, by target
	wantEvacuated    map[string]bool      // failure domains to evacuate, as the operator wants
	versionWrittenAt []time.Time          // when each version was written, by version
	leavingSince     map[Target]time.Time // by incarnation
	evacuatedSince   map[string]time.Time // by failure domain
	startedAt        time.Time
}

func newLiveStore() *liveStore {
	s := &liveStore{
		restorableStore: restorableStore{era: 1, storeCopy: storeCopy{number: 1, targets: map[string]Target{}}, live: map[string]Target{}},
		changed:         make(chan struct{}), missedBeats: map[string]int{}, wantEvacuated: map[string]bool{}, versionWrittenAt: []time.Time{{}},
		leavingSince: map[Target]time.Time{}, evacuatedSince: map[string]time.Time{}, stableSince: time.Now(), startedAt: time.Now(),
	}
	for i := range len(targetNames) {
		s.launch(i)
	}
	s.configureNext()
	return s
}

// do makes a change and wakes the watches.
func (s *liveStore) do(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// launch starts a new incarnation of a target.
func (s *liveStore) launch(i int) {
	s.lastBorn++
	t := Target{ID: targetNames[i], StartMillis: s.lastBorn, Service: "s", Address: fmt.Sprintf("10.9.0.%d:80", i), Domain: fmt.Sprintf("domain-%d", i%3)}
	s.live[t.ID] = t
	s.put(t, false)
}

// put writes or removes a registration unless the store is unavailable.
func (s *liveStore) put(t Target, gone bool) {
	if s.unavailable {
		return
	}
	s.write(t, gone)
	if _, known := s.leavingSince[incarnation(t)]; (gone || t.Draining) && !known {
		s.leavingSince[incarnation(t)] = time.Now()
	}
}

func (s *liveStore) configureNext() {
	if s.unavailable {
		return
	}
	s.newestVersion++
	s.configure(s.newestVersion)
	s.versionWrittenAt = append(s.versionWrittenAt, time.Now())
}

// evacuate begins or ends an evacuation.
func (s *liveStore) evacuate(domain string, begin bool) {
	if s.unavailable || s.wantEvacuated[domain] == begin {
		return
	}
	s.wantEvacuated = maps.Clone(s.wantEvacuated)
	delete(s.evacuatedSince, domain)
	if begin {
		s.wantEvacuated[domain] = true
		s.evacuatedSince[domain] = time.Now()
	} else {
		delete(s.wantEvacuated, domain)
	}
	s.setEvacuated(s.wantEvacuated)
}

// setEvacuated makes the stored evacuations equal to the wanted ones.
func (s *liveStore) setEvacuated(want map[string]bool) {
	stored := s.evacuations.at(s.number)
	for _, domain := range []string{"domain-0", "domain-1", "domain-2"} {
		if want[domain] != slices.Contains(stored, domain) {
			s.number++
			s.evacuations.write(s.number, domain, !want[domain])
		}
	}
}

// run makes the copies of the store and the beats of the targets until ctx is done.
func (s *liveStore) run(ctx context.Context) {
	beat, copies := time.NewTicker(registrationBeat), time.NewTicker(copyInterval)
	defer beat.Stop()
	defer copies.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			s.do(s.beatOnce)
		case <-copies.C:
			s.do(func() {
				if !s.unavailable {
					s.copies = append(s.copies[max(0, len(s.copies)-keptCopies):], s.storeCopy)
				}
			})
		}
	}
}

// beatOnce writes the registrations of the running targets again, and lets the others lapse.
func (s *liveStore) beatOnce() {
	if s.unavailable {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		if _, lives := s.live[id]; lives {
			delete(s.missedBeats, id)
			continue
		}
		if s.missedBeats[id]++; s.missedBeats[id] >= lapseBeats {
			s.put(s.targets[id], true)
			delete(s.missedBeats, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.live)) {
		s.put(s.live[id], false)
	}
}

// runOutage makes the store unavailable for a time, and restores it from a copy if older is one. It
// does nothing if the store is already unavailable.
func (s *liveStore) runOutage(d time.Duration, older int) {
	wasUnavailable := false
	s.do(func() { wasUnavailable, s.unavailable = s.unavailable, true })
	if wasUnavailable {
		return
	}
	time.Sleep(d)
	s.do(func() {
		s.unavailable = false
		if older >= 0 && older < len(s.copies) {
			s.loadCopy(len(s.copies) - 1 - older)
			s.evacuations.events = slices.Clip(s.evacuations.events)
			s.compactedTo = 0
			clear(s.missedBeats)
		}
		s.stableSince = time.Now()
	})
	time.Sleep(d / 2) // until the operator writes again
	s.do(func() {
		s.configure(s.newestVersion)
		s.setEvacuated(s.wantEvacuated)
	})
}

// await returns on a change after a revision, or after a wait.
func (s *liveStore) await(ctx context.Context, after revision.Revision, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, unavailable := s.changed, s.unavailable
		historyGone := after.Era != s.era || s.number < after.Number || after.Number < s.compactedTo
		ready := s.number > after.Number
		s.mu.Unlock()
		switch {
		case unavailable:
			return errUnavailable
		case historyGone:
			return ErrHistoryGone
		case ready:
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	*liveStore
	cut *bool // guarded by the store's lock
}

// startCall takes the time of a call, and fails if the store is unavailable or the host is cut off.
func (h hostStore) startCall() error {
	time.Sleep(storeCallTime)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailable || *h.cut {
		return errUnavailable
	}
	return nil
}

// callStore makes a call and returns the result of read. It waits for changes after a revision,
// unless wait is 0.
func callStore[T any](ctx context.Context, w hostStore, after revision.Revision, wait time.Duration, read func() T) (T, error) {
	var none T
	if err := w.startCall(); err != nil {
		return none, err
	}
	if wait > 0 {
		if err := w.await(ctx, after, wait); err != nil {
			return none, err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unavailable || *w.cut {
		return none, errUnavailable
	}
	if wait > 0 && after.Era != w.era {
		return none, ErrHistoryGone
	}
	return read(), nil
}

func (h hostStore) Config(ctx context.Context) (ConfigRead, error) {
	return callStore(ctx, h, revision.Revision{}, 0, func() ConfigRead {
		return ConfigRead{Config: configVersion(h.version), Found: h.version > 0, Listed: true, Revision: h.at()}
	})
}

func (h hostStore) WatchConfig(ctx context.Context, after revision.Revision, wait time.Duration) (ConfigRead, error) {
	return callStore(ctx, h, after, wait, func() ConfigRead {
		return ConfigRead{Config: configVersion(h.version), Found: h.version > 0 && h.at() != after, Revision: h.at()}
	})
}

func (h hostStore) Targets(ctx context.Context) (TargetList, error) {
	return callStore(ctx, h, revision.Revision{}, 0, h.list)
}

func (h hostStore) WatchTargets(ctx context.Context, after revision.Revision, wait time.Duration) (TargetChanges, error) {
	return callStore(ctx, h, after, wait, func() TargetChanges {
		changes, _ := h.watch(after)
		return changes
	})
}

func (h hostStore) Evacuations(ctx context.Context) (EvacuationRead, error) {
	return callStore(ctx, h, revision.Revision{}, 0, func() EvacuationRead {
		return EvacuationRead{Domains: h.evacuations.at(h.number), Revision: h.at()}
	})
}

func (h hostStore) WatchEvacuations(ctx context.Context, after revision.Revision, wait time.Duration) (EvacuationChanges, error) {
	return callStore(ctx, h, after, wait, func() EvacuationChanges {
		return EvacuationChanges{Changes: h.evacuations.since(after.Number, h.number).Changes, Revision: h.at()}
	})
}
