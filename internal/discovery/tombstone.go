package discovery

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// A tombstone remembers that an incarnation of a target leaves or is gone. An older copy of the store brings its
// registration back as it was before; the tombstone keeps the target out until it is written again, or until a
// registration that nobody writes would have lapsed.
type tombstone struct {
	born   int64 // of the incarnation; anyIncarnation if that was never heard of
	gone   bool  // else it leaves
	at     revision.Revision
	number uint64    // in the order in which peers are told; 0: they need not be
	until  time.Time // when it ends after a restore; the zero time: there was none
	added  time.Time
}

// anyIncarnation stands for every incarnation of an id.
const anyIncarnation = -1

const (
	// keepTombstones is how long a target that left is remembered: more than the age of a copy of the store.
	keepTombstones = time.Minute
	// mostTombstones bounds how many are remembered: of all targets of a large site, if they leave together.
	mostTombstones = 8192
	// revivalBeats is how many beats after a restore a registration that still stands is believed. One that nobody writes
	// lapses after three.
	revivalBeats = 5
)

// tombstones are those of a host, and the registrations that they concern.
type tombstones struct {
	byID    map[string]tombstone
	numbers *keptNumbers
	// suppressed are registrations as the store tells them, whose targets are believed to leave or to be gone.
	suppressed map[string]Target
	// hold is how long a tombstone counts after a restore.
	hold time.Duration
}

func newTombstones(beat time.Duration, numbers *keptNumbers) tombstones {
	return tombstones{byID: map[string]tombstone{}, numbers: numbers, suppressed: map[string]Target{}, hold: revivalBeats * beat}
}

// add remembers that an incarnation leaves or is gone.
func (t *tombstones) add(id string, one tombstone) {
	if _, known := t.byID[id]; !known && len(t.byID) >= mostTombstones {
		return // so many are gone at once that some may come back for a moment
	}
	t.byID[id] = one
}

// drop forgets a target's tombstone: it was written anew.
func (t *tombstones) drop(id string) {
	delete(t.byID, id)
	delete(t.suppressed, id)
}

// of returns the tombstone that counts against a registration as it was told at a revision, current as of a time.
func (t *tombstones) of(target Target, at revision.Revision, asOf time.Time) (tombstone, bool) {
	one, ok := t.byID[target.ID]
	if !ok || one.at.Era >= at.Era || !asOf.Before(one.until) {
		return tombstone{}, false
	}
	return one, target.Born <= one.born || one.born == anyIncarnation // an earlier incarnation is gone, too
}

// restored makes all tombstones of earlier eras than one count from now on.
func (t *tombstones) restored(era uint64, now time.Time) {
	for id, one := range t.byID {
		if one.at.Era < era {
			t.byID[id] = t.inForce(one, now)
		}
	}
}

// inForce returns a tombstone that counts from now on, and that peers are told.
func (t *tombstones) inForce(one tombstone, now time.Time) tombstone {
	one.number, one.until = t.numbers.next(), now.Add(t.hold)
	return one
}

// sweep forgets what no longer counts, and returns the registrations that are to be believed again: those that the registry,
// current as of a time, still has then. A host that was suspended goes by what it knew before, until it hears again.
func (t *tombstones) sweep(now, asOf time.Time) []Target {
	var believed []Target
	for id, one := range t.byID {
		ended := !one.until.IsZero() && !asOf.Before(one.until)
		if !ended && (!one.until.IsZero() || now.Sub(one.added) < keepTombstones) {
			continue
		}
		if target, ok := t.suppressed[id]; ok {
			believed = append(believed, target)
		}
		t.drop(id)
	}
	return believed
}

// Tombstone is what a host tells others of a target that left before the store came back from an older copy.
type Tombstone struct {
	Target string
	Born   int64 // of the incarnation; negative: of all
	Gone   bool  // else it leaves
	At     revision.Revision
}

// since returns those in force after a number, or all.
func (t *tombstones) since(number uint64, everything bool) []Tombstone {
	if number >= t.numbers.newest && !everything {
		return nil
	}
	var all []Tombstone
	for id, one := range t.byID {
		if everything || one.number > number {
			all = append(all, Tombstone{Target: id, Born: one.born, Gone: one.gone, At: one.at})
		}
	}
	return all
}

// addTombstone remembers a target that is told to leave, or to be gone, at a revision. The caller holds the lock.
func (s *State) addTombstone(id string, born int64, gone bool, at revision.Revision) {
	s.tombstones.add(id, tombstone{born: born, gone: gone, at: at, added: s.clock.Now()})
}

// supersede makes a change that was written in this era count more than what is kept from an earlier one. The caller holds the lock.
func (s *State) supersede(c TargetChange, at revision.Revision) {
	t := c.Target
	switch {
	case c.Gone:
		delete(s.tombstones.suppressed, t.ID)       // it may be kept for a while, as one that leaves if it did
		if one, ok := s.tombstones.byID[t.ID]; ok { // it counts for the next restore as well
			s.addTombstone(t.ID, one.born, one.gone, at)
		}
	case t.Draining:
		s.tombstones.drop(t.ID)
		s.addTombstone(t.ID, t.Born, false, at) // also where it is believed already
	default:
		s.tombstones.drop(t.ID)
	}
}

// noteUnknownGone adds the tombstone of a target that is told to be gone and was never heard of. The caller holds the lock.
func (s *State) noteUnknownGone(c TargetChange) {
	id := c.Target.ID
	_, heard := s.targets[id]
	if _, known := s.tombstones.byID[id]; c.Gone && c.Problem == "" && !heard && !known {
		s.addTombstone(id, anyIncarnation, true, s.registry.revision)
	}
}

// noteRegistration adds the tombstone of a target that says that it leaves, and drops the tombstone of one that says that it is there; not of one that
// is only believed to leave. The caller holds the lock.
func (s *State) noteRegistration(t Target) {
	switch _, suppressed := s.tombstones.suppressed[t.ID]; {
	case suppressed:
	case t.Draining:
		s.addTombstone(t.ID, t.Born, false, s.registry.revision)
	default:
		s.tombstones.drop(t.ID)
	}
}

// suppress returns what is to be believed of a registration in a list: nothing of a target that is gone, and of one that leaves
// that it does. The caller holds the lock.
func (s *State) suppress(t Target, at revision.Revision, asOf time.Time) (believed Target, gone bool) {
	if known, ok := s.targets[t.ID]; ok && t.Born > 0 && t.Born < known.Born {
		return known, false // the copy has an earlier incarnation; this one writes itself again, or lapses
	}
	one, ok := s.tombstones.of(t, at, asOf)
	if !ok || !one.gone && t.Draining {
		return t, false
	}
	s.tombstones.suppressed[t.ID] = t
	t.Draining = true
	return t, one.gone
}

// ApplyTombstones takes what a peer remembers of targets that left before the store came back. It returns the targets that
// changed or went.
func (s *State) ApplyTombstones(all []Tombstone) []TargetChange {
	if len(all) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var made []TargetChange
	for _, told := range all {
		isEarlier := told.At.Era < s.registry.revision.Era // else the registry tells by itself
		if known, ok := s.tombstones.byID[told.Target]; ok && (!isEarlier || !known.at.Before(told.At)) {
			continue
		}
		one := tombstone{born: told.Born, gone: told.Gone, at: told.At, added: now}
		if isEarlier {
			one = s.tombstones.inForce(one, now)
		}
		s.tombstones.add(told.Target, one)
		if c, ok := s.suppressKnown(told.Target); ok {
			made = append(made, c)
		}
	}
	if len(made) > 0 {
		s.tell()
	}
	return made
}

// suppressKnown applies a new tombstone to what is believed of its target, and reports whether that changes. The caller holds
// the lock.
func (s *State) suppressKnown(id string) (TargetChange, bool) {
	t, ok := s.targets[id]
	if !ok {
		return TargetChange{}, false
	}
	_, missing := s.lapsed[id]
	believed, gone := s.suppress(t, s.registry.revision, s.registry.asOf)
	if missing { // the store does not have it either, so that nothing is to be believed again
		delete(s.tombstones.suppressed, id)
	}
	if gone {
		delete(s.targets, id)
		delete(s.lapsed, id)
		return TargetChange{Target: t, Gone: true}, true
	}
	s.targets[id] = believed
	return TargetChange{Target: believed}, believed != t
}

// registered returns the registry as the store tells it, without what is kept though it is missing there. The caller holds the lock.
func (s *State) registered() []Target {
	all := make([]Target, 0, len(s.targets))
	for id, t := range s.targets {
		_, missing := s.lapsed[id]
		if _, suppressed := s.tombstones.suppressed[id]; !missing && !suppressed {
			all = append(all, t)
		}
	}
	for _, t := range s.tombstones.suppressed {
		all = append(all, t)
	}
	return all
}

func writeTombstones(all []Tombstone) []*peerpb.Tombstone {
	out := make([]*peerpb.Tombstone, 0, len(all))
	for _, t := range all {
		out = append(out, &peerpb.Tombstone{Target: t.Target, BornMs: t.Born, Gone: t.Gone, Era: t.At.Era, Revision: t.At.Number})
	}
	return out
}

func readTombstones(in []*peerpb.Tombstone) []Tombstone {
	var all []Tombstone
	for _, t := range in {
		all = append(all, Tombstone{Target: t.Target, Born: t.BornMs, Gone: t.Gone, At: revision.Revision{Era: t.Era, Number: t.Revision}})
	}
	return all
}
