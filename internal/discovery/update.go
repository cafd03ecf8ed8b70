package discovery

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// maxHistory is how many changes of the registry are kept for peers. It covers the changes of
// several seconds at 4,200 targets. A peer that is further behind gets the whole list.
const maxHistory = 1024

// history is a log of the newest changes of the registry, in order.
type history struct {
	changes []revisedChange
	start   revision.Revision // the log is complete for changes after this revision
}

type revisedChange struct {
	revision revision.Revision // store revision at which the change was received
	change   TargetChange
}

// add appends changes received at a revision.
func (h *history) add(at revision.Revision, changes []TargetChange) {
	for _, c := range changes {
		if len(h.changes) == maxHistory {
			half := maxHistory / 2
			h.start = h.changes[half-1].revision
			h.changes = append(h.changes[:0], h.changes[half:]...)
		}
		h.changes = append(h.changes, revisedChange{at, c})
	}
}

// reset drops all changes because the registry was read in full at a revision, which does not show
// what was removed before. When peers were sent changes since earlier revisions, four of seven
// hosts kept eight targets whose registrations were removed while the watching host restarted, and
// sent them requests.
func (h *history) reset(at revision.Revision) {
	h.changes, h.start = nil, at
}

// since returns the changes after a revision, and false if the log does not reach back to it.
func (h *history) since(at revision.Revision) ([]TargetChange, bool) {
	if at.IsZero() || at.Before(h.start) {
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

// Cursor is the position up to which a host has received the state: a store revision for each kind,
// and numbers of the other host for what does not come from the store.
type Cursor struct {
	ConfigRevision     revision.Revision
	RegistryRevision   revision.Revision
	EvacuationRevision revision.Revision
	RolloutRevision    revision.Revision
	// FollowsRollouts is set if the host follows rollout orders; otherwise it is sent none.
	FollowsRollouts bool
	// PermitNumber is the last permit received from the other host, in its finding epoch.
	PermitNumber uint64
	// KeptNumber is the last kept state received from the other host, in its finding epoch.
	KeptNumber uint64
	// FindingEpoch and FindingNumber identify the last finding received from the other host.
	FindingEpoch  uint64
	FindingNumber uint64
	// Requests identifies the last change of the quarantine records received from the other host.
	Requests quarantine.Mark
}

// Update is what one host sends to another: the state that is newer than a cursor.
type Update struct {
	Peer string // the sending host

	Config         *routing.Config // nil: nothing newer
	ConfigRevision revision.Revision
	ConfigAsOf     time.Time // zero: never confirmed to be current

	AllTargets       bool // Changes is the full list of targets
	Changes          []TargetChange
	RegistryRevision revision.Revision
	RegistryAsOf     time.Time

	Evacuated          *EvacuationRead // nil: nothing newer
	EvacuationRevision revision.Revision
	EvacuationsAsOf    time.Time
	EvacuationEnds     map[string]time.Time // sent together with Evacuated

	Orders          []rollout.Order // all orders as the store holds them; nil: nothing newer
	RolloutRevision revision.Revision
	RolloutsAsOf    time.Time // zero: not read, or not followed

	// SenderUptime is the time since the sender started, sent in reply to the first poll of a host;
	// 0: not sent.
	SenderUptime time.Duration
	// EraAge is the time since the era of the registry was first seen, sent in reply to the first
	// poll of a host; 0: not sent.
	EraAge time.Duration

	Permits      []Permit // for cold targets
	PermitNumber uint64   // of the newest permit

	Kept Kept // state kept over a restore of the store
	// StoredVersion is the version of the configuration in the store, 0 if it has none; nil: no
	// restore was seen.
	StoredVersion *uint64

	OutageEnd time.Time // when the registry was last read again after an outage; zero: never

	Findings      []Finding
	FindingEpoch  uint64
	FindingNumber uint64 // of the newest finding

	Requests     []quarantine.Record // quarantine records that have changed
	RequestsMark quarantine.Mark     // of the newest change
}

// Cursor returns the revisions of the cached state.
func (s *State) Cursor() Cursor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Cursor{
		ConfigRevision: s.config.revision, RegistryRevision: s.registry.revision, EvacuationRevision: s.evacuations.synced.revision,
		RolloutRevision: s.orders.synced.revision, FollowsRollouts: s.orders.enabled,
	}
}

// AwaitUpdate returns what is newer than the cursor as soon as there is anything, at the latest
// after wait.
func (s *State) AwaitUpdate(ctx context.Context, cursor Cursor, wait time.Duration) Update {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var lastOutageEnd time.Time // as known when the wait began
	for waited := false; ; waited = true {
		u, changed := s.updateSince(cursor)
		if u.Config != nil || u.Evacuated != nil || u.Orders != nil || u.AllTargets || len(u.Changes) > 0 || len(u.Findings) > 0 || len(u.Permits) > 0 || !u.Kept.isEmpty() || len(u.Requests) > 0 {
			return u
		}
		if !waited {
			lastOutageEnd = u.OutageEnd
		}
		if u.OutageEnd.After(lastOutageEnd) {
			return u
		}
		select {
		case <-changed:
		case <-timer.C:
			u, _ = s.updateSince(cursor)
			return u
		case <-ctx.Done():
			return u
		}
	}
}

// updateSince returns what is newer than the cursor, and a channel that is closed at the next
// change.
func (s *State) updateSince(cursor Cursor) (Update, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Update{
		ConfigRevision: s.config.revision, ConfigAsOf: s.config.asOf,
		RegistryRevision: s.registry.revision, RegistryAsOf: s.registry.asOf,
		EvacuationRevision: s.evacuations.synced.revision, EvacuationsAsOf: s.evacuations.synced.asOf,
		OutageEnd:    s.outageEnd,
		Findings:     s.findings.since(s.clock.Now(), cursor.FindingEpoch, cursor.FindingNumber),
		FindingEpoch: s.findings.epoch, FindingNumber: s.findings.lastNumber,
	}
	u.Requests, u.RequestsMark = s.quarantined.Since(cursor.Requests)
	isFirstPoll := cursor.FindingEpoch != s.findings.epoch // the cursor is not of this process
	if isFirstPoll {
		cursor.PermitNumber, cursor.KeptNumber = 0, 0
		u.SenderUptime = s.clock.Since(s.startedAt)
		if !s.eraFirstSeen.IsZero() {
			u.EraAge = s.clock.Since(s.eraFirstSeen)
		}
	}
	u.PermitNumber, u.Permits = s.permits.lastNumber, s.permits.since(cursor.PermitNumber)
	u.Kept = s.keptSince(cursor.KeptNumber, isFirstPoll)
	if s.storedConfig.announced {
		version := s.storedConfig.version
		u.StoredVersion = &version
	}
	if s.table != nil && cursor.ConfigRevision.Before(s.config.revision) {
		u.Config = s.newerConfig(cursor.ConfigRevision)
	}
	if cursor.EvacuationRevision.Before(s.evacuations.historyStart) {
		u.Evacuated = &EvacuationRead{Domains: s.evacuations.storedDomains(), Revision: s.evacuations.synced.revision}
		u.EvacuationEnds = s.evacuations.endedAt
	}
	if s.orders.enabled && cursor.FollowsRollouts {
		u.RolloutRevision, u.RolloutsAsOf = s.orders.synced.revision, s.orders.synced.asOf
		u.Orders, u.Kept.Orders = s.orders.since(cursor)
	}
	if !cursor.RegistryRevision.Before(s.registry.revision) {
		return u, s.changed
	}
	changes, complete := s.history.since(cursor.RegistryRevision)
	u.Changes = changes
	if !complete {
		u.AllTargets = true
		u.Changes = asChanges(s.storedRegistrations())
	}
	return u, s.changed
}

// newerConfig returns the configuration if it was written after a revision.
func (s *State) newerConfig(than revision.Revision) *routing.Config {
	if !than.Before(s.configWrittenAt) {
		return nil
	}
	return &s.table.Config
}

// AppliedChanges is what an update has changed in the cached state.
type AppliedChanges struct {
	Config      bool
	Evacuations []EvacuationChange
	Orders      []OrderChange
	Targets     []TargetChange // added, changed or removed
}

// ApplyUpdate applies an update from a peer and returns what it has changed.
func (s *State) ApplyUpdate(u Update) AppliedChanges {
	var changed AppliedChanges
	kept := s.applyKeptEvacuations(u.Kept.Evacuations) // before the rest, so that an evacuation is never lifted in between
	changed.Evacuations = append(kept, s.applyEvacuationUpdate(u)...)
	changed.Orders = s.applyOrderUpdate(u) // before the targets, whose versions they concern
	s.ApplyPermits(u.Permits)
	if !u.OutageEnd.IsZero() {
		s.mu.Lock()
		s.noteOutageEnd(u.OutageEnd)
		s.mu.Unlock()
	}
	changed.Config = s.applyConfigUpdate(u)
	tombstones := s.ApplyTombstones(u.Kept.Tombstones) // before the targets, so that one that left is never used in between
	if u.AllTargets {
		list := TargetList{Revision: u.RegistryRevision}
		for _, c := range u.Changes {
			list.Targets = append(list.Targets, c.Target)
		}
		changed.Targets = s.ApplyTargets(list, u.RegistryAsOf)
	} else {
		changed.Targets = s.ApplyChanges(TargetChanges{Changes: u.Changes, Revision: u.RegistryRevision}, u.RegistryAsOf)
	}
	s.recordEraAge(u)
	changed.Targets = append(tombstones, changed.Targets...)
	return changed
}

// applyEvacuationUpdate applies the evacuations in an update. A peer without them sends none.
func (s *State) applyEvacuationUpdate(u Update) []EvacuationChange {
	if u.EvacuationsAsOf.IsZero() {
		return nil
	}
	if u.Evacuated == nil {
		return s.ApplyEvacuationChanges(EvacuationChanges{Revision: u.EvacuationRevision}, u.EvacuationsAsOf)
	}
	s.recordEvacuationEnds(u.EvacuationEnds)
	return s.ApplyEvacuations(*u.Evacuated, u.EvacuationsAsOf)
}

// recordEraAge records for how long the sender of an update has known the era of the registry.
func (s *State) recordEraAge(u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.EraAge > 0 && u.RegistryRevision.Era == s.registry.revision.Era {
		s.recordEra(s.registry.revision.Era, s.clock.Now().Add(-u.EraAge))
	}
}
