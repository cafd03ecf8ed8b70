package discovery

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Bounds of the histories below.
const (
	historyBeat = time.Second
	// historyBound is the time within which a change must be known, and stableFor for how long store and host must have been
	// without trouble for that to hold.
	historyBound = 3 * time.Second
	stableFor    = 4 * time.Second
	// longestAway is how long the store is away at most.
	longestAway = 1500 * time.Millisecond
	copyEvery   = 700 * time.Millisecond
	keptCopies  = 8
	lapseBeats  = 3
	// startGrace is the time after which a host knows what the one knows that has run for long.
	startGrace = recallWithin + 50*time.Millisecond
	checkEvery = 50 * time.Millisecond
)

// liveStore is an erasStore that hosts call. Its operator writes again soon after a restore, and targets with their next beat.
type liveStore struct {
	mu sync.Mutex
	erasStore
	changed    chan struct{}
	away       bool
	stable     time.Time // since when it has been without trouble
	gone       uint64    // history up to this number is gone
	missed     map[string]int
	domains    map[string]bool // that the operator wants to be evacuated
	newestAt   []time.Time     // when each version was acknowledged, by version
	leftAt     map[Target]time.Time
	evacuateAt map[string]time.Time
	began      time.Time
}

func newLiveStore() *liveStore {
	s := &liveStore{
		erasStore: erasStore{era: 1, storeCopy: storeCopy{number: 1, targets: map[string]Target{}}, truth: map[string]Target{}},
		changed:   make(chan struct{}), missed: map[string]int{}, domains: map[string]bool{}, newestAt: []time.Time{{}},
		leftAt: map[Target]time.Time{}, evacuateAt: map[string]time.Time{}, stable: time.Now(), began: time.Now(),
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
	s.truth[t.ID] = t
	s.put(t, false)
}

// put writes a registration if the store is there.
func (s *liveStore) put(t Target, gone bool) {
	if s.away {
		return
	}
	s.write(t, gone)
	if _, known := s.leftAt[incarnation(t)]; (gone || t.Draining) && !known {
		s.leftAt[incarnation(t)] = time.Now()
	}
}

func (s *liveStore) configureNext() {
	if s.away {
		return
	}
	s.newest++
	s.configure(s.newest)
	s.newestAt = append(s.newestAt, time.Now())
}

// evacuate begins or ends an evacuation.
func (s *liveStore) evacuate(domain string, begin bool) {
	if s.away || s.domains[domain] == begin {
		return
	}
	s.domains = maps.Clone(s.domains)
	delete(s.evacuateAt, domain)
	if begin {
		s.domains[domain] = true
		s.evacuateAt[domain] = time.Now()
	} else {
		delete(s.domains, domain)
	}
	s.setEvacuated(s.domains)
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
	beat, copies := time.NewTicker(historyBeat), time.NewTicker(copyEvery)
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
				if !s.away {
					s.copies = append(s.copies[max(0, len(s.copies)-keptCopies):], s.storeCopy)
				}
			})
		}
	}
}

// beatOnce lets the targets that live write again, and the entries lapse that nobody writes.
func (s *liveStore) beatOnce() {
	if s.away {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		if _, lives := s.truth[id]; lives {
			delete(s.missed, id)
			continue
		}
		if s.missed[id]++; s.missed[id] >= lapseBeats {
			s.put(s.targets[id], true)
			delete(s.missed, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.truth)) {
		s.put(s.truth[id], false)
	}
}

// goAway makes the store be away for a while, and come back from a copy, if one is named. It does nothing while the store is away.
func (s *liveStore) goAway(d time.Duration, older int) {
	isAway := false
	s.do(func() { isAway, s.away = s.away, true })
	if isAway {
		return
	}
	time.Sleep(d)
	s.do(func() {
		s.away = false
		if older >= 0 && older < len(s.copies) {
			s.goBack(len(s.copies) - 1 - older)
			s.evacuations.events = slices.Clip(s.evacuations.events)
			s.gone = 0
			clear(s.missed)
		}
		s.stable = time.Now()
	})
	time.Sleep(d / 2) // until the operator writes again
	s.do(func() {
		s.configure(s.newest)
		s.setEvacuated(s.domains)
	})
}

// await returns when there is something after a revision, or after a wait.
func (s *liveStore) await(ctx context.Context, after revision.Revision, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, away := s.changed, s.away
		isGone := after.Era != s.era || s.number < after.Number || after.Number < s.gone
		ready := s.number > after.Number
		s.mu.Unlock()
		switch {
		case away:
			return errAway
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

// way is how one host reaches the store.
type way struct {
	*liveStore
	cut *bool // guarded by the store's lock
}

// begin takes the time of a call, and fails it where the host is cut off.
func (w way) begin() error {
	time.Sleep(storeAnswers)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away || *w.cut {
		return errAway
	}
	return nil
}

// ask makes a call that waits for changes, or does not if wait is 0, and reads what it answers.
func ask[T any](ctx context.Context, w way, after revision.Revision, wait time.Duration, read func() T) (T, error) {
	var none T
	if err := w.begin(); err != nil {
		return none, err
	}
	if wait > 0 {
		if err := w.await(ctx, after, wait); err != nil {
			return none, err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away || *w.cut {
		return none, errAway
	}
	if wait > 0 && after.Era != w.era {
		return none, ErrHistoryGone
	}
	return read(), nil
}

func (w way) Config(ctx context.Context) (ConfigRead, error) {
	return ask(ctx, w, revision.Revision{}, 0, func() ConfigRead {
		return ConfigRead{Config: version(w.version), Found: w.version > 0, Listed: true, Revision: w.at()}
	})
}

func (w way) WatchConfig(ctx context.Context, after revision.Revision, wait time.Duration) (ConfigRead, error) {
	return ask(ctx, w, after, wait, func() ConfigRead {
		return ConfigRead{Config: version(w.version), Found: w.version > 0 && w.at() != after, Revision: w.at()}
	})
}

func (w way) Targets(ctx context.Context) (TargetList, error) {
	return ask(ctx, w, revision.Revision{}, 0, w.list)
}

func (w way) WatchTargets(ctx context.Context, after revision.Revision, wait time.Duration) (TargetChanges, error) {
	return ask(ctx, w, after, wait, func() TargetChanges {
		changes, _ := w.watch(after)
		return changes
	})
}

func (w way) Evacuations(ctx context.Context) (EvacuationRead, error) {
	return ask(ctx, w, revision.Revision{}, 0, func() EvacuationRead {
		return EvacuationRead{Domains: w.evacuations.at(w.number), Revision: w.at()}
	})
}

func (w way) WatchEvacuations(ctx context.Context, after revision.Revision, wait time.Duration) (EvacuationChanges, error) {
	return ask(ctx, w, after, wait, func() EvacuationChanges {
		return EvacuationChanges{Changes: w.evacuations.since(after.Number, w.number).Changes, Revision: w.at()}
	})
}

// historyStep is one step of a history.
type historyStep struct {
	pause  time.Duration // before it
	action string
	which  int           // host, target or failure domain
	older  int           // how many copies before the newest one the store comes back from
	lasts  time.Duration // of what ends by itself
}

var historyActions = []string{
	"configure", "configure", "drain", "leave", "leave", "crash", "start", "start", "restore", "restore", "outage", "compact", "kill", "cut", "evacuate", "end",
}

func drawStep(t *rapid.T) historyStep {
	return historyStep{
		pause:  time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond,
		action: rapid.SampledFrom(historyActions).Draw(t, "action"),
		which:  rapid.IntRange(0, 99).Draw(t, "which"),
		older:  rapid.IntRange(0, keptCopies-1).Draw(t, "older"),
		lasts:  time.Duration(rapid.IntRange(50, int(longestAway.Milliseconds())).Draw(t, "lasts")) * time.Millisecond,
	}
}

// watchedHost is a host, and what it has believed.
type watchedHost struct {
	*simHost
	cut       bool      // from the store; guarded by the store's lock
	untouched time.Time // since when it runs and reaches the store
	version   uint64
	left      map[Target]bool
	used      []Target             // at the last look
	evacuated map[string]time.Time // that it has believed, and since when the operator wants it
}

// restoreHistory is a fleet over a liveStore, in virtual time.
type restoreHistory struct {
	t       *testing.T
	net     *simNet
	store   *liveStore
	mu      sync.Mutex // guards hosts
	hosts   []*watchedHost
	work    sync.WaitGroup
	problem string // the first promise that was broken
}

func (h *restoreHistory) startHost(i int) *watchedHost {
	host := &watchedHost{untouched: time.Now(), left: map[Target]bool{}, evacuated: map[string]time.Time{}}
	host.simHost = startSimHost(h.t, h.net, way{h.store, &host.cut}, i, 0)
	return host
}

// do makes one step. What lasts goes on beside the next steps.
func (h *restoreHistory) do(step historyStep) {
	name, domain := targetNames[step.which%len(targetNames)], fmt.Sprintf("domain-%d", step.which%3)
	s := h.store
	switch step.action {
	case "configure":
		s.do(s.configureNext)
	case "drain":
		s.do(func() {
			if t, lives := s.truth[name]; lives {
				t.Draining = true
				s.truth[name] = t
				s.put(t, false)
			}
		})
	case "leave":
		s.do(func() {
			if t, lives := s.truth[name]; lives {
				delete(s.truth, name)
				s.put(t, true)
			}
		})
	case "crash":
		s.do(func() { delete(s.truth, name) })
	case "start":
		s.do(func() {
			if _, lives := s.truth[name]; !lives {
				s.launch(step.which % len(targetNames))
			}
		})
	case "restore", "outage":
		older := -1
		if step.action == "restore" {
			older = step.older
		}
		h.work.Go(func() { s.goAway(step.lasts, older) })
	case "compact":
		s.do(func() { s.gone, s.stable = s.number, time.Now() })
	case "evacuate", "end":
		s.do(func() { s.evacuate(domain, step.action == "evacuate") })
	case "kill":
		h.restart(1+step.which%(len(h.hosts)-1), step.lasts)
	case "cut":
		h.cutOff(step.which%len(h.hosts), step.lasts)
	}
}

// restart kills a host, which starts again after a while. The first one is never killed: what nobody remembers is lost.
func (h *restoreHistory) restart(i int, after time.Duration) {
	h.mu.Lock()
	host := h.hosts[i]
	h.hosts[i] = nil
	h.mu.Unlock()
	if host == nil {
		return // it is away already
	}
	host.kill(h.t)
	h.work.Go(func() {
		time.Sleep(after)
		again := h.startHost(i)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.hosts[i] = again
	})
}

func (h *restoreHistory) cutOff(i int, lasts time.Duration) {
	h.mu.Lock()
	host := h.hosts[i]
	h.mu.Unlock()
	if host == nil {
		return
	}
	h.store.do(func() { host.cut = true })
	h.work.Go(func() {
		time.Sleep(lasts)
		h.store.do(func() { host.cut, host.untouched = false, time.Now() })
	})
}

// check holds what every host believes against the promises.
func (h *restoreHistory) check() {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.store
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i, host := range h.hosts {
		if host == nil {
			continue
		}
		v := host.state.View()
		isInTouch := !s.away && !host.cut && now.Sub(s.stable) >= stableFor && now.Sub(host.untouched) >= stableFor
		h.checkVersion(i, v, now, isInTouch)
		h.checkTargets(i, v, now, isInTouch)
		h.checkEvacuations(i, v, now, isInTouch)
	}
}

func (h *restoreHistory) checkEvacuations(i int, v View, now time.Time, isInTouch bool) {
	host := h.hosts[i]
	for domain, at := range h.store.evacuateAt {
		switch {
		case v.Evacuated[domain]:
			host.evacuated[domain] = at
		case host.evacuated[domain] == at:
			h.broken("host %d sends to %s again, which is still evacuated", i, domain)
		case isInTouch && now.Sub(at) > historyBound:
			h.broken("host %d: %s has been evacuated for %v", i, domain, now.Sub(at))
		}
	}
}

func (h *restoreHistory) checkVersion(i int, v View, now time.Time, isInTouch bool) {
	host, s := h.hosts[i], h.store
	version := uint64(0)
	if v.Table != nil {
		version = v.Table.Config.Version
	}
	if version < host.version {
		h.broken("host %d went back from version %d to %d", i, host.version, version)
	}
	host.version = version
	if next := version + 1; isInTouch && next < uint64(len(s.newestAt)) && now.Sub(s.newestAt[next]) > historyBound {
		h.broken("host %d: version %d in force; %d was acknowledged %v ago", i, version, next, now.Sub(s.newestAt[next]))
	}
}

func (h *restoreHistory) checkTargets(i int, v View, now time.Time, isInTouch bool) {
	host, s := h.hosts[i], h.store
	isHeard := !host.cut && now.Sub(host.untouched) > startGrace // hosts tell each other, whatever the store does
	for _, t := range v.Targets {
		one := incarnation(t)
		left, hasLeft := s.leftAt[one]
		if isInTouch && hasLeft && now.Sub(left) > historyBound && !t.Draining {
			h.broken("host %d uses %v, which left %v ago", i, one, now.Sub(left))
		}
		if host.left[one] && !t.Draining {
			h.broken("host %d uses %v again, which it knew to leave", i, one)
		}
		if isHeard && hasLeft && now.Sub(left) > historyBound && !t.Draining && h.hosts[0].left[one] && !host.state.keepsLapsed(t.ID) {
			h.broken("host %d uses %v, which left %v ago and host 0 knew to leave", i, one, now.Sub(left))
		}
		if t.Draining {
			host.left[one] = true
		}
	}
	for _, one := range host.used {
		if !slices.ContainsFunc(v.Targets, func(t Target) bool { return incarnation(t) == one }) {
			host.left[one] = true // it is gone
		}
	}
	host.used = host.used[:0]
	for _, t := range v.Targets {
		host.used = append(host.used, incarnation(t))
	}
}

// keepsLapsed reports whether a target is kept though the registry lacks it, since it may have lapsed in an outage.
func (s *State) keepsLapsed(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, missing := s.lapsed[id]
	return missing
}

func (h *restoreHistory) broken(format string, args ...any) {
	if h.problem == "" {
		h.problem = fmt.Sprintf("%v of the history: ", time.Since(h.store.began)) + fmt.Sprintf(format, args...)
	}
}

// settled compares what every host believes with the store.
func (h *restoreHistory) settled() {
	s := h.store
	for i, host := range h.hosts {
		v := host.state.View()
		if got, want := ids(host.state), slices.Sorted(maps.Keys(s.truth)); !slices.Equal(got, want) {
			h.broken("host %d knows %v in the end, the store %v", i, got, want)
		}
		for _, t := range v.Targets {
			if incarnation(t) != incarnation(s.truth[t.ID]) || t.Draining != s.truth[t.ID].Draining {
				h.broken("host %d believes %+v in the end, the store holds %+v", i, t, s.truth[t.ID])
			}
		}
		if got, want := host.state.Evacuations(), slices.Sorted(maps.Keys(s.domains)); !slices.Equal(got, want) {
			h.broken("host %d holds %v for evacuated in the end, the store %v", i, got, want)
		}
	}
}

// playRestores plays a history on a fleet of n hosts, and returns the first promise that was broken.
func playRestores(t *testing.T, n int, steps []historyStep) string {
	problem := ""
	synctest.Test(t, func(t *testing.T) {
		cfg := largeSite()
		cfg.ApplyWithin, cfg.LeaveWithin, cfg.EvacuateWithin = unit.Duration(historyBound), unit.Duration(historyBound), unit.Duration(historyBound)
		cfg.RegistrationBeat = unit.Duration(historyBeat)
		h := &restoreHistory{t: t, store: newLiveStore(), net: &simNet{hosts: map[string]*simHost{}, crossed: map[string]int{}, cfg: &cfg}}
		ctx, cancel := context.WithCancel(t.Context())
		h.work.Go(func() { h.store.run(ctx) })
		for i := range n {
			h.hosts = append(h.hosts, h.startHost(i))
		}
		h.work.Go(func() {
			for ctx.Err() == nil && h.problem == "" {
				time.Sleep(checkEvery)
				h.check()
			}
		})
		time.Sleep(establishedAge + time.Second)
		for _, step := range steps {
			time.Sleep(step.pause)
			h.do(step)
		}
		time.Sleep(keptNoLonger)
		h.settled()
		cancel()
		h.work.Wait()
		for _, host := range h.hosts {
			if err := errors.Join(host.follow.Stop(context.Background()), host.members.Stop(context.Background())); err != nil {
				t.Error(err)
			}
		}
		problem = h.problem
	})
	return problem
}

// Whole hosts over a store that comes back from older copies of itself at any moment, with outages, lost history, hosts that are killed and
// cut off: a change is in force in time wherever store and host are without trouble, no version goes back, and no host uses a target again
// that it knew to leave, or one of a failure domain that it knew to be evacuated.
func TestFleetOverRestores(t *testing.T) {
	setFlag(t, "rapid.checks", *fleetHistories)
	setFlag(t, "rapid.seed", *fleetSeed)
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(r, "steps")
		if problem := playRestores(t, *fleetSize, steps); problem != "" {
			r.Fatal(problem)
		}
	})
}

// setFlag sets a flag for the time of a test.
func setFlag(t *testing.T, name string, value int) {
	f := flag.Lookup(name)
	before := f.Value.String()
	t.Cleanup(func() { _ = f.Value.Set(before) }) // a value that it had
	if err := f.Value.Set(strconv.Itoa(value)); err != nil {
		t.Fatal(err)
	}
}
