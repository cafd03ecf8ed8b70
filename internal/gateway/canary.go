package gateway

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// errVersionMoved means that the service's requests were moved to or from the target's version before
// the attempt was sent.
var errVersionMoved = errors.New("the target's version gets no requests any more")

// attemptKind is what decides whether an attempt may go to the ordered version during a canary.
type attemptKind struct {
	first      bool // no host has made an attempt of the request before: it is neither a retry nor a hedge
	idempotent bool
}

// onTrial reports whether an attempt goes to the targets of the ordered version that are on trial
// rather than to those that get ordinary requests. draw is uniform in [0, 1).
func (a attemptKind) onTrial(plan *rollout.Plan, draw float64) bool {
	if plan == nil || plan.Phase != rollout.PhaseCanary || !a.first {
		return false
	}
	return (a.idempotent || plan.NonIdempotent) && draw < plan.Share
}

// maySend reports whether an attempt may be sent that was chosen for a target of a version. excluded
// reports that the version gets no ordinary requests now: the attempt was chosen during a canary, or
// the plan has changed since.
func maySend(plan *rollout.Plan, version string, excluded bool) bool {
	if !excluded {
		return true
	}
	return plan != nil && plan.Phase == rollout.PhaseCanary && plan.ID.Version == version
}

// acquireOnTrial reserves a connection slot at a target of the ordered version if the run's first
// attempt is drawn to go there. It returns nil if the attempt is chosen as usual.
func (r *run) acquireOnTrial() *target {
	ro := r.service.rollout
	if ro == nil {
		return nil
	}
	kind := attemptKind{first: r.otherHostAttempts == 0, idempotent: r.route.Idempotent}
	plan := ro.plan.Load()
	if plan == nil || !kind.onTrial(plan, rand.Float64()) {
		return nil
	}
	return r.service.acquireTrialTarget(r.request, plan)
}

// acquireTrialTarget reserves a connection slot at one of the targets on trial that have a free one,
// each with the same probability; nil if none has. Neither the cost nor an ejection of a target
// counts, since requests that avoid the bad targets of a version would hide that it is bad.
func (s *service) acquireTrialTarget(r *request, plan *rollout.Plan) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var free []*target
	for _, t := range s.targets {
		if onTrial(plan, t) && t.usable() && s.regions.inHomeRegions(r.homeRegions, t.info.Domain) && t.pool.HasFree() && s.mayWarm(now, t, r) {
			free = append(free, t)
		}
	}
	if len(free) == 0 {
		return nil
	}
	t := free[rand.IntN(len(free))]
	t.reserve(now, r.latencyScale)
	return t
}

// onTrial reports whether a target gets the share of the plan.
func onTrial(plan *rollout.Plan, t *target) bool {
	return t.info.Version == plan.ID.Version && (len(plan.OnTrial) == 0 || slices.Contains(plan.OnTrial, t.info.ID))
}

// mayWarm reports whether the target is warm, or has a permit that admits the request now. The
// caller holds the lock.
func (s *service) mayWarm(now time.Time, t *target, r *request) bool {
	if !s.cold(now, t) {
		return true
	}
	if !s.hasPermit(t) {
		return false
	}
	ok, _ := s.admitCold(now, t, s.urgent(r))
	return ok
}

// versionMoved reports whether nothing may be sent to the target any more as the plan has changed
// since the target was chosen. The caller holds the lock.
func (s *service) versionMoved(t *target) bool {
	return s.rollout != nil && !maySend(s.rollout.plan.Load(), t.info.Version, t.excluded)
}
