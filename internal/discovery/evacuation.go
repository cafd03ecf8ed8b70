package discovery

import (
	"context"
	"maps"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// An evacuated failure domain is one to whose targets nothing more may be sent, by an operator's
// word. It is believed like the configuration and the registry: with the store's revision and an age.

// EvacuationRead is all failure domains that are evacuated.
type EvacuationRead struct {
	Domains  []string
	Problems []string          // of entries whose failure domain can't be read
	Revision revision.Revision // of the store, at which this was read
}

// EvacuationChange is the beginning or the end of an evacuation.
type EvacuationChange struct {
	Domain string
	Ended  bool
}

// EvacuationChanges is what changed since a revision.
type EvacuationChanges struct {
	Changes  []EvacuationChange
	Problems []string          // of entries whose failure domain can't be read
	Revision revision.Revision // to watch from next
}

// evacuations is what a host believes of them.
type evacuations struct {
	followed bool // they are asked for
	belief   belief
	domains  map[string]bool // as the store tells
	kept     map[string]keptEvacuation
	// keepFor is for how long an evacuation that an older copy of the store lacks is kept.
	keepFor time.Duration
	numbers *keptNumbers
	// inForce are both together. It is replaced with each change, as views hold it.
	inForce map[string]bool
	// since is the revision from which on the host knows every change. Peers that hold an older one are
	// told all domains: a reading does not tell what had ended before it.
	since revision.Revision
	// ends tells when evacuations were found to have ended, by domain; the targets there may have become
	// cold meanwhile. It is replaced with each change, as views hold it.
	ends map[string]time.Time
}

// known reports whether the host knows which domains are evacuated.
func (e *evacuations) known() bool { return !e.followed || !e.belief.asOf.IsZero() }

// noteEnd notes that an evacuation has ended at a time.
func (e *evacuations) noteEnd(domain string, at time.Time) {
	if !at.After(e.ends[domain]) {
		return
	}
	ends := maps.Clone(e.ends)
	if ends == nil {
		ends = map[string]time.Time{}
	}
	ends[domain] = at
	e.ends = ends
}

// refresh puts in force what the store tells and what is kept. It returns what has changed.
func (e *evacuations) refresh() []EvacuationChange {
	next := e.believed()
	var changes []EvacuationChange
	for domain := range e.inForce {
		if !next[domain] {
			changes = append(changes, EvacuationChange{Domain: domain, Ended: true})
		}
	}
	for domain := range next {
		if !e.inForce[domain] {
			changes = append(changes, EvacuationChange{Domain: domain})
		}
	}
	e.inForce = next
	return changes
}

// set takes the domains that the store tells at a revision.
func (e *evacuations) set(domains map[string]bool, at revision.Revision, asOf time.Time) {
	e.domains = domains
	e.belief.revision = revision.Later(e.belief.revision, at)
	if asOf.After(e.belief.asOf) {
		e.belief.asOf = asOf
	}
}

// list returns the domains that the store tells, in order.
func (e *evacuations) list() []string { return slices.Sorted(maps.Keys(e.domains)) }

// ApplyEvacuations takes all evacuations, as they were at a time. It returns what has changed. Old ones
// are ignored.
func (s *State) ApplyEvacuations(r EvacuationRead, asOf time.Time) []EvacuationChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Revision.Before(s.evacuations.belief.revision) {
		return nil
	}
	domains := map[string]bool{}
	for _, domain := range r.Domains {
		domains[domain] = true
	}
	if e := &s.evacuations; !e.belief.revision.IsZero() && e.belief.revision.Era < r.Revision.Era {
		e.keepMissing(domains, s.clock.Now())
	}
	maps.DeleteFunc(s.evacuations.kept, func(domain string, _ keptEvacuation) bool { return domains[domain] })
	s.evacuations.since = r.Revision
	return s.setEvacuations(domains, r.Revision, asOf)
}

// ApplyEvacuationChanges takes the changes since a revision that this host holds. It returns those that
// are news.
func (s *State) ApplyEvacuationChanges(c EvacuationChanges, asOf time.Time) []EvacuationChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.evacuations.belief.goesOnTo(c.Revision) {
		return nil
	}
	domains := maps.Clone(s.evacuations.domains)
	for _, change := range c.Changes {
		delete(s.evacuations.kept, change.Domain)
		if change.Ended {
			delete(domains, change.Domain)
			continue
		}
		domains[change.Domain] = true
	}
	if len(c.Changes) > 0 { // also if they changed nothing together: a peer may hold a revision in between
		s.evacuations.since = c.Revision
		s.wakePeers()
	}
	return s.setEvacuations(domains, c.Revision, asOf)
}

// setEvacuations takes what the store tells, and returns what that changes. The caller holds the lock.
func (s *State) setEvacuations(domains map[string]bool, at revision.Revision, asOf time.Time) []EvacuationChange {
	before := s.evacuations.known()
	s.evacuations.set(domains, at, asOf)
	return s.refreshEvacuations(!before && s.evacuations.known())
}

// refreshEvacuations tells the followers if something has changed, or became known. The caller holds the lock.
func (s *State) refreshEvacuations(becameKnown bool) []EvacuationChange {
	changes := s.evacuations.refresh()
	for _, c := range changes {
		if c.Ended {
			s.evacuations.noteEnd(c.Domain, s.clock.Now())
		}
	}
	if len(changes) > 0 || becameKnown {
		s.tell()
	}
	return changes
}

// noteEvacuationEnds takes what a peer told of evacuations that have ended.
func (s *State) noteEvacuationEnds(ends map[string]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for domain, at := range ends {
		s.evacuations.noteEnd(domain, at)
	}
}

// Evacuations returns the failure domains that are evacuated, in order.
func (s *State) Evacuations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.evacuations.inForce))
}

// followEvacuations makes one call about the evacuations.
func (f *Follower) followEvacuations(ctx context.Context, l *link) error {
	known := f.state.Known().EvacuationRevision
	if l.mustList(known) {
		asked := f.state.clock.Now()
		read, err := f.source.Evacuations(ctx)
		if err != nil {
			return err
		}
		l.reached()
		l.read()
		f.logUnreadable(read.Problems)
		f.logEvacuations(f.state.ApplyEvacuations(read, asked), "store")
		return nil
	}
	w := f.newWatch(f.state.evacuationsAsOf())
	changes, err := f.source.WatchEvacuations(ctx, known, w.wait)
	if err != nil {
		return err
	}
	l.watched()
	f.logUnreadable(changes.Problems)
	f.logEvacuations(f.state.ApplyEvacuationChanges(changes, w.provedAsOf(len(changes.Changes) > 0)), "store")
	return nil
}

// evacuationsAsOf returns when the evacuations were last known to be current.
func (s *State) evacuationsAsOf() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.belief.asOf
}

// logUnreadable logs entries whose failure domain can't be read, as another writer may leave them.
func (f *Follower) logUnreadable(problems []string) {
	for _, problem := range problems {
		if f.unusableLines.Allow() {
			f.log.Event(evEvacuationUnreadable).Str("problem", problem).Msg("")
		}
	}
}

func (f *Follower) logEvacuations(changes []EvacuationChange, from string) {
	for _, c := range changes {
		at := f.state.Known().EvacuationRevision
		f.log.Event(evEvacuation).Str("failure_domain", c.Domain).Bool("ended", c.Ended).
			Uint64("era", at.Era).Uint64("revision", at.Number).Str("from", from).Msg("")
		value := 1.0
		if c.Ended {
			value = 0
		}
		f.metrics.evacuated.WithLabelValues(c.Domain).Set(value)
	}
}
