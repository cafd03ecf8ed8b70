package gateway

import (
	"cmp"
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// rolloutResults counts the results of the attempts at a service's targets for one order. It is
// guarded by the service's lock.
type rolloutResults struct {
	id    rollout.ID
	byKey map[resultKey]*rollout.Counts
}

// resultKey identifies the Counts of a route at one target of the new version, or, with an empty
// target, at all targets of other versions.
type resultKey struct{ route, target string }

func newRolloutResults(id rollout.ID) *rolloutResults {
	return &rolloutResults{id: id, byKey: map[resultKey]*rollout.Counts{}}
}

// get returns the counts of a key.
func (c *rolloutResults) get(key resultKey) *rollout.Counts {
	counts, ok := c.byKey[key]
	if !ok {
		counts = &rollout.Counts{Route: key.route, Target: key.target}
		c.byKey[key] = counts
	}
	return counts
}

// counts returns a copy of all counts, sorted by route and target.
func (c *rolloutResults) counts() []rollout.Counts {
	all := make([]rollout.Counts, 0, len(c.byKey))
	for _, counts := range c.byKey {
		all = append(all, *counts)
	}
	slices.SortFunc(all, func(a, b rollout.Counts) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Target, b.Target))
	})
	return all
}

// versionEvidence is what the result of an attempt shows about the version of its target.
type versionEvidence uint8

const (
	evidenceNotSent versionEvidence = iota // the attempt did not reach the target
	evidenceNone                           // it may have reached the target, and shows nothing
	evidenceFailed                         // the version failed it
	evidenceLatency                        // answered, or given up before an answer: the latency counts
)

// evidence returns what the result shows about the target's version. Rejections show nothing: nothing
// ran. Neither do attempts at an evacuated target, which may end while they run.
func (r result) evidence(evacuated bool) versionEvidence {
	switch {
	case r.outcome == outcome.NotSent:
		return evidenceNotSent
	case r.outcome == outcome.Rejected, evacuated:
		return evidenceNone
	case r.outcome == outcome.Done, r.targetTimedOut, r.abandoned:
		return evidenceLatency
	}
	return evidenceFailed
}

// countForRollout counts the result of an attempt if the service has a rollout order. The caller
// holds the lock.
func (s *service) countForRollout(m *metrics, t *target, r *request, res result) {
	if s.rollout == nil {
		return
	}
	plan := s.rollout.plan.Load()
	if plan == nil {
		return
	}
	shown := res.evidence(t.evacuated)
	if shown == evidenceNotSent {
		return
	}
	key := resultKey{route: r.stats.route}
	if t.info.Version == plan.ID.Version {
		key.target = t.info.ID
	}
	counts := s.rollout.results.get(key)
	counts.Sent++
	switch shown {
	case evidenceFailed:
		counts.Failed++
	case evidenceLatency:
		counts.Latencies.Observe(res.exchangeTime)
	}
	if plan.Phase < rollout.PhaseRolledBack {
		m.observeRollout(s.name, key.target != "", shown, res.exchangeTime)
	}
}
