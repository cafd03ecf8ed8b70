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

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Bounds of the histories below.
const (
	// changeBound is the time within which a change must be applied. It is checked once store and
	// host have been without faults for stableTime.
	changeBound = 3 * time.Second
	stableTime  = 4 * time.Second
	// startGrace is the time after which a starting host has the state of an established one.
	startGrace = bootstrapWait + 50*time.Millisecond
	// maxFaultTime is the longest outage of the store, downtime of a host or cut of its connection
	// to the store.
	maxFaultTime      = 1500 * time.Millisecond
	viewCheckInterval = 50 * time.Millisecond
)

// historyStep is one step of a history.
type historyStep struct {
	pause    time.Duration // before the step
	action   string
	index    int           // index of a host, target or failure domain
	older    int           // restore from this many copies before the newest one
	duration time.Duration // of faults that end by themselves
}

var historyActions = []string{
	"configure", "configure", "drain", "leave", "leave", "crash", "start", "start", "restore", "restore", "outage", "compact", "kill", "cut", "evacuate", "end",
}

func drawStep(t *rapid.T) historyStep {
	return historyStep{
		pause:    time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond,
		action:   rapid.SampledFrom(historyActions).Draw(t, "action"),
		index:    rapid.IntRange(0, 99).Draw(t, "which"),
		older:    rapid.IntRange(0, keptCopies-1).Draw(t, "older"),
		duration: time.Duration(rapid.IntRange(50, int(maxFaultTime.Milliseconds())).Draw(t, "lasts")) * time.Millisecond,
	}
}

// watchedHost is a host, and what its views have contained.
type watchedHost struct {
	*simHost
	cut            bool      // from the store; guarded by the store's lock
	stableSince    time.Time // since when it runs and reaches the store
	version        uint64
	left           map[Target]bool
	previous       []Target             // at the last check
	evacuatedSince map[string]time.Time // evacuations seen here, with the time the operator began them
}

// restoreHistory is a fleet over a liveStore, in virtual time.
type restoreHistory struct {
	t       *testing.T
	net     *simNet
	store   *liveStore
	mu      sync.Mutex // guards hosts
	hosts   []*watchedHost
	tasks   sync.WaitGroup
	problem string // the first violated promise
}

func (h *restoreHistory) startHost(i int) *watchedHost {
	host := &watchedHost{stableSince: time.Now(), left: map[Target]bool{}, evacuatedSince: map[string]time.Time{}}
	host.simHost = startSimHost(h.t, h.net, hostStore{h.store, &host.cut}, i, 0)
	return host
}

// do runs one step. Faults with a duration continue during the next steps.
func (h *restoreHistory) do(step historyStep) {
	name, domain := targetNames[step.index%len(targetNames)], fmt.Sprintf("domain-%d", step.index%3)
	s := h.store
	switch step.action {
	case "configure":
		s.do(s.configureNext)
	case "drain":
		s.do(func() {
			if t, lives := s.live[name]; lives {
				t.Draining = true
				s.live[name] = t
				s.put(t, false)
			}
		})
	case "leave":
		s.do(func() {
			if t, lives := s.live[name]; lives {
				delete(s.live, name)
				s.put(t, true)
			}
		})
	case "crash":
		s.do(func() { delete(s.live, name) })
	case "start":
		s.do(func() {
			if _, lives := s.live[name]; !lives {
				s.launch(step.index % len(targetNames))
			}
		})
	case "restore", "outage":
		older := -1
		if step.action == "restore" {
			older = step.older
		}
		h.tasks.Go(func() { s.runOutage(step.duration, older) })
	case "compact":
		s.do(func() { s.compactedTo, s.stableSince = s.number, time.Now() })
	case "evacuate", "end":
		s.do(func() { s.evacuate(domain, step.action == "evacuate") })
	case "kill":
		h.restart(1+step.index%(len(h.hosts)-1), step.duration)
	case "cut":
		h.cutOff(step.index%len(h.hosts), step.duration)
	}
}

// restart kills a host and starts it again later. The first host is never killed, as state that no
// host has is lost.
func (h *restoreHistory) restart(i int, after time.Duration) {
	h.mu.Lock()
	host := h.hosts[i]
	h.hosts[i] = nil
	h.mu.Unlock()
	if host == nil {
		return // already down
	}
	host.kill(h.t)
	h.tasks.Go(func() {
		time.Sleep(after)
		restarted := h.startHost(i)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.hosts[i] = restarted
	})
}

func (h *restoreHistory) cutOff(i int, duration time.Duration) {
	h.mu.Lock()
	host := h.hosts[i]
	h.mu.Unlock()
	if host == nil {
		return
	}
	h.store.do(func() { host.cut = true })
	h.tasks.Go(func() {
		time.Sleep(duration)
		h.store.do(func() { host.cut, host.stableSince = false, time.Now() })
	})
}

// check compares the view of every host with the promises.
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
		isStable := !s.unavailable && !host.cut && now.Sub(s.stableSince) >= stableTime && now.Sub(host.stableSince) >= stableTime
		h.checkVersion(i, v, now, isStable)
		h.checkTargets(i, v, now, isStable)
		h.checkEvacuations(i, v, now, isStable)
	}
}

func (h *restoreHistory) checkEvacuations(i int, v View, now time.Time, isStable bool) {
	host := h.hosts[i]
	for domain, at := range h.store.evacuatedSince {
		switch {
		case v.Evacuated[domain]:
			host.evacuatedSince[domain] = at
		case host.evacuatedSince[domain] == at:
			h.fail("host %d sends to %s again, although it is still evacuated", i, domain)
		case isStable && now.Sub(at) > changeBound:
			h.fail("host %d: %s has been evacuated for %v", i, domain, now.Sub(at))
		}
	}
}

func (h *restoreHistory) checkVersion(i int, v View, now time.Time, isStable bool) {
	host, s := h.hosts[i], h.store
	version := uint64(0)
	if v.Table != nil {
		version = v.Table.Config.Version
	}
	if version < host.version {
		h.fail("host %d went back from version %d to %d", i, host.version, version)
	}
	host.version = version
	if next := version + 1; isStable && next < uint64(len(s.versionWrittenAt)) && now.Sub(s.versionWrittenAt[next]) > changeBound {
		h.fail("host %d: version %d in force; %d was acknowledged %v ago", i, version, next, now.Sub(s.versionWrittenAt[next]))
	}
}

func (h *restoreHistory) checkTargets(i int, v View, now time.Time, isStable bool) {
	host, s := h.hosts[i], h.store
	hasPeerState := !host.cut && now.Sub(host.stableSince) > startGrace // hosts get state from each other even if the store is down
	for _, t := range v.Targets {
		id := incarnation(t)
		left, hasLeft := s.leavingSince[id]
		if isStable && hasLeft && now.Sub(left) > changeBound && !t.Draining {
			h.fail("host %d uses %v, which left %v ago", i, id, now.Sub(left))
		}
		if host.left[id] && !t.Draining {
			h.fail("host %d uses %v again after seeing it leave", i, id)
		}
		if hasPeerState && hasLeft && now.Sub(left) > changeBound && !t.Draining && h.hosts[0].left[id] && !host.state.isMissing(t.ID) {
			h.fail("host %d uses %v, which left %v ago and which host 0 has seen leaving", i, id, now.Sub(left))
		}
		if t.Draining {
			host.left[id] = true
		}
	}
	for _, id := range host.previous {
		if !slices.ContainsFunc(v.Targets, func(t Target) bool { return incarnation(t) == id }) {
			host.left[id] = true // removed
		}
	}
	host.previous = host.previous[:0]
	for _, t := range v.Targets {
		host.previous = append(host.previous, incarnation(t))
	}
}

// isMissing reports whether a target is kept although its registration is missing.
func (s *State) isMissing(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, missing := s.missing[id]
	return missing
}

func (h *restoreHistory) fail(format string, args ...any) {
	if h.problem == "" {
		h.problem = fmt.Sprintf("at %v of the history: ", time.Since(h.store.startedAt)) + fmt.Sprintf(format, args...)
	}
}

// checkSettled compares the state of every host with the store at the end.
func (h *restoreHistory) checkSettled() {
	s := h.store
	for i, host := range h.hosts {
		v := host.state.View()
		if got, want := targetIDs(host.state), slices.Sorted(maps.Keys(s.live)); !slices.Equal(got, want) {
			h.fail("host %d has targets %v in the end, the store %v", i, got, want)
		}
		for _, t := range v.Targets {
			if incarnation(t) != incarnation(s.live[t.ID]) || t.Draining != s.live[t.ID].Draining {
				h.fail("host %d has %+v in the end, the store holds %+v", i, t, s.live[t.ID])
			}
		}
		if got, want := host.state.Evacuations(), slices.Sorted(maps.Keys(s.wantEvacuated)); !slices.Equal(got, want) {
			h.fail("host %d has %v evacuated in the end, the store %v", i, got, want)
		}
	}
}

// runHistory runs a history on a fleet of n hosts, and returns the first violated promise.
func runHistory(t *testing.T, n int, steps []historyStep) string {
	problem := ""
	synctest.Test(t, func(t *testing.T) {
		cfg := largeSite()
		cfg.ApplyWithin, cfg.LeaveWithin, cfg.EvacuateWithin = unit.Duration(changeBound), unit.Duration(changeBound), unit.Duration(changeBound)
		cfg.RegistrationBeat = unit.Duration(registrationBeat)
		h := &restoreHistory{t: t, store: newLiveStore(), net: &simNet{hosts: map[string]*simHost{}, crossDomainBytes: map[string]int{}, cfg: &cfg}}
		ctx, cancel := context.WithCancel(t.Context())
		h.tasks.Go(func() { h.store.run(ctx) })
		for i := range n {
			h.hosts = append(h.hosts, h.startHost(i))
		}
		h.tasks.Go(func() {
			for ctx.Err() == nil && h.problem == "" {
				time.Sleep(viewCheckInterval)
				h.check()
			}
		})
		time.Sleep(establishedAge + time.Second)
		for _, step := range steps {
			time.Sleep(step.pause)
			h.do(step)
		}
		time.Sleep(maxKeptTime)
		h.checkSettled()
		cancel()
		h.tasks.Wait()
		for _, host := range h.hosts {
			if err := errors.Join(host.follower.Stop(context.Background()), host.members.Stop(context.Background())); err != nil {
				t.Error(err)
			}
		}
		problem = h.problem
	})
	return problem
}

// Whole hosts over a store that is restored from copies at any moment, with outages, compacted
// history, hosts that are killed and hosts that are cut off from the store. A change is applied in
// time where store and host are without faults, no configuration version goes back, and no host
// uses a target again that it has seen leaving, or one of a failure domain that it has seen
// evacuated.
func TestFleetOverRestores(t *testing.T) {
	setFlag(t, "rapid.checks", *fleetHistories)
	setFlag(t, "rapid.seed", *fleetSeed)
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(r, "steps")
		if problem := runHistory(t, *fleetSize, steps); problem != "" {
			r.Fatal(problem)
		}
	})
}

// setFlag sets a flag for the duration of a test.
func setFlag(t *testing.T, name string, value int) {
	f := flag.Lookup(name)
	before := f.Value.String()
	t.Cleanup(func() { _ = f.Value.Set(before) }) // a valid value, as the flag had it before
	if err := f.Value.Set(strconv.Itoa(value)); err != nil {
		t.Fatal(err)
	}
}
