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
	"rhubarbwood.example/rhubarbwood/internal/rollout"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// State is the cached state of a host. Every method is safe for concurrent use.
type State struct {
	clock *clock.Clock // for all ages

	mu     sync.Mutex
	table  *routing.Table // nil: no configuration yet
	config syncPoint
	// configWrittenAt is the store revision at which the configuration in force was written. The
	// revision in config also advances when nothing changes.
	configWrittenAt   revision.Revision
	startedAt         time.Time // when this host started
	storedConfig      storedConfig
	keptSeq           *keptSequence
	evacuations       evacuations
	orders            orders
	permits           permits
	permitValidity    time.Duration             // how long permits may be used without a reread of the registry
	registryEra       uint64                    // store era of the registry
	eraFirstSeen      time.Time                 // when registryEra was first seen
	registryAsOf      atomic.Pointer[time.Time] // copy of registry.asOf for reads without the lock
	registry          syncPoint
	targets           map[string]Target
	missing           map[string]missingTarget // targets that are kept though their registration is missing
	unusable          map[string]string        // problems of unusable registrations, by id
	outageEnd         time.Time                // when the registry was last read again after an outage
	registryResumedAt time.Time                // when the registry was last confirmed again after lapseAfter or longer without
	lastReadFailed    bool                     // the last read of the registry by this host failed
	lapseAfter        time.Duration            // shortest outage in which registrations may lapse
	history           history
	tombstones        tombstones
	changed           chan struct{} // closed and replaced at the next change
	subscribers       []func(View)
	findings          findings

	quarantined *quarantine.Table // nil: quarantine records are not exchanged

	ownFindings chan Finding // findings of this host to be sent
	onFindings  func([]Finding)
}

// syncPoint is how current a piece of cached state is.
type syncPoint struct {
	revision revision.Revision
	asOf     time.Time // when it was last confirmed to be current
}

// accepts reports whether changes up to a revision can be applied to the cached state: they are not
// older, and of the same era, as revisions of one era do not relate to the changes of another.
func (p syncPoint) accepts(at revision.Revision) bool {
	return !at.Before(p.revision) && (p.revision.IsZero() || at.Era == p.revision.Era)
}

// View is a snapshot of the state. It must not be modified.
type View struct {
	Table            *routing.Table // nil: no configuration yet
	ConfigRevision   revision.Revision
	ConfigAsOf       time.Time
	RegistryRevision revision.Revision
	RegistryAsOf     time.Time
	Targets          []Target // sorted by ID
	// Evacuated is the failure domains to whose targets nothing more may be sent.
	Evacuated map[string]bool
	// EvacuationEnds is when the ends of evacuations were seen, by failure domain.
	EvacuationEnds map[string]time.Time
	// Orders is the rollout orders, by service. An order or a final state that the store lost in a restore is in it, too.
	Orders map[string]rollout.Order
	// OrdersAsOf is when the orders were last confirmed to be current; the zero time if they were never read.
	OrdersAsOf time.Time
	// Permits are the permits for cold targets, by target.
	Permits map[string]Permit
	Now     time.Time // when the view was made, by the clock of the state
	// EvacuationsUnknown is set until the evacuations have been read.
	EvacuationsUnknown bool
}

// NewState returns an empty state.
func NewState() *State {
	sequence := &keptSequence{}
	return &State{
		startedAt:   time.Now(),
		keptSeq:     sequence,
		evacuations: evacuations{stored: map[string]bool{}, active: map[string]bool{}, keptSeq: sequence},
		orders: orders{
			keptSeq: sequence, byService: map[string]cachedOrder{}, replaced: map[string]cachedOrder{}, endedIn: map[string]uint64{},
		},
		tombstones: newTombstones(defaultRegistrationBeat, sequence),
		targets:    map[string]Target{}, missing: map[string]missingTarget{}, unusable: map[string]string{}, lapseAfter: DefaultConfig().lapseAfter(),
		permitValidity: DefaultConfig().permitValidity(),
		changed:        make(chan struct{}), findings: newFindings(), ownFindings: make(chan Finding, maxQueuedFindings),
	}
}

// SetClock sets the clock for all ages to one that also counts the time in which the machine is
// suspended. Call it before the state is used.
func (s *State) SetClock(c *clock.Clock) { s.clock, s.startedAt = c, c.Now() }

// Clock returns the clock for all ages.
func (s *State) Clock() *clock.Clock { return s.clock }

// Subscribe subscribes f to every new view. f is called under the lock and must be short. Call Subscribe
// before the state is used.
func (s *State) Subscribe(f func(View)) { s.subscribers = append(s.subscribers, f) }

// View returns a snapshot of the state.
func (s *State) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view()
}

// Table returns the configuration in force, nil if there is none, and when it was last confirmed to
// be current; the zero time while the store holds an older one.
func (s *State) Table() (*routing.Table, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeIsBehind() {
		return s.table, time.Time{}
	}
	return s.table, s.config.asOf
}

// Limits returns the limits of the configuration in force, none before there is one.
func (s *State) Limits() routing.Limits {
	table, _ := s.Table()
	if table == nil {
		return routing.Limits{}
	}
	return table.Config.Limits
}

// Freshness returns when the least current kind of state was last confirmed; the zero time if one
// of them never was.
func (s *State) Freshness() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.config.asOf
	if s.registry.asOf.Before(oldest) {
		oldest = s.registry.asOf
	}
	if s.evacuations.enabled && s.evacuations.synced.asOf.Before(oldest) {
		oldest = s.evacuations.synced.asOf
	}
	if s.orders.enabled && s.orders.synced.asOf.Before(oldest) {
		oldest = s.orders.synced.asOf
	}
	return oldest
}

// asOf returns when the configuration and the registry were last confirmed to be current.
func (s *State) asOf() (config, registry time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.asOf, s.registry.asOf
}

// ApplyTargets applies a full list of the registry that was current at asOf. Targets that are
// missing in it are removed, but for a limited time after an outage they are kept. It returns the
// targets that were added, changed or removed, and the registrations that became unusable. A list
// older than the cached state is ignored. Peers at an older revision than the list are sent the
// full list.
func (s *State) ApplyTargets(l TargetList, asOf time.Time) []TargetChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Revision.Before(s.registry.revision) {
		return nil
	}
	now := s.clock.Now()
	if s.registry.revision.Era < l.Revision.Era {
		s.noteRestore(l.Revision.Era, now)
	}
	clear(s.tombstones.suppressed)
	listed := map[string]bool{}
	var changes []TargetChange
	for _, t := range l.Targets {
		listed[t.ID] = true
		t, gone := s.suppress(s.receive(t), l.Revision, asOf)
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
	s.history.reset(l.Revision)
	return s.apply(changes, l.Revision, asOf)
}

// ApplyChanges applies the changes of the registry since the cached revision, and returns the
// targets that were added, changed or removed. All changes are kept for the peers: one without
// effect here, such as the removal of a target that was added and removed between two answers, may
// matter to a peer at a revision in between.
func (s *State) ApplyChanges(c TargetChanges, asOf time.Time) []TargetChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registry.accepts(c.Revision) {
		return nil
	}
	changes := slices.Clone(c.Changes)
	for i := range changes {
		changes[i].Target = s.receive(changes[i].Target)
		s.supersede(changes[i], c.Revision)
	}
	s.history.add(c.Revision, changes)
	applied := s.apply(changes, c.Revision, asOf)
	if len(changes) > 0 && len(applied) == 0 {
		s.wakePolls() // they may have an effect on peers
	}
	return applied
}

// apply applies changes to the targets and notifies the subscribers of any difference. The caller
// holds the lock.
func (s *State) apply(changes []TargetChange, at revision.Revision, asOf time.Time) []TargetChange {
	now := s.clock.Now()
	s.registry.revision = revision.Later(s.registry.revision, at)
	s.recordEra(s.registry.revision.Era, now)
	if asOf.After(s.registry.asOf) {
		if previous := s.registry.asOf; !previous.IsZero() && asOf.Sub(previous) >= s.lapseAfter {
			s.registryResumedAt = now
		}
		s.registry.asOf = asOf
		s.registryAsOf.Store(&asOf)
	}
	var applied, unusable []TargetChange
	for _, c := range changes {
		if s.recordUnusable(c) {
			unusable = append(unusable, c)
		}
		if !s.isChange(c, now) {
			s.addUnknownTombstone(c)
			continue
		}
		if c, ok := s.applyChange(c, now); ok {
			applied = append(applied, c)
		}
	}
	if len(applied) > 0 {
		s.notify()
	}
	return append(applied, unusable...)
}

// maxUnusable limits the registrations whose problem is remembered in order to log it once.
const maxUnusable = 512

// recordUnusable remembers the problem of an unusable registration, or that it is usable, and
// reports whether the problem is new.
func (s *State) recordUnusable(c TargetChange) bool {
	id := c.Target.ID
	if c.Problem == "" {
		delete(s.unusable, id)
		return false
	}
	if s.unusable[id] == c.Problem {
		return false
	}
	if len(s.unusable) >= maxUnusable {
		clear(s.unusable) // their problems are logged again
	}
	s.unusable[id] = c.Problem
	return true
}

// isChange reports whether a change differs from the cached registry.
func (s *State) isChange(c TargetChange, now time.Time) bool {
	known, ok := s.targets[c.Target.ID]
	_, missing := s.missing[c.Target.ID]
	if c.Gone {
		return ok && (!missing || c.Problem != "")
	}
	return !ok || missing || !sameTarget(known, c.Target, now)
}

// applyChange applies a change that differs. It reports false if the target is kept though its
// registration is missing.
func (s *State) applyChange(c TargetChange, now time.Time) (TargetChange, bool) {
	id := c.Target.ID
	known := s.targets[id]
	if !c.Gone {
		delete(s.missing, id)
		s.targets[id] = c.Target
		s.noteRegistration(c.Target)
		return c, true
	}
	if grace := s.missingGrace(now); now.Before(grace.until) && c.Problem == "" {
		s.missing[id] = grace
		return c, false
	}
	delete(s.targets, id)
	delete(s.missing, id)
	if c.Problem == "" { // an unusable registration does not mean that the target is gone
		s.addTombstone(id, known.StartMillis, true, s.registry.revision)
	}
	return TargetChange{Target: known, Gone: true}, true
}

// sameTarget compares what matters for choosing a target. The remaining warm-up time falls with
// every registration; only an early end or a new start of the warm-up is a change.
func sameTarget(known, updated Target, now time.Time) bool {
	coldLonger := updated.ColdUntil.Sub(known.ColdUntil) > coldTolerance && updated.ColdUntil.After(now)
	coldEnded := known.ColdUntil.After(now) && updated.ColdUntil.IsZero()
	known.ColdUntil, updated.ColdUntil = time.Time{}, time.Time{}
	return known == updated && !coldLonger && !coldEnded
}

// coldTolerance is how much later the end of a warm-up may be reported before it counts as a new
// one, as the unknown transit time of a registration shifts the end.
const coldTolerance = 500 * time.Millisecond

// receive returns a target that was just received as it is cached: with the latest end of its
// warm-up, and with its version only if that is needed.
func (s *State) receive(t Target) Target {
	if !s.orders.enabled {
		t.Version = ""
	}
	if t.Warmup > 0 {
		t.ColdUntil = s.clock.Now().Add(t.Warmup)
	}
	t.Warmup = 0
	return t
}

// notify calls the subscribers with a new view, and wakes the polls of peers. The caller holds the
// lock.
func (s *State) notify() {
	s.wakePolls()
	v := s.view()
	for _, f := range s.subscribers {
		f(v)
	}
}

// wakePolls lets the waiting polls of peers check for updates. The caller holds the lock.
func (s *State) wakePolls() {
	close(s.changed)
	s.changed = make(chan struct{})
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

		Evacuated: s.evacuations.active, EvacuationsUnknown: !s.evacuations.known(), EvacuationEnds: s.evacuations.endedAt,
		Orders: s.orders.visible, OrdersAsOf: s.orders.synced.asOf,
		Permits: s.permits.inEra(s.registry.revision.Era), Now: s.clock.Now(),
	}
}
