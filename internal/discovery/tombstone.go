package discovery

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// tombstone records that an incarnation of a target is leaving or gone. A restored store contains
// the registration as it was before. The tombstone suppresses the target until the registration is
// written again, or until it would have lapsed if nothing writes it.
type tombstone struct {
	born        int64             // start time of the incarnation; anyIncarnation if it was never received
	gone        bool              // otherwise the target is leaving
	revision    revision.Revision // at which that was received
	keptNumber  uint64            // sequence number in the kept state; 0: not to be sent to peers
	activeUntil time.Time         // when it stops applying after a restore; the zero time: no restore since
	addedAt     time.Time
}

// anyIncarnation stands for every incarnation of an id.
const anyIncarnation = -1

const (
	// tombstoneRetention is how long a tombstone is kept: longer than the age of a copy of the
	// store.
	tombstoneRetention = time.Minute
	// maxTombstones limits the number of tombstones. It covers all targets of a large site leaving
	// together.
	maxTombstones = 8192
	// tombstoneBeats is the number of beats after a restore from which a registration that still
	// exists is trusted again. One that nothing writes lapses after three.
	tombstoneBeats = 5
)

// tombstones is the tombstones of a host, and the registrations that they suppress.
type tombstones struct {
	byID    map[string]tombstone
	keptSeq *keptSequence
	// suppressed is registrations as they are in the store, whose targets are treated as leaving or
	// gone.
	suppressed map[string]Target
	// activeFor is how long a tombstone applies after a restore.
	activeFor time.Duration
}

func newTombstones(beat time.Duration, sequence *keptSequence) tombstones {
	return tombstones{byID: map[string]tombstone{}, keptSeq: sequence, suppressed: map[string]Target{}, activeFor: tombstoneBeats * beat}
}

// add adds or replaces a tombstone.
func (t *tombstones) add(id string, entry tombstone) {
	if _, exists := t.byID[id]; !exists && len(t.byID) >= maxTombstones {
		return // at the limit a target that left may be used again for a moment after a restore
	}
	t.byID[id] = entry
}

// remove removes the tombstone of a target that was registered again.
func (t *tombstones) remove(id string) {
	delete(t.byID, id)
	delete(t.suppressed, id)
}

// match returns the tombstone of a target, and whether it applies to a registration that was read
// at a revision and current at asOf.
func (t *tombstones) match(target Target, at revision.Revision, asOf time.Time) (tombstone, bool) {
	entry, ok := t.byID[target.ID]
	if !ok || entry.revision.Era >= at.Era || !asOf.Before(entry.activeUntil) {
		return tombstone{}, false
	}
	return entry, target.StartMillis <= entry.born || entry.born == anyIncarnation // earlier incarnations are gone, too
}

// activateOlder activates all tombstones of eras before the given one.
func (t *tombstones) activateOlder(era uint64, now time.Time) {
	for id, entry := range t.byID {
		if entry.revision.Era < era {
			t.byID[id] = t.activate(entry, now)
		}
	}
}

// activate returns the tombstone such that it applies from now on and is sent to peers.
func (t *tombstones) activate(entry tombstone, now time.Time) tombstone {
	entry.keptNumber, entry.activeUntil = t.keptSeq.next(), now.Add(t.activeFor)
	return entry
}

// expire removes the tombstones that no longer apply, and returns the suppressed registrations to
// use again: those that the registry, current at asOf, still contains. Counting by asOf rather than
// now keeps the tombstones of a host that was suspended until it has read the registry again.
func (t *tombstones) expire(now, asOf time.Time) []Target {
	var targets []Target
	for id, entry := range t.byID {
		ended := !entry.activeUntil.IsZero() && !asOf.Before(entry.activeUntil)
		if !ended && (!entry.activeUntil.IsZero() || now.Sub(entry.addedAt) < tombstoneRetention) {
			continue
		}
		if target, ok := t.suppressed[id]; ok {
			targets = append(targets, target)
		}
		t.remove(id)
	}
	return targets
}

// Tombstone is a tombstone as it is sent to peers, for a target that left before a restore of the
// store.
type Tombstone struct {
	Target string
	Born   int64 // of the incarnation; negative: of all
	Gone   bool  // otherwise the target is leaving
	At     revision.Revision
}

// since returns the tombstones activated after a sequence number, or all.
func (t *tombstones) since(number uint64, includeAll bool) []Tombstone {
	if number >= t.keptSeq.last && !includeAll {
		return nil
	}
	var all []Tombstone
	for id, entry := range t.byID {
		if includeAll || entry.keptNumber > number {
			all = append(all, Tombstone{Target: id, Born: entry.born, Gone: entry.gone, At: entry.revision})
		}
	}
	return all
}

// addTombstone adds the tombstone of a target reported as leaving or gone at a revision. The caller
// holds the lock.
func (s *State) addTombstone(id string, born int64, gone bool, at revision.Revision) {
	s.tombstones.add(id, tombstone{born: born, gone: gone, revision: at, addedAt: s.clock.Now()})
}

// supersede lets a change that was written in this era override the tombstone from an earlier one.
// The caller holds the lock.
func (s *State) supersede(c TargetChange, at revision.Revision) {
	t := c.Target
	switch {
	case c.Gone:
		delete(s.tombstones.suppressed, t.ID)         // a target that was leaving may still be kept as leaving for a while
		if entry, ok := s.tombstones.byID[t.ID]; ok { // it also has to apply after the next restore
			s.addTombstone(t.ID, entry.born, entry.gone, at)
		}
	case t.Draining:
		s.tombstones.remove(t.ID)
		s.addTombstone(t.ID, t.StartMillis, false, at) // also if it is already treated as leaving
	default:
		s.tombstones.remove(t.ID)
	}
}

// addUnknownTombstone adds a tombstone for a target whose removal was received, but never its
// registration. The caller holds the lock.
func (s *State) addUnknownTombstone(c TargetChange) {
	id := c.Target.ID
	_, isRegistered := s.targets[id]
	if _, hasTombstone := s.tombstones.byID[id]; c.Gone && c.Problem == "" && !isRegistered && !hasTombstone {
		s.addTombstone(id, anyIncarnation, true, s.registry.revision)
	}
}

// noteRegistration adds the tombstone of a target that registered itself as leaving, and removes
// that of a target that registered itself otherwise. A suppressed registration changes neither. The
// caller holds the lock.
func (s *State) noteRegistration(t Target) {
	switch _, suppressed := s.tombstones.suppressed[t.ID]; {
	case suppressed:
	case t.Draining:
		s.addTombstone(t.ID, t.StartMillis, false, s.registry.revision)
	default:
		s.tombstones.remove(t.ID)
	}
}

// suppress returns how to treat a registration in a list: a target with a tombstone is gone or
// leaving. The caller holds the lock.
func (s *State) suppress(t Target, at revision.Revision, asOf time.Time) (result Target, gone bool) {
	if current, ok := s.targets[t.ID]; ok && t.StartMillis > 0 && t.StartMillis < current.StartMillis {
		return current, false // the copy has an earlier incarnation; the cached one registers again or lapses
	}
	entry, ok := s.tombstones.match(t, at, asOf)
	if !ok || !entry.gone && t.Draining {
		return t, false
	}
	s.tombstones.suppressed[t.ID] = t
	t.Draining = true
	return t, entry.gone
}

// ApplyTombstones adds the tombstones that a peer kept from before a restore. It returns the
// targets that changed or were removed.
func (s *State) ApplyTombstones(all []Tombstone) []TargetChange {
	if len(all) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var changes []TargetChange
	for _, received := range all {
		isEarlier := received.At.Era < s.registry.revision.Era // otherwise the registry already shows it
		if existing, ok := s.tombstones.byID[received.Target]; ok && (!isEarlier || !existing.revision.Before(received.At)) {
			continue
		}
		entry := tombstone{born: received.Born, gone: received.Gone, revision: received.At, addedAt: now}
		if isEarlier {
			entry = s.tombstones.activate(entry, now)
		}
		s.tombstones.add(received.Target, entry)
		if c, ok := s.suppressKnown(received.Target); ok {
			changes = append(changes, c)
		}
	}
	if len(changes) > 0 {
		s.notify()
	}
	return changes
}

// suppressKnown applies a new tombstone to the cached target, and reports whether that changes it.
// The caller holds the lock.
func (s *State) suppressKnown(id string) (TargetChange, bool) {
	t, ok := s.targets[id]
	if !ok {
		return TargetChange{}, false
	}
	_, missing := s.missing[id]
	updated, gone := s.suppress(t, s.registry.revision, s.registry.asOf)
	if missing { // the store lacks it, too, so there is no registration to use again later
		delete(s.tombstones.suppressed, id)
	}
	if gone {
		delete(s.targets, id)
		delete(s.missing, id)
		return TargetChange{Target: t, Gone: true}, true
	}
	s.targets[id] = updated
	return TargetChange{Target: updated}, updated != t
}

// storedRegistrations returns the registry as the store holds it, without targets that are kept
// though they are missing there. The caller holds the lock.
func (s *State) storedRegistrations() []Target {
	all := make([]Target, 0, len(s.targets))
	for id, t := range s.targets {
		_, missing := s.missing[id]
		if _, suppressed := s.tombstones.suppressed[id]; !missing && !suppressed {
			all = append(all, t)
		}
	}
	for _, t := range s.tombstones.suppressed {
		all = append(all, t)
	}
	return all
}

func encodeTombstones(all []Tombstone) []*peerpb.Tombstone {
	out := make([]*peerpb.Tombstone, 0, len(all))
	for _, t := range all {
		out = append(out, &peerpb.Tombstone{Target: t.Target, BornMs: t.Born, Gone: t.Gone, Era: t.At.Era, Revision: t.At.Number})
	}
	return out
}

func decodeTombstones(in []*peerpb.Tombstone) []Tombstone {
	var all []Tombstone
	for _, t := range in {
		all = append(all, Tombstone{Target: t.Target, Born: t.BornMs, Gone: t.Gone, At: revision.Revision{Era: t.Era, Number: t.Revision}})
	}
	return all
}
