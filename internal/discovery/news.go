package discovery

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// mostHistory is how many changes of the registry are kept for peers. It
// covers the changes of several seconds at 4,200 targets; a peer that lacks
// more gets the whole list.
const mostHistory = 1024

// history is the newest changes of the registry, in order.
type history struct {
	changes []revisedChange
	from    revision.Revision // every change after this revision is kept, none up to it is answered for
}

type revisedChange struct {
	revision revision.Revision // of the store, at which the change was known
	change   TargetChange
}

// add keeps changes that were known as of a revision.
func (h *history) add(at revision.Revision, changes []TargetChange) {
	for _, c := range changes {
		if len(h.changes) == mostHistory {
			half := mostHistory / 2
			h.from = h.changes[half-1].revision
			h.changes = append(h.changes[:0], h.changes[half:]...)
		}
		h.changes = append(h.changes, revisedChange{at, c})
	}
}

// begin forgets all changes: the registry was read as a whole at a revision. A reading does not tell
// what was removed before it. Answered from the revisions before, four of seven hosts kept eight targets
// whose registrations were removed while the host that watches restarted, and sent them requests.
func (h *history) begin(at revision.Revision) {
	h.changes, h.from = nil, at
}

// since returns the changes after a revision, and false if some are not kept.
func (h *history) since(at revision.Revision) ([]TargetChange, bool) {
	if at.IsZero() || at.Before(h.from) {
		return nil, false
	}
	var changes []TargetChange
	for _, c := range h.changes {
		if at.Before(c.revision) {
			changes = append(changes, c.change)
		}
	}
	return changes, true
}

// Known is the revisions that a host holds.
type Known struct {
	ConfigRevision   revision.Revision
	RegistryRevision revision.Revision
	// EvacuationRevision is that of the evacuations.
	EvacuationRevision revision.Revision
	// PermitNumber names the last permit that the host got from the one it asks, in the epoch of
	// the findings.
	PermitNumber uint64
	// KeptNumber names what the host got last from the one it asks of what that keeps over a restore, in the epoch of
	// the findings.
	KeptNumber uint64
	// FindingEpoch and FindingNumber name the last finding that the host got
	// from the one it asks.
	FindingEpoch  uint64
	FindingNumber uint64
	// Requests names the last change of what that host holds against requests.
	Requests quarantine.Mark
}

// News is what one host can tell another that holds older revisions.
type News struct {
	From string // the host that told it

	Config         *routing.Config // nil: nothing newer
	ConfigRevision revision.Revision
	ConfigAsOf     time.Time // zero: never known to be current

	AllTargets       bool // Changes are all targets there are
	Changes          []TargetChange
	RegistryRevision revision.Revision
	RegistryAsOf     time.Time

	Evacuated          *EvacuationRead // nil: nothing newer
	EvacuationRevision revision.Revision
	EvacuationsAsOf    time.Time
	EvacuationEnds     map[string]time.Time // told with all evacuations

	// MemoryAge is the time since the host that told it started, told to a host's first question; 0: not told.
	MemoryAge time.Duration
	// EraAge is the time since the era of the registry was first seen, told to a host's first question; 0: not told.
	EraAge time.Duration

	Permits      []Permit // to send to cold targets
	PermitNumber uint64   // of the newest one

	Kept Kept // over a restore of the store
	// StoredVersion is that of the configuration that the store holds, 0 if it holds none; nil: no restore was seen.
	StoredVersion *uint64

	Outage time.Time // when the registry could last be read again after an outage; zero: never

	Findings      []Finding
	FindingEpoch  uint64
	FindingNumber uint64 // of the last finding there is

	Requests     []quarantine.Record // what changed of what is held against requests
	RequestsMark quarantine.Mark     // of the newest change
}

// Known returns the revisions that this host holds.
func (s *State) Known() Known {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Known{ConfigRevision: s.config.revision, RegistryRevision: s.registry.revision, EvacuationRevision: s.evacuations.belief.revision}
}

// AwaitNews returns what is newer than the revisions, once there is something
// or the wait is over.
func (s *State) AwaitNews(ctx context.Context, than Known, wait time.Duration) News {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var outage time.Time // that was known when the wait began
	for waited := false; ; waited = true {
		n, changed := s.newsSince(than)
		if n.Config != nil || n.Evacuated != nil || n.AllTargets || len(n.Changes) > 0 || len(n.Findings) > 0 || len(n.Permits) > 0 || !n.Kept.isEmpty() || len(n.Requests) > 0 {
			return n
		}
		if !waited {
			outage = n.Outage
		}
		if n.Outage.After(outage) {
			return n
		}
		select {
		case <-changed:
		case <-timer.C:
			n, _ = s.newsSince(than)
			return n
		case <-ctx.Done():
			return n
		}
	}
}

// newsSince returns what is newer than the revisions, and a channel that
// closes at the next change.
func (s *State) newsSince(than Known) (News, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := News{
		ConfigRevision: s.config.revision, ConfigAsOf: s.config.asOf,
		RegistryRevision: s.registry.revision, RegistryAsOf: s.registry.asOf,
		EvacuationRevision: s.evacuations.belief.revision, EvacuationsAsOf: s.evacuations.belief.asOf,
		Outage:       s.outage,
		Findings:     s.findings.since(s.clock.Now(), than.FindingEpoch, than.FindingNumber),
		FindingEpoch: s.findings.epoch, FindingNumber: s.findings.next,
	}
	n.Requests, n.RequestsMark = s.requests.Since(than.Requests)
	first := than.FindingEpoch != s.findings.epoch // question of that host
	if first {
		than.PermitNumber, than.KeptNumber = 0, 0
		n.MemoryAge = s.clock.Since(s.began)
		if !s.eraSeen.IsZero() {
			n.EraAge = s.clock.Since(s.eraSeen)
		}
	}
	n.PermitNumber, n.Permits = s.permits.next, s.permits.since(than.PermitNumber)
	n.Kept = s.keptSince(than.KeptNumber, first)
	if s.stored.told {
		version := s.stored.version
		n.StoredVersion = &version
	}
	if s.table != nil && than.ConfigRevision.Before(s.config.revision) {
		n.Config = s.newerConfig(than.ConfigRevision)
	}
	if than.EvacuationRevision.Before(s.evacuations.since) {
		n.Evacuated = &EvacuationRead{Domains: s.evacuations.list(), Revision: s.evacuations.belief.revision}
		n.EvacuationEnds = s.evacuations.ends
	}
	if !than.RegistryRevision.Before(s.registry.revision) {
		return n, s.news
	}
	changes, complete := s.history.since(than.RegistryRevision)
	n.Changes = changes
	if !complete {
		n.AllTargets = true
		n.Changes = changed(s.registered())
	}
	return n, s.news
}

// newerConfig returns the configuration if it was written after a revision.
func (s *State) newerConfig(than revision.Revision) *routing.Config {
	if !than.Before(s.configWritten) {
		return nil
	}
	return &s.table.Config
}

// Changed is what news have changed in what a host believes.
type Changed struct {
	Config      bool
	Evacuations []EvacuationChange
	Targets     []TargetChange // that came, changed or went
}

// ApplyNews takes what a peer told, and returns what that has changed.
func (s *State) ApplyNews(n News) Changed {
	var changed Changed
	kept := s.applyKeptEvacuations(n.Kept.Evacuations) // first: nothing is sent there for a moment
	changed.Evacuations = append(kept, s.applyEvacuationNews(n)...)
	s.ApplyPermits(n.Permits)
	if !n.Outage.IsZero() {
		s.mu.Lock()
		s.noteOutage(n.Outage)
		s.mu.Unlock()
	}
	changed.Config = s.applyConfigNews(n)
	tombstones := s.ApplyTombstones(n.Kept.Tombstones) // first: no target that left is used for a moment
	if n.AllTargets {
		list := TargetList{Revision: n.RegistryRevision}
		for _, c := range n.Changes {
			list.Targets = append(list.Targets, c.Target)
		}
		changed.Targets = s.ApplyTargets(list, n.RegistryAsOf)
	} else {
		changed.Targets = s.ApplyChanges(TargetChanges{Changes: n.Changes, Revision: n.RegistryRevision}, n.RegistryAsOf)
	}
	s.noteEraAge(n)
	changed.Targets = append(tombstones, changed.Targets...)
	return changed
}

// applyEvacuationNews takes what a peer told of evacuations. A peer that does not know them says
// nothing.
func (s *State) applyEvacuationNews(n News) []EvacuationChange {
	if n.EvacuationsAsOf.IsZero() {
		return nil
	}
	if n.Evacuated == nil {
		return s.ApplyEvacuationChanges(EvacuationChanges{Revision: n.EvacuationRevision}, n.EvacuationsAsOf)
	}
	s.noteEvacuationEnds(n.EvacuationEnds)
	return s.ApplyEvacuations(*n.Evacuated, n.EvacuationsAsOf)
}

// noteEraAge takes for how long a peer has known the era of the registry.
func (s *State) noteEraAge(n News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.EraAge > 0 && n.RegistryRevision.Era == s.registry.revision.Era {
		s.noteEra(s.registry.revision.Era, s.clock.Now().Add(-n.EraAge))
	}
}
