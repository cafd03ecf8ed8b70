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

// Times of a liveStore.
const (
	registrationBeat = time.Second            // between two writes of a registration
	lapseBeats       = 3                      // without a write, after which a registration lapses
	copyInterval     = 700 * time.Millisecond // between two copies
	keptCopies       = 8
)

// liveStore is an erasStore that hosts call. Its operator writes again soon after a restore, and targets with their next beat.
type liveStore struct {
	mu sync.Mutex
	erasStore
	changed          chan struct{}
	unavailable      bool
	stableSince      time.Time // since when it has been without trouble
	compactedTo      uint64    // history up to this number is gone
	missedBeats      map[string]int
	wantEvacuated    map[string]bool // that the operator wants to be evacuated
	versionWrittenAt []time.Time     // when each version was acknowledged, by version
	leavingSince     map[Target]time.Time
	evacuatedSince   map[string]time.Time
	startedAt        time.Time
}

func newLiveStore() *liveStore {
	s := &liveStore{
		erasStore: erasStore{era: 1, storeCopy: storeCopy{number: 1, targets: map[string]Target{}}, live: map[string]Target{}},
		changed:   make(chan struct{}), missedBeats: map[string]int{}, wantEvacuated: map[string]bool{}, versionWrittenAt: []time.Time{{}},
		leavingSince: map[Target]time.Time{}, evacuatedSince: map[string]time.Time{}, stableSince: time.Now(), startedAt: time.Now(),
	}
	for i := range len(targetNames) {
		s.launch(i)
	}
	s.configureNext()
	return s
}

// do runs a change and wakes the watches.
func (s *liveStore) do(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// launch starts a target anew.
func (s *liveStore) launch(i int) {
	s.born++
	t := Target{ID: targetNames[i], Born: s.born, Service: "s", Address: fmt.Sprintf("10.9.0.%d:80", i), Domain: fmt.Sprintf("domain-%d", i%3)}
	s.live[t.ID] = t
	s.put(t, false)
}

// put writes a registration if the store is there.
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
	s.newest++
	s.configure(s.newest)
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

// setEvacuated writes what differs from the failure domains that are to be evacuated.
func (s *liveStore) setEvacuated(want map[string]bool) {
	held := s.evacuations.at(s.number)
	for _, domain := range []string{"domain-0", "domain-1", "domain-2"} {
		if want[domain] != slices.Contains(held, domain) {
			s.number++
			s.evacuations.write(s.number, domain, !want[domain])
		}
	}
}

// run makes the store's copies and the targets' beats until the test ends.
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

// beatOnce lets the targets that live write again, and the entries lapse that nobody writes.
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

// runOutage makes the store be away for a while, and come back from a copy, if one is named. It does nothing while the store is away.
func (s *liveStore) runOutage(d time.Duration, older int) {
	isAway := false
	s.do(func() { isAway, s.unavailable = s.unavailable, true })
	if isAway {
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
		s.configure(s.newest)
		s.setEvacuated(s.wantEvacuated)
	})
}

// await returns when there is something after a revision, or after a wait.
func (s *liveStore) await(ctx context.Context, after revision.Revision, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, away := s.changed, s.unavailable
		isGone := after.Era != s.era || s.number < after.Number || after.Number < s.compactedTo
		ready := s.number > after.Number
		s.mu.Unlock()
		switch {
		case away:
			return errUnavailable
		case isGone:
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

// hostStore is how one host reaches the store.
type hostStore struct {
	*liveStore
	cut *bool // guarded by the store's lock
}

// startCall takes the time of a call, and fails it where the host is cut off.
func (w hostStore) startCall() error {
	time.Sleep(storeCallTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unavailable || *w.cut {
		return errUnavailable
	}
	return nil
}

// callStore makes a call that waits for changes, or does not if wait is 0, and reads what it answers.
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

func (w hostStore) Config(ctx context.Context) (ConfigRead, error) {
	return callStore(ctx, w, revision.Revision{}, 0, func() ConfigRead {
		return ConfigRead{Config: version(w.version), Found: w.version > 0, Listed: true, Revision: w.at()}
	})
}

func (w hostStore) WatchConfig(ctx context.Context, after revision.Revision, wait time.Duration) (ConfigRead, error) {
	return callStore(ctx, w, after, wait, func() ConfigRead {
		return ConfigRead{Config: version(w.version), Found: w.version > 0 && w.at() != after, Revision: w.at()}
	})
}

func (w hostStore) Targets(ctx context.Context) (TargetList, error) {
	return callStore(ctx, w, revision.Revision{}, 0, w.list)
}

func (w hostStore) WatchTargets(ctx context.Context, after revision.Revision, wait time.Duration) (TargetChanges, error) {
	return callStore(ctx, w, after, wait, func() TargetChanges {
		changes, _ := w.watch(after)
		return changes
	})
}

func (w hostStore) Evacuations(ctx context.Context) (EvacuationRead, error) {
	return callStore(ctx, w, revision.Revision{}, 0, func() EvacuationRead {
		return EvacuationRead{Domains: w.evacuations.at(w.number), Revision: w.at()}
	})
}

func (w hostStore) WatchEvacuations(ctx context.Context, after revision.Revision, wait time.Duration) (EvacuationChanges, error) {
	return callStore(ctx, w, after, wait, func() EvacuationChanges {
		return EvacuationChanges{Changes: w.evacuations.since(after.Number, w.number).Changes, Revision: w.at()}
	})
}
