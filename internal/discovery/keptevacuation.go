package discovery

import (
	"maps"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// An older copy of the store lacks the newest evacuations until the operator writes them again. A failure domain that was
// evacuated before is kept so until its end is heard of after the restore, or for a while: the operator may have taken it
// back before hosts could hear of it.

// keptEvacuation is an evacuation that the store lacks.
type keptEvacuation struct {
	at     revision.Revision // at which it was known
	number uint64            // in the order in which peers are told
	until  time.Time
}

// KeptEvacuation is what a host tells others of one.
type KeptEvacuation struct {
	Domain string
	At     revision.Revision
}

// keep keeps an evacuation for a while.
func (e *evacuations) keep(domain string, at revision.Revision, now time.Time) {
	if e.kept == nil {
		e.kept = map[string]keptEvacuation{}
	}
	e.kept[domain] = keptEvacuation{at: at, number: e.numbers.next(), until: now.Add(e.keepFor)}
}

// keepMissing keeps the evacuations that a list of a new era lacks.
func (e *evacuations) keepMissing(listed map[string]bool, now time.Time) {
	for domain := range e.inForce {
		if !listed[domain] {
			e.keep(domain, e.belief.revision, now)
		}
	}
}

// release ends keeping those whose time is over as far as the evacuations are known to be current: a host that was suspended
// goes by what it knew before, until it hears again.
func (e *evacuations) release() {
	maps.DeleteFunc(e.kept, func(_ string, k keptEvacuation) bool { return !e.belief.asOf.Before(k.until) })
}

// believed returns the domains that are evacuated, those that are kept so among them.
func (e *evacuations) believed() map[string]bool {
	all := maps.Clone(e.domains)
	for domain := range e.kept {
		all[domain] = true
	}
	return all
}

// keptSince returns those that are kept after a number.
func (e *evacuations) keptSince(number uint64) []KeptEvacuation {
	var all []KeptEvacuation
	for domain, k := range e.kept {
		if k.number > number {
			all = append(all, KeptEvacuation{Domain: domain, At: k.at})
		}
	}
	return all
}

// ExpireEvacuations ends those that are kept and were not written again in time. It returns what has changed.
func (s *State) ExpireEvacuations() []EvacuationChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.evacuations.kept) == 0 {
		return nil
	}
	s.evacuations.release()
	return s.refreshEvacuations(false)
}

// applyKeptEvacuations takes what a peer keeps, unless what is believed here is of the same era: then it follows the store. It returns
// what has changed.
func (s *State) applyKeptEvacuations(all []KeptEvacuation) []EvacuationChange {
	if len(all) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, told := range all {
		known, kept := s.evacuations.kept[told.Domain]
		at := s.evacuations.belief.revision
		isOlder := at.IsZero() || told.At.Era < at.Era
		if isOlder && (!kept || known.at.Before(told.At)) {
			s.evacuations.keep(told.Domain, told.At, now)
		}
	}
	return s.refreshEvacuations(false)
}

func writeKept(all []KeptEvacuation) []*peerpb.KeptEvacuation {
	out := make([]*peerpb.KeptEvacuation, 0, len(all))
	for _, k := range all {
		out = append(out, &peerpb.KeptEvacuation{FailureDomain: k.Domain, Era: k.At.Era, Revision: k.At.Number})
	}
	return out
}

func readKept(in []*peerpb.KeptEvacuation) []KeptEvacuation {
	var all []KeptEvacuation
	for _, k := range in {
		all = append(all, KeptEvacuation{Domain: k.FailureDomain, At: revision.Revision{Era: k.Era, Number: k.Revision}})
	}
	return all
}
