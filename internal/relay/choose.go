package relay

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// hasHealthyCapacity reports whether a candidate that is not ejected has a
// free slot.
func (p *pool) hasHealthyCapacity(now time.Time, t *try) bool {
	for i, c := range t.candidates {
		if t.eligible(i) && c.hasCapacity(now) && !c.replica.Outlier.Ejected(now) {
			return true
		}
	}
	return false
}

// assignTarget chooses a candidate with a free slot, assigns the try to it and
// occupies the slot.
func (p *pool) assignTarget(now time.Time, t *try) bool {
	if !t.hasCapacity(now) {
		return false
	}
	i := p.chooseReplica(now, t)
	if i < 0 {
		return false
	}
	c := t.candidates[i]
	c.replica.Send(now)
	c.untried = false
	c.stats.attempts++
	p.relay.metrics.attempts.Inc()
	t.excluded |= 1 << i
	t.target, t.started, t.pausedBefore = c, now, p.paused
	p.running++
	return true
}

func (t *try) hasCapacity(now time.Time) bool {
	for i, c := range t.candidates {
		if t.eligible(i) && c.hasCapacity(now) {
			return true
		}
	}
	return false
}

// chooseReplica returns the index of the candidate that the policy picks, or
// -1 if there is none. A hedge prefers candidates outside the failure domain
// of the try that it hedges. Other tries fall back to an ejected target if
// exceedsEjectionLimit permits.
func (p *pool) chooseReplica(now time.Time, t *try) int {
	replicas := t.policyReplicas()
	pick := func(usable func(i int) bool) int {
		r := policy.Pick(now, p.rng, t.kind, replicas, func(r *policy.Replica) bool {
			i := replicaIndex(replicas, r)
			return usable(i) && !t.candidates[i].blockedByPoll()
		})
		return replicaIndex(replicas, r)
	}
	if i := p.chooseUntried(now, t); i >= 0 {
		return i
	}
	if t.kind == policy.Hedge {
		otherDomain := func(i int) bool { return t.eligible(i) && t.candidates[i].conf.FailureDomain != t.avoidDomain }
		if i := pick(otherDomain); i >= 0 {
			return i
		}
	}
	if i := pick(t.eligible); i >= 0 || t.kind == policy.Hedge {
		return i
	}
	return pick(func(i int) bool { return t.eligible(i) && p.exceedsEjectionLimit(now, t.candidates[i]) })
}

// chooseUntried returns the index of a candidate that got no attempt since it
// was added or restarted and that its ramp admits, or -1. Its cost is unknown
// until a first attempt has ended.
func (p *pool) chooseUntried(now time.Time, t *try) int {
	if t.kind != policy.FirstTry {
		return -1
	}
	for i, c := range t.candidates {
		if c.untried && t.eligible(i) && c.hasCapacity(now) && c.replica.Ramp.Takes(now, p.rng.Float64()) {
			return i
		}
	}
	return -1
}

func replicaIndex(replicas []*policy.Replica, r *policy.Replica) int {
	for i, x := range replicas {
		if x == r {
			return i
		}
	}
	return -1
}

// exceedsEjectionLimit reports whether the target is ejected although
// MaxSuspect of the targets of the service are ejected and worse than it. Such
// a target still gets the work that no other target has a slot for.
func (p *pool) exceedsEjectionLimit(now time.Time, t *target) bool {
	if !t.replica.Outlier.Ejected(now) {
		return false
	}
	worse := 0
	for _, o := range p.targets {
		if o != t && o.replica.Outlier.Ejected(now) && o.worseThan(t) {
			worse++
		}
	}
	return worse >= int(p.relay.cfg.MaxSuspect*float64(len(p.targets)))
}

// worseThan orders ejected targets by failure ratio, then latency, then id.
func (t *target) worseThan(o *target) bool {
	a, b := t.replica.Outlier, o.replica.Outlier
	if a.FailureRatio() != b.FailureRatio() {
		return a.FailureRatio() > b.FailureRatio()
	}
	if a.Latency() != b.Latency() {
		return a.Latency() > b.Latency()
	}
	return t.conf.ID > o.conf.ID
}
