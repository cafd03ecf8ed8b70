package discovery

import "time"

// Registrations may lapse while the store is down, and may be missing in a copy that it is restored
// from. Targets that go missing around such a time are kept for a limited time.

// lapseGrace is how long a target whose registration went missing around an outage of the store is
// kept, counted from the end of the outage. Registrations lapse during an outage and are written
// again within about two seconds of its end.
const lapseGrace = 2200 * time.Millisecond

// resumeGrace is the same time on a host whose registry state was not confirmed for lapseAfter or
// longer and whose own first read then succeeds, counted from that read. Within this time it
// receives notice of an outage from hosts that retry about every 250 ms. Without it, 7 of 100 hosts
// removed targets that had lapsed in an outage of 2.6 s, in a simulation.
const resumeGrace = 500 * time.Millisecond

// missingTarget is a target that is kept though its registration is missing.
type missingTarget struct {
	until time.Time // when it is removed
	// inOutage is set if it went missing around an outage: the registration may have lapsed though
	// the target is running.
	inOutage bool
}

// NoteReadFailure records that this host failed to read the registry.
func (s *State) NoteReadFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReadFailed = true
}

// LastReadFailed reports whether the last read of the registry by this host failed.
func (s *State) LastReadFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReadFailed
}

// NoteReadSuccess records that this host has read the registry. If its reads had failed and no peer
// sent newer state meanwhile, the store was down and registrations may have lapsed.
func (s *State) NoteReadSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastReadFailed {
		s.lastReadFailed = false
		s.noteOutageEnd(s.clock.Now())
	}
}

// noteOutageEnd records the end of an outage that this host or a peer observed. It is ignored if
// the registry state was confirmed less than lapseAfter before, unless that ended a longer gap
// within resumeGrace: otherwise only one host's path to the store had failed. When a report from
// one such host was enough, the others kept a target that had left for another 2.2 s, 4 s in all.
// The caller holds the lock.
func (s *State) noteOutageEnd(end time.Time) {
	justResumed := s.clock.Now().Before(s.registryResumedAt.Add(resumeGrace))
	if !justResumed && end.Sub(s.registry.asOf) < s.lapseAfter {
		return
	}
	s.recordOutageEnd(end)
	for id, target := range s.missing {
		target.inOutage = true
		s.missing[id] = target
	}
}

// noteRestore records that a new era was first seen at a time. The restored copy lacks the newest
// registrations, which are written again as after an outage, and still contains targets that have
// left since. The caller holds the lock.
func (s *State) noteRestore(era uint64, at time.Time) {
	if !s.registry.revision.IsZero() { // otherwise this host has just started
		s.recordOutageEnd(at)
	}
	for id, target := range s.missing {
		if _, known := s.tombstones.byID[id]; !known && !target.inOutage {
			s.addTombstone(id, s.targets[id].StartMillis, true, s.registry.revision) // the copy may contain its registration, though it left
		}
	}
	s.tombstones.activateOlder(era, at)
}

// recordOutageEnd extends the time for which missing targets are kept to lapseGrace after the end
// of an outage. The caller holds the lock.
func (s *State) recordOutageEnd(end time.Time) {
	if !end.After(s.outageEnd) {
		return
	}
	s.outageEnd = end
	s.wakePolls()
	for id, target := range s.missing {
		if later := end.Add(lapseGrace); later.After(target.until) {
			target.until = later
			s.missing[id] = target
		}
	}
}

// missingGrace returns until when a target that goes missing now is kept, and why. The caller holds
// the lock.
func (s *State) missingGrace(now time.Time) missingTarget {
	outageUntil, resumeUntil := s.outageEnd.Add(lapseGrace), s.registryResumedAt.Add(resumeGrace)
	if resumeUntil.After(outageUntil) {
		return missingTarget{until: resumeUntil, inOutage: now.Before(outageUntil)}
	}
	return missingTarget{until: outageUntil, inOutage: true}
}

// Expire removes the missing targets whose grace time has ended and the permits of targets that
// have long been unregistered. It restores registrations that a tombstone suppressed and that still
// exist when the tombstone expires. It returns the changed targets.
func (s *State) Expire(now time.Time) []TargetChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits.dropUnregistered(now, s.targets)
	revived := s.tombstones.expire(now, s.registry.asOf)
	for _, t := range revived {
		delete(s.missing, t.ID)
		s.targets[t.ID] = t
	}
	changes := asChanges(revived)
	for id, target := range s.missing {
		if now.Before(target.until) {
			continue
		}
		changes = append(changes, TargetChange{Target: s.targets[id], Gone: true})
		if _, suppressed := s.tombstones.suppressed[id]; !suppressed { // otherwise the existing tombstone stays
			s.addTombstone(id, s.targets[id].StartMillis, true, s.registry.revision)
		}
		delete(s.missing, id)
		delete(s.targets, id)
	}
	if len(changes) > 0 {
		s.notify()
	}
	return changes
}

// asChanges returns the changes that add or update targets.
func asChanges(targets []Target) []TargetChange {
	var changes []TargetChange
	for _, t := range targets {
		changes = append(changes, TargetChange{Target: t})
	}
	return changes
}
