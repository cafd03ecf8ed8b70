package rollouts

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// order is how far this host is with one order. The keeper's lock guards it.
type order struct {
	rollout.Order // as the store holds it, as far as this host knows

	knownSince time.Time
	changedAt  time.Time // when the state in the store last changed, as seen here
	// phase only grows, except that a final state in the store sets it.
	phase  rollout.Phase
	reason string // of the phase

	directive     rollout.Directive // latest one that held a share
	directiveAt   time.Time         // when it was received; zero: none was
	directiveRank int               // of the coordinator that sent it

	usable             []string // usable targets of the new version
	oldSlots, newSlots int
	evidence           rollout.Evidence // of this host
	evidenceAt         time.Time        // when it was read from the gateway
	nextOwnReport      time.Time        // when this host next reports to itself, as a coordinator
	plan               rollout.Plan     // that the gateway has

	coordinator coordinator      // nil: no evidence has arrived
	active      bool             // this host decides
	decision    rollout.Decision // of this host, while it is active

	// verdictEra is the era of the store in which this host saw the verdict become its status, or wrote
	// it there.
	verdictEra  uint64
	status      retry  // of status writes
	age         retry  // of the stored age
	ageStored   bool   // the age is in the store, in the era below
	ageStoreEra uint64 // of the store
}

// isSettled reports whether the store holds the verdict, so that there is nothing left to do.
func (o *order) isSettled() bool { return o.State().Final() }

// isUnconfirmed reports whether the verdict may be missing in the store, as it was restored from an
// older copy: the cached state keeps verdicts over a restore. Writing one that is there changes nothing.
func (o *order) isUnconfirmed() bool { return o.isSettled() && o.verdictEra < o.Written.Era }

// ageAt returns the age of the order; unknownAge if no host has reported it.
func (o *order) ageAt(now time.Time) time.Duration {
	if o.FirstSeen.IsZero() {
		return unknownAge
	}
	return max(now.Sub(o.FirstSeen), 0)
}

// finalPhase returns the phase that a final state stands for.
func finalPhase(s rollout.State) rollout.Phase {
	if s == rollout.StateSucceeded {
		return rollout.PhaseSucceeded
	}
	return rollout.PhaseRolledBack
}

// finalState returns the state that a phase stands for; StateNone if the phase is not final.
func finalState(p rollout.Phase) rollout.State {
	switch p {
	case rollout.PhaseSucceeded:
		return rollout.StateSucceeded
	case rollout.PhaseRolledBack:
		return rollout.StateRolledBack
	}
	return rollout.StateNone
}

// update takes over what the store holds, unless this host knows a later revision: the answer to its
// own status write arrives before the watch shows it.
func (o *order) update(now time.Time, found rollout.Order) {
	if found.ID != o.ID {
		return
	}
	if o.FirstSeen.IsZero() || !found.FirstSeen.IsZero() && found.FirstSeen.Before(o.FirstSeen) {
		o.FirstSeen = found.FirstSeen
	}
	if found.Written.Before(o.Written) {
		return
	}
	if found.State() != o.State() {
		o.changedAt = now
		isWrite := found.Written.Era == o.Written.Era && found.Written != o.Written
		if found.State().Final() && isWrite { // the cached state adds a kept verdict without a new revision
			o.verdictEra = found.Written.Era
		}
	}
	found.FirstSeen = o.FirstSeen
	o.Order = found
}

// noteDirective takes over the share of a directive. A later coordinator does not replace the
// directive of an earlier one while that applies, so that the share does not alternate between two.
func (o *order) noteDirective(now time.Time, rank int, d rollout.Directive) {
	if d.Phase == rollout.PhaseWaiting || rank > o.directiveRank && o.directiveApplies(now) {
		return
	}
	o.directive, o.directiveAt, o.directiveRank = d, now, rank
}

// directiveApplies reports whether the latest directive is recent enough.
func (o *order) directiveApplies(now time.Time) bool {
	return !o.directiveAt.IsZero() && now.Sub(o.directiveAt) <= directiveValidity
}

// share returns the share of the first attempts that the new version gets, averaged over time, and
// whether requests that must not run twice may go there.
func (o *order) share(now time.Time, cfg rollout.Config) (share float64, nonIdempotent bool) {
	if !o.directiveApplies(now) {
		return cfg.DefaultShare(), false
	}
	return o.directive.Share, o.directive.NonIdempotent
}

// mayTry reports whether the new version may get its share: this host's orders are current, the age
// is known and the time of the order is not over, and there are targets.
func (o *order) mayTry(now time.Time, current bool) bool {
	age := o.ageAt(now)
	return current && age >= 0 && age < o.Duration && len(o.usable) > 0
}

// planAt returns how the gateway treats the versions now. Once requests have moved they stay with
// the new version also when orders are not current: the old targets may end at any moment.
func (o *order) planAt(now time.Time, current bool, cfg rollout.Config) rollout.Plan {
	plan := rollout.Plan{ID: o.ID, Phase: o.phase}
	switch {
	case o.phase >= rollout.PhaseMoving:
		plan.NonIdempotent = o.phase != rollout.PhaseRolledBack
	case !o.mayTry(now, current):
		plan.Phase = rollout.PhaseWaiting
	default:
		plan.Phase = rollout.PhaseCanary
		share, nonIdempotent := o.share(now, cfg)
		plan.NonIdempotent = nonIdempotent
		plan.OnTrial, plan.Share = rollout.Turn(o.ageAt(now), share, o.usable)
	}
	return plan
}

// hostEvidence returns what this host reports of the order. It reports that it is moving only once its
// gateway is: the coordinator takes that for the end of new requests to old targets, and these stop at once
// when the order succeeds.
func (o *order) hostEvidence(now time.Time) rollout.HostEvidence {
	phase := o.phase
	if phase == rollout.PhaseMoving && o.plan.Phase < rollout.PhaseMoving {
		phase = rollout.PhaseCanary
	}
	e := rollout.HostEvidence{ID: o.ID, Phase: phase, Age: o.ageAt(now), Evidence: o.evidence}
	if o.phase == rollout.PhaseRolledBack {
		e.Reason = o.reason
	}
	return e
}
