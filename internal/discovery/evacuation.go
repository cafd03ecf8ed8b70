package discovery

import (
	"context"
	"maps"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// Nothing more may be sent to the targets of an evacuated failure domain. Operators begin and end
// evacuations in the store. They are cached like the configuration and the registry, with a store
// revision and an age.

// EvacuationRead is all evacuated failure domains.
type EvacuationRead struct {
	Domains  []string
	Problems []string          // entries whose failure domain cannot be read
	Revision revision.Revision // of the store at the time of the read
}

// EvacuationChange is the beginning or the end of an evacuation.
type EvacuationChange struct {
	Domain string
	Ended  bool
}

// EvacuationChanges is what changed since a revision.
type EvacuationChanges struct {
	Changes  []EvacuationChange
	Problems []string          // entries whose failure domain cannot be read
	Revision revision.Revision // from which the next watch starts
}

// evacuations is the cached state of the evacuations.
type evacuations struct {
	enabled bool // evacuations are read at all
	synced  syncPoint
	stored  map[string]bool // as the store holds them
	kept    map[string]keptEvacuation
	// retention is how long an evacuation is kept that is missing in an older copy of the store.
	retention time.Duration
	keptSeq   *keptSequence
	// active is the union of stored and kept. Views share it, so every change replaces it.
	active map[string]bool
	// historyStart is the revision from which on this host has seen every change. Peers with an
	// older one get all domains, as a full read does not show what had ended before it.
	historyStart revision.Revision
	// endedAt is when the end of an evacuation was seen, by domain. Targets there may have become
	// cold meanwhile. Views share the map, so every change replaces it.
	endedAt map[string]time.Time
}

// known reports whether the evacuated domains are known, or not needed.
func (e *evacuations) known() bool { return !e.enabled || !e.synced.asOf.IsZero() }

// recordEnd records the latest time at which an evacuation ended.
func (e *evacuations) recordEnd(domain string, at time.Time) {
	if !at.After(e.endedAt[domain]) {
		return
	}
	ends := maps.Clone(e.endedAt)
	if ends == nil {
		ends = map[string]time.Time{}
	}
	ends[domain] = at
	e.endedAt = ends
}

// refresh recomputes the active evacuations and returns what has changed.
func (e *evacuations) refresh() []EvacuationChange {
	active := e.activeDomains()
	var changes []EvacuationChange
	for domain := range e.active {
		if !active[domain] {
			changes = append(changes, EvacuationChange{Domain: domain, Ended: true})
		}
	}
	for domain := range active {
		if !e.active[domain] {
			changes = append(changes, EvacuationChange{Domain: domain})
		}
	}
	e.active = active
	return changes
}

// setStored sets the domains that the store holds at a revision.
func (e *evacuations) setStored(domains map[string]bool, at revision.Revision, asOf time.Time) {
	e.stored = domains
	e.synced.revision = revision.Later(e.synced.revision, at)
	if asOf.After(e.synced.asOf) {
		e.synced.asOf = asOf
	}
}

// storedDomains returns the domains that the store holds, sorted.
func (e *evacuations) storedDomains() []string { return slices.Sorted(maps.Keys(e.stored)) }

// ApplyEvacuations applies a full read of the evacuations that was current at asOf, and returns
// what has changed. A read older than the cached state is ignored.
func (s *State) ApplyEvacuations(r EvacuationRead, asOf time.Time) []EvacuationChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Revision.Before(s.evacuations.synced.revision) {
		return nil
	}
	domains := map[string]bool{}
	for _, domain := range r.Domains {
		domains[domain] = true
	}
	if e := &s.evacuations; !e.synced.revision.IsZero() && e.synced.revision.Era < r.Revision.Era {
		e.keepMissing(domains, s.clock.Now())
	}
	maps.DeleteFunc(s.evacuations.kept, func(domain string, _ keptEvacuation) bool { return domains[domain] })
	s.evacuations.historyStart = r.Revision
	return s.setEvacuations(domains, r.Revision, asOf)
}

// ApplyEvacuationChanges applies the changes since the cached revision and returns those that
// changed something here.
func (s *State) ApplyEvacuationChanges(c EvacuationChanges, asOf time.Time) []EvacuationChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.evacuations.synced.accepts(c.Revision) {
		return nil
	}
	domains := maps.Clone(s.evacuations.stored)
	for _, change := range c.Changes {
		delete(s.evacuations.kept, change.Domain)
		if change.Ended {
			delete(domains, change.Domain)
			continue
		}
		domains[change.Domain] = true
	}
	if len(c.Changes) > 0 { // even if they cancel out: a peer may be at a revision in between
		s.evacuations.historyStart = c.Revision
		s.wakePolls()
	}
	return s.setEvacuations(domains, c.Revision, asOf)
}

// setEvacuations sets what the store holds and returns what that changes. The caller holds the
// lock.
func (s *State) setEvacuations(domains map[string]bool, at revision.Revision, asOf time.Time) []EvacuationChange {
	wasKnown := s.evacuations.known()
	s.evacuations.setStored(domains, at, asOf)
	return s.refreshEvacuations(!wasKnown && s.evacuations.known())
}

// refreshEvacuations recomputes the active evacuations and notifies the subscribers if they have
// changed or have just become known. The caller holds the lock.
func (s *State) refreshEvacuations(becameKnown bool) []EvacuationChange {
	changes := s.evacuations.refresh()
	for _, c := range changes {
		if c.Ended {
			s.evacuations.recordEnd(c.Domain, s.clock.Now())
		}
	}
	if len(changes) > 0 || becameKnown {
		s.notify()
	}
	return changes
}

// recordEvacuationEnds records the ends of evacuations that a peer reported.
func (s *State) recordEvacuationEnds(ends map[string]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for domain, at := range ends {
		s.evacuations.recordEnd(domain, at)
	}
}

// Evacuations returns the evacuated failure domains, sorted.
func (s *State) Evacuations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.evacuations.active))
}

// followEvacuations reads or watches the evacuations with one store call.
func (f *Follower) followEvacuations(ctx context.Context, feed *feed) error {
	cachedRevision := f.state.Cursor().EvacuationRevision
	if feed.mustList(cachedRevision) {
		requestedAt := f.state.clock.Now()
		read, err := f.source.Evacuations(ctx)
		if err != nil {
			return err
		}
		feed.noteAnswer()
		feed.noteListed()
		f.logUnreadable(read.Problems)
		f.logEvacuations(f.state.ApplyEvacuations(read, requestedAt), "store")
		return nil
	}
	w := f.newWatch(f.state.evacuationsAsOf())
	changes, err := f.source.WatchEvacuations(ctx, cachedRevision, w.wait)
	if err != nil {
		return err
	}
	feed.noteWatched()
	f.logUnreadable(changes.Problems)
	f.logEvacuations(f.state.ApplyEvacuationChanges(changes, w.currentAsOf(len(changes.Changes) > 0)), "store")
	return nil
}

// evacuationsAsOf returns the time as of which the evacuations were last confirmed to be current.
func (s *State) evacuationsAsOf() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.synced.asOf
}

// logUnreadable logs entries whose failure domain cannot be read, for example ones written by
// another program.
func (f *Follower) logUnreadable(problems []string) {
	for _, problem := range problems {
		if f.unusableLogs.Allow() {
			f.log.Event(evEvacuationUnreadable).Str("problem", problem).Msg("")
		}
	}
}

func (f *Follower) logEvacuations(changes []EvacuationChange, from string) {
	for _, c := range changes {
		at := f.state.Cursor().EvacuationRevision
		f.log.Event(evEvacuation).Str("failure_domain", c.Domain).Bool("ended", c.Ended).
			Uint64("era", at.Era).Uint64("revision", at.Number).Str("from", from).Msg("")
		value := 1.0
		if c.Ended {
			value = 0
		}
		f.metrics.evacuated.WithLabelValues(c.Domain).Set(value)
	}
}
