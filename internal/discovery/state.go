package discovery

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// State is what the host believes. Every method is safe for concurrent use.
type State struct {
	clock *clock.Clock // of all ages

	mu     sync.Mutex
	table  *routing.Table // nil: no configuration yet
	config belief
	// configWritten is the store's revision at which the configuration in
	// force was written; the belief's grows also when nothing changes.
	configWritten revision.Revision
	began         time.Time // when this host started
	stored        storedConfig
	numbers       *keptNumbers
	evacuations   evacuations
	permits       permits
	permitsFor    time.Duration // for how long they count without news of the registry
	seenEra       uint64        // of the registry
	eraSeen       time.Time     // when it was first seen
	registryAsOf  atomic.Pointer[time.Time]
	registry      belief
	targets       map[string]Target
	lapsed        map[string]lapse  // targets that went missing and are kept for a while
	unusable      map[string]string // problems of registrations that name no target, by id
	outage        time.Time         // when the registry could last be read again after an outage
	resumed       time.Time         // when the belief of the registry was last current again after lapseAfter or more
	failing       bool              // the last reading of the registry by this host failed
	lapseAfter    time.Duration     // of an outage, from which on registrations may lapse in it
	history       history
	tombstones    tombstones
	news          chan struct{} // closes at the next change
	follow        []func(View)
	findings      findings

	requests *quarantine.Table // what is held against requests; nil: not shared

	reports    chan Finding // of this host, to be told
	onFindings func([]Finding)
}

// belief tells how new a belief is.
type belief struct {
	revision revision.Revision
	asOf     time.Time // when it was last known to be current
}

// goesOnTo reports whether changes up to a revision may go on from what is believed: they are of the same era, and not
// older. What is known of an earlier era says nothing of where those of another one begin.
func (b belief) goesOnTo(at revision.Revision) bool {
	return !at.Before(b.revision) && (b.revision.IsZero() || at.Era == b.revision.Era)
}

// View is what is believed at one moment. It must not be changed.
type View struct {
	Table            *routing.Table // nil: no configuration yet
	ConfigRevision   revision.Revision
	ConfigAsOf       time.Time
	RegistryRevision revision.Revision
	RegistryAsOf     time.Time
	Targets          []Target // sorted by ID
	// Evacuated are the failure domains to whose targets nothing more may be sent.
	Evacuated map[string]bool
	// EvacuationEnds tells when evacuations were found to have ended, by failure domain, for a while.
	EvacuationEnds map[string]time.Time
	// Permits are those to send to cold targets, by target.
	Permits map[string]Permit
	Now     time.Time // by the clock of the state, when the view was made
	// EvacuationsUnknown is set while the host does not know them yet.
	EvacuationsUnknown bool
}

// NewState returns a state that knows nothing.
func NewState() *State {
	numbers := &keptNumbers{}
	return &State{
		began:       time.Now(),
		numbers:     numbers,
		evacuations: evacuations{domains: map[string]bool{}, inForce: map[string]bool{}, numbers: numbers},
		tombstones:  newTombstones(defaultBeat, numbers),
		targets:     map[string]Target{}, lapsed: map[string]lapse{}, unusable: map[string]string{}, lapseAfter: DefaultConfig().lapseAfter(),
		permitsFor: DefaultConfig().permitsFor(),
		news:       make(chan struct{}), findings: newFindings(), reports: make(chan Finding, mostReports),
	}
}

// GoBy makes the ages of what is believed go by a clock that counts the time in which the machine is
// suspended. It is to be called before the state is used.
func (s *State) GoBy(c *clock.Clock) { s.clock, s.began = c, c.Now() }

// Clock returns the clock of all ages.
func (s *State) Clock() *clock.Clock { return s.clock }

// Follow calls f with every new view, under the lock: f must be short. It is
// to be called before the state is used.
func (s *State) Follow(f func(View)) { s.follow = append(s.follow, f) }

// View returns what is believed now.
func (s *State) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view()
}

// Table returns the configuration in force, nil if none is known, and when it
// was last known to be current; the zero time while the store holds an older one.
func (s *State) Table() (*routing.Table, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isBehind() {
		return s.table, time.Time{}
	}
	return s.table, s.config.asOf
}

// Limits returns the limits of the configuration in force, none before there is
// one.
func (s *State) Limits() routing.Limits {
	table, _ := s.Table()
	if table == nil {
		return routing.Limits{}
	}
	return table.Config.Limits
}

// Freshness returns when the oldest of the beliefs was last known to be current; the
// zero time if one never was.
func (s *State) Freshness() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.config.asOf
	if s.registry.asOf.Before(oldest) {
		oldest = s.registry.asOf
	}
	if s.evacuations.followed && s.evacuations.belief.asOf.Before(oldest) {
		oldest = s.evacuations.belief.asOf
	}
	return oldest
}

// asOf returns when the configuration and the registry were last known to be current.
func (s *State) asOf() (config, registry time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.asOf, s.registry.asOf
}

// ApplyTargets takes a full list of the registry that was current at a time.
// Targets that are missing in it are gone, except for a while after an outage.
// It returns the targets that came, changed or went, and the registrations that turned
// unusable. An old list is ignored. A peer that holds an older revision than the list is told
// everything.
func (s *State) ApplyTargets(l TargetList, asOf time.Time) []TargetChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Revision.Before(s.registry.revision) {
		return nil
	}
	now := s.clock.Now()
	if s.registry.revision.Era < l.Revision.Era {
		s.restored(l.Revision.Era, now)
	}
	clear(s.tombstones.suppressed)
	listed := map[string]bool{}
	var changes []TargetChange
	for _, t := range l.Targets {
		listed[t.ID] = true
		t, gone := s.suppress(s.stamp(t), l.Revision, asOf)
		if !gone {
			changes = append(changes, TargetChange{Target: t})
		}
	}
	for _, u := range l.Unusable {
		listed[u.ID] = true
		changes = append(changes, TargetChange{Target: Target{ID: u.ID}, Gone: true, Problem: u.Problem})
	}
	for id := range s.targets {
		if !listed[id] {
			changes = append(changes, TargetChange{Target: Target{ID: id}, Gone: true})
		}
	}
	s.history.begin(l.Revision)
	return s.apply(changes, l.Revision, asOf)
}

// ApplyChanges takes the changes of the registry since a revision that this
// host holds. It returns the targets that came, changed or went. All are kept for
// the peers: one that changes nothing here, as the removal of a target that came
// and went between two answers, may be news to a peer at a revision in between.
func (s *State) ApplyChanges(c TargetChanges, asOf time.Time) []TargetChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registry.goesOnTo(c.Revision) {
		return nil
	}
	changes := slices.Clone(c.Changes)
	for i := range changes {
		changes[i].Target = s.stamp(changes[i].Target)
		s.supersede(changes[i], c.Revision)
	}
	s.history.add(c.Revision, changes)
	made := s.apply(changes, c.Revision, asOf)
	if len(changes) > 0 && len(made) == 0 {
		s.wakePeers() // it is news to them all the same
	}
	return made
}

// apply changes the targets and tells the followers if anything differs.
func (s *State) apply(changes []TargetChange, at revision.Revision, asOf time.Time) []TargetChange {
	now := s.clock.Now()
	s.registry.revision = revision.Later(s.registry.revision, at)
	s.noteEra(s.registry.revision.Era, now)
	if asOf.After(s.registry.asOf) {
		if before := s.registry.asOf; !before.IsZero() && asOf.Sub(before) >= s.lapseAfter {
			s.resumed = now
		}
		s.registry.asOf = asOf
		s.registryAsOf.Store(&asOf)
	}
	var made, unusable []TargetChange
	for _, c := range changes {
		if s.noteUnusable(c) {
			unusable = append(unusable, c)
		}
		if !s.differs(c, now) {
			s.noteUnknownGone(c)
			continue
		}
		if c, ok := s.change(c, now); ok {
			made = append(made, c)
		}
	}
	if len(made) > 0 {
		s.tell()
	}
	return append(made, unusable...)
}

// mostUnusable bounds the registrations whose problem is remembered, so that it is told once.
const mostUnusable = 512

// noteUnusable remembers the problem of a registration that names no target, or that there is none. It
// reports whether there is a new one.
func (s *State) noteUnusable(c TargetChange) bool {
	id := c.Target.ID
	if c.Problem == "" {
		delete(s.unusable, id)
		return false
	}
	if s.unusable[id] == c.Problem {
		return false
	}
	if len(s.unusable) >= mostUnusable {
		clear(s.unusable) // they are told again
	}
	s.unusable[id] = c.Problem
	return true
}

// differs reports whether a change is one to what the registry is known to
// hold.
func (s *State) differs(c TargetChange, now time.Time) bool {
	known, ok := s.targets[c.Target.ID]
	_, missing := s.lapsed[c.Target.ID]
	if c.Gone {
		return ok && (!missing || c.Problem != "")
	}
	return !ok || missing || !sameTarget(known, c.Target, now)
}

// change applies one change that differs. It reports false if a target that
// is missing is still believed to be there.
func (s *State) change(c TargetChange, now time.Time) (TargetChange, bool) {
	id := c.Target.ID
	known := s.targets[id]
	if !c.Gone {
		delete(s.lapsed, id)
		s.targets[id] = c.Target
		s.noteRegistration(c.Target)
		return c, true
	}
	if hold := s.holdLapsed(now); now.Before(hold.until) && c.Problem == "" {
		s.lapsed[id] = hold
		return c, false
	}
	delete(s.targets, id)
	delete(s.lapsed, id)
	if c.Problem == "" { // that a registration is spoilt says nothing of its target
		s.addTombstone(id, known.Born, true, s.registry.revision)
	}
	return TargetChange{Target: known, Gone: true}, true
}

// sameTarget compares what matters to the choice of a target. The time left of its warm-up falls with every
// registration; that it ended early, or began anew, is a change.
func sameTarget(known, news Target, now time.Time) bool {
	longer := news.ColdUntil.Sub(known.ColdUntil) > coldDoubt && news.ColdUntil.After(now)
	ended := known.ColdUntil.After(now) && news.ColdUntil.IsZero()
	known.ColdUntil, news.ColdUntil = time.Time{}, time.Time{}
	return known == news && !longer && !ended
}

// coldDoubt is how much later a target may say that its warm-up ends before it counts as cold anew: the
// news of it take a while, which is not known.
const coldDoubt = 500 * time.Millisecond

// stamp sets until when a target that was just heard of is cold at the longest.
func (s *State) stamp(t Target) Target {
	if t.Warmup > 0 {
		t.ColdUntil = s.clock.Now().Add(t.Warmup)
	}
	t.Warmup = 0
	return t
}

// tell tells the followers, and the peers that wait for news.
func (s *State) tell() {
	s.wakePeers()
	v := s.view()
	for _, f := range s.follow {
		f(v)
	}
}

// wakePeers lets the peers that wait for news look again. The caller holds the
// lock.
func (s *State) wakePeers() {
	close(s.news)
	s.news = make(chan struct{})
}

func (s *State) view() View {
	targets := slices.SortedFunc(maps.Values(s.targets), func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return View{
		Table:            s.table,
		ConfigRevision:   s.config.revision,
		ConfigAsOf:       s.config.asOf,
		RegistryRevision: s.registry.revision,
		RegistryAsOf:     s.registry.asOf,
		Targets:          targets,

		Evacuated: s.evacuations.inForce, EvacuationsUnknown: !s.evacuations.known(), EvacuationEnds: s.evacuations.ends,
		Permits: s.permits.of(s.registry.revision.Era), Now: s.clock.Now(),
	}
}
