package discovery

import (
	"maps"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// A restored store lacks the newest evacuations until the operator writes them again. An evacuation
// that was active before is kept until its end is seen after the restore, or for a limited time:
// the operator may have ended it before any host saw that.

// keptEvacuation is an evacuation that is missing in the store.
type keptEvacuation struct {
	at     revision.Revision // at which it was active
	number uint64            // sequence number in the kept state
	until  time.Time
}

// KeptEvacuation is a kept evacuation as it is sent to peers.
type KeptEvacuation struct {
	Domain string
	At     revision.Revision
}

// keep keeps an evacuation for the retention time.
func (e *evacuations) keep(domain string, at revision.Revision, now time.Time) {
	if e.kept == nil {
		e.kept = map[string]keptEvacuation{}
	}
	e.kept[domain] = keptEvacuation{at: at, number: e.keptSeq.next(), until: now.Add(e.retention)}
}

// keepMissing keeps the active evacuations that are missing in a list of a new era.
func (e *evacuations) keepMissing(listed map[string]bool, now time.Time) {
	for domain := range e.active {
		if !listed[domain] {
			e.keep(domain, e.synced.revision, now)
		}
	}
}

// dropExpired drops the kept evacuations whose retention had ended when the evacuations were last
// confirmed to be current. A host that was suspended keeps them until it has read the evacuations
// again.
func (e *evacuations) dropExpired() {
	maps.DeleteFunc(e.kept, func(_ string, k keptEvacuation) bool { return !e.synced.asOf.Before(k.until) })
}

// activeDomains returns the stored and the kept domains.
func (e *evacuations) activeDomains() map[string]bool {
	domains := maps.Clone(e.stored)
	for domain := range e.kept {
		domains[domain] = true
	}
	return domains
}

// keptSince returns the evacuations kept after a sequence number.
func (e *evacuations) keptSince(number uint64) []KeptEvacuation {
	var all []KeptEvacuation
	for domain, k := range e.kept {
		if k.number > number {
			all = append(all, KeptEvacuation{Domain: domain, At: k.at})
		}
	}
	return all
}

// ExpireEvacuations ends kept evacuations that were not written again in time, and returns what has
// changed.
func (s *State) ExpireEvacuations() []EvacuationChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.evacuations.kept) == 0 {
		return nil
	}
	s.evacuations.dropExpired()
	return s.refreshEvacuations(false)
}

// applyKeptEvacuations applies the kept evacuations of a peer and returns what has changed. Those
// of the era of the cached evacuations, or of a later one, are ignored: the store is authoritative
// for that era.
func (s *State) applyKeptEvacuations(all []KeptEvacuation) []EvacuationChange {
	if len(all) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, received := range all {
		existing, exists := s.evacuations.kept[received.Domain]
		at := s.evacuations.synced.revision
		isOlder := at.IsZero() || received.At.Era < at.Era
		if isOlder && (!exists || existing.at.Before(received.At)) {
			s.evacuations.keep(received.Domain, received.At, now)
		}
	}
	return s.refreshEvacuations(false)
}

func encodeKeptEvacuations(all []KeptEvacuation) []*peerpb.KeptEvacuation {
	out := make([]*peerpb.KeptEvacuation, 0, len(all))
	for _, k := range all {
		out = append(out, &peerpb.KeptEvacuation{FailureDomain: k.Domain, Era: k.At.Era, Revision: k.At.Number})
	}
	return out
}

func decodeKeptEvacuations(in []*peerpb.KeptEvacuation) []KeptEvacuation {
	var all []KeptEvacuation
	for _, k := range in {
		all = append(all, KeptEvacuation{Domain: k.FailureDomain, At: revision.Revision{Era: k.Era, Number: k.Revision}})
	}
	return all
}
