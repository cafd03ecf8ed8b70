package discovery

import "time"

// Registrations may lapse while the store is away, and are missing in a copy that it comes back from. What goes missing then is
// kept for a while.

// lapseHold is how long a target whose registration went missing around an
// outage of the store is still believed to be there. Registrations lapse
// during an outage and are written again within about two seconds of its end.
const lapseHold = 2200 * time.Millisecond

// doubtHold is the same on a host that knew nothing new for so long that registrations may have lapsed, and whose own
// first reading succeeds: within this time it hears of an outage from those that try each 250 ms or so. Without it, 7 of
// 100 hosts took targets for gone that had lapsed in an outage of 2.6 s, in virtual time.
const doubtHold = 500 * time.Millisecond

// lapse is a target that went missing.
type lapse struct {
	until time.Time // when it is no longer believed to be there
	// inOutage is set if it went missing around an outage: its registration may well have lapsed, though it lives.
	inOutage bool
}

// ReadFailed tells that this host could not read the registry.
func (s *State) ReadFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = true
}

// Failing reports whether the last reading of the registry by this host failed.
func (s *State) Failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing
}

// ReadAgain tells that this host has just read the registry. After failures, while nobody told it anything
// newer, the store was away, and registrations may have lapsed.
func (s *State) ReadAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		s.failing = false
		s.noteOutage(s.clock.Now())
	}
}

// noteOutage takes the end of an outage, as this host or a peer saw it. It is none if the belief of the
// registry was current shortly before: it is then the way of one host to the store that failed. On the word of one such
// host the others kept a target that had left for 2.2 s more, 4 s in all. The caller holds the lock.
func (s *State) noteOutage(end time.Time) {
	inDoubt := s.clock.Now().Before(s.resumed.Add(doubtHold))
	if !inDoubt && end.Sub(s.registry.asOf) < s.lapseAfter {
		return
	}
	s.endOutage(end)
	for id, missing := range s.lapsed {
		missing.inOutage = true
		s.lapsed[id] = missing
	}
}

// restored takes the first sight of a new era at a time: the copy that the store came back from lacks the newest registrations,
// which are written again as after an outage, and what has left since is in it. The caller holds the lock.
func (s *State) restored(era uint64, at time.Time) {
	if !s.registry.revision.IsZero() { // else this host has just started
		s.endOutage(at)
	}
	for id, missing := range s.lapsed {
		if _, known := s.tombstones.byID[id]; !known && !missing.inOutage {
			s.addTombstone(id, s.targets[id].Born, true, s.registry.revision) // the copy may bring it back, though it left
		}
	}
	s.tombstones.restored(era, at)
}

// endOutage keeps what goes missing for a while after the end of an outage. The caller holds the lock.
func (s *State) endOutage(end time.Time) {
	if !end.After(s.outage) {
		return
	}
	s.outage = end
	s.wakePeers()
	for id, missing := range s.lapsed {
		if later := end.Add(lapseHold); later.After(missing.until) {
			missing.until = later
			s.lapsed[id] = missing
		}
	}
}

// holdLapsed returns until when a target that goes missing now is believed to be there. The caller holds
// the lock.
func (s *State) holdLapsed(now time.Time) lapse {
	outage, doubt := s.outage.Add(lapseHold), s.resumed.Add(doubtHold)
	if doubt.After(outage) {
		return lapse{until: doubt, inOutage: now.Before(outage)}
	}
	return lapse{until: outage, inOutage: true}
}

// Expire removes the targets that went missing around an outage and did not
// come back, and permits of targets that are long gone, and believes registrations that an older copy of the store
// brought back and that still stand. It returns the targets.
func (s *State) Expire(now time.Time) []TargetChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits.forget(now, s.targets)
	revived := s.tombstones.sweep(now, s.registry.asOf)
	for _, t := range revived {
		delete(s.lapsed, t.ID)
		s.targets[t.ID] = t
	}
	gone := changed(revived)
	for id, missing := range s.lapsed {
		if now.Before(missing.until) {
			continue
		}
		gone = append(gone, TargetChange{Target: s.targets[id], Gone: true})
		if _, suppressed := s.tombstones.suppressed[id]; !suppressed { // else the one that counts goes on
			s.addTombstone(id, s.targets[id].Born, true, s.registry.revision)
		}
		delete(s.lapsed, id)
		delete(s.targets, id)
	}
	if len(gone) > 0 {
		s.tell()
	}
	return gone
}

// changed returns the changes that make targets known.
func changed(all []Target) []TargetChange {
	var changes []TargetChange
	for _, t := range all {
		changes = append(changes, TargetChange{Target: t})
	}
	return changes
}
