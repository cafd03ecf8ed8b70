package discovery

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// lapseHold is how long a target whose registration went missing around an
// outage of the store is still believed to be there. Registrations lapse
// during an outage and are written again within about two seconds of its end.
const lapseHold = 2200 * time.Millisecond

// State is what the host believes. Every method is safe for concurrent use.
type State struct {
	mu       sync.Mutex
	table    *routing.Table // nil: no configuration yet
	config   belief
	registry belief
	targets  map[string]Target
	lapsed   map[string]time.Time // targets that went missing, and until when they are kept
	outage   time.Time            // last moment at which the registry could not be read
	follow   []func(View)
}

// belief tells how new a belief is.
type belief struct {
	revision uint64
	asOf     time.Time // when it was last known to be current
}

// View is what is believed at one moment. It must not be changed.
type View struct {
	Table            *routing.Table // nil: no configuration yet
	ConfigRevision   uint64
	ConfigAsOf       time.Time
	RegistryRevision uint64
	RegistryAsOf     time.Time
	Targets          []Target // sorted by ID
}

// NewState returns a state that knows nothing.
func NewState() *State {
	return &State{targets: map[string]Target{}, lapsed: map[string]time.Time{}}
}

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
// was last known to be current.
func (s *State) Table() (*routing.Table, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table, s.config.asOf
}

// ConfigRevision returns the store's revision of the configuration.
func (s *State) ConfigRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.revision
}

// RegistryRevision returns the store's revision of the registry.
func (s *State) RegistryRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.revision
}

// ApplyConfig takes what was read of the configuration at a time. It reports
// whether the configuration changed. An older version never replaces a newer.
func (s *State) ApplyConfig(r ConfigRead, asOf time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.revision = max(s.config.revision, r.Revision)
	if asOf.After(s.config.asOf) {
		s.config.asOf = asOf
	}
	if !r.Found || (s.table != nil && r.Config.Version <= s.table.Config.Version) {
		return false
	}
	s.table = routing.NewTable(r.Config)
	s.tell()
	return true
}

// ApplyTargets takes a full list of the registry, read at a time. Targets that
// are missing in it are gone, except for a while after an outage. It returns
// the targets that came, changed or went.
func (s *State) ApplyTargets(l TargetList, now time.Time) []TargetChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Revision < s.registry.revision {
		return nil
	}
	listed := map[string]bool{}
	var changes []TargetChange
	for _, t := range l.Targets {
		listed[t.ID] = true
		changes = append(changes, TargetChange{Target: t})
	}
	for id := range s.targets {
		if !listed[id] {
			changes = append(changes, TargetChange{Target: Target{ID: id}, Gone: true})
		}
	}
	return s.apply(changes, l.Revision, now)
}

// ApplyChanges takes what a watch of the registry found. It returns the
// targets that came, changed or went.
func (s *State) ApplyChanges(c TargetChanges, now time.Time) []TargetChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(c.Changes, c.Revision, now)
}

// Outage tells that the registry could not be read.
func (s *State) Outage(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = now
}

// Expire removes the targets that went missing around an outage and did not
// come back. It returns them.
func (s *State) Expire(now time.Time) []TargetChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []TargetChange
	for id, until := range s.lapsed {
		if now.Before(until) {
			continue
		}
		gone = append(gone, TargetChange{Target: s.targets[id], Gone: true})
		delete(s.lapsed, id)
		delete(s.targets, id)
	}
	if len(gone) > 0 {
		s.tell()
	}
	return gone
}

// apply changes the targets and tells the followers if anything differs.
func (s *State) apply(changes []TargetChange, revision uint64, now time.Time) []TargetChange {
	var made []TargetChange
	for _, c := range changes {
		if c, ok := s.change(c, now); ok {
			made = append(made, c)
		}
	}
	s.registry.revision = max(s.registry.revision, revision)
	s.registry.asOf = now
	if len(made) > 0 {
		s.tell()
	}
	return made
}

// change applies one change. It reports false if nothing differs.
func (s *State) change(c TargetChange, now time.Time) (TargetChange, bool) {
	id := c.Target.ID
	known, ok := s.targets[id]
	if !c.Gone {
		delete(s.lapsed, id)
		c.Target.Warmup = max(c.Target.Warmup, 0)
		s.targets[id] = c.Target
		return c, !ok || !sameTarget(known, c.Target)
	}
	if !ok {
		return c, false
	}
	if until := s.outage.Add(lapseHold); now.Before(until) {
		if _, held := s.lapsed[id]; !held {
			s.lapsed[id] = until
		}
		return c, false
	}
	delete(s.targets, id)
	delete(s.lapsed, id)
	return TargetChange{Target: known, Gone: true}, true
}

// sameTarget compares what matters to the choice of a target; the time left
// of its warm-up falls with every registration.
func sameTarget(a, b Target) bool {
	a.Warmup, b.Warmup = 0, 0
	return a == b
}

func (s *State) tell() {
	v := s.view()
	for _, f := range s.follow {
		f(v)
	}
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
	}
}
