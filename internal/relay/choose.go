package relay

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// healthyFree reports whether a holder that is not set aside has a free place.
func (p *pool) healthyFree(now time.Time, t *try) bool {
	for i, h := range t.holders {
		if t.holds(i) && h.free(now) && !h.rep.Outlier.Ejected(now) {
			return true
		}
	}
	return false
}

// take chooses a holder with a free place and takes the place.
func (p *pool) take(now time.Time, t *try) bool {
	if !t.anyFree(now) {
		return false
	}
	i := p.choose(now, t)
	if i < 0 {
		return false
	}
	h := t.holders[i]
	h.rep.Send(now)
	h.untried = false
	h.stats.attempts++
	p.relay.metrics.attempts.Inc()
	t.spent |= 1 << i
	t.target, t.started = h, now
	p.running++
	return true
}

func (t *try) anyFree(now time.Time) bool {
	for i, h := range t.holders {
		if t.holds(i) && h.free(now) {
			return true
		}
	}
	return false
}

// choose returns the index of the holder that the policy picks, -1 if none. A
// hedge looks in other failure domains than that of its first try before it
// looks in the same.
func (p *pool) choose(now time.Time, t *try) int {
	replicas := t.replicas()
	pick := func(usable func(i int) bool) int {
		r := policy.Pick(now, p.rng, t.kind, replicas, func(r *policy.Replica) bool {
			i := index(replicas, r)
			return usable(i) && !t.holders[i].crowded()
		})
		return index(replicas, r)
	}
	if i := p.untried(now, t); i >= 0 {
		return i
	}
	if t.kind == policy.Hedge {
		elsewhere := func(i int) bool { return t.holds(i) && t.holders[i].conf.FailureDomain != t.avoid }
		if i := pick(elsewhere); i >= 0 {
			return i
		}
	}
	if i := pick(t.holds); i >= 0 || t.kind == policy.Hedge {
		return i
	}
	return pick(func(i int) bool { return t.holds(i) && p.overEjected(now, t.holders[i]) })
}

// untried returns a holder that got no attempt since it was first seen or
// started, once its ramp admits it, -1 if there is none. What a target costs
// is known only after it was tried.
func (p *pool) untried(now time.Time, t *try) int {
	if t.kind != policy.FirstTry {
		return -1
	}
	for i, h := range t.holders {
		if h.untried && t.holds(i) && h.free(now) && h.rep.Ramp.Takes(now, p.rng.Float64()) {
			return i
		}
	}
	return -1
}

func index(replicas []*policy.Replica, r *policy.Replica) int {
	for i, x := range replicas {
		if x == r {
			return i
		}
	}
	return -1
}

// overEjected reports whether the target is set aside although MaxSuspect of
// the service's targets, all worse than it, are so already. It then still
// gets the work that finds no other place.
func (p *pool) overEjected(now time.Time, h *target) bool {
	if !h.rep.Outlier.Ejected(now) {
		return false
	}
	worse := 0
	for _, o := range p.targets {
		if o != h && o.rep.Outlier.Ejected(now) && o.worseThan(h) {
			worse++
		}
	}
	return worse >= int(p.relay.cfg.MaxSuspect*float64(len(p.targets)))
}

// worseThan orders targets that are set aside, by id where all else is equal.
func (t *target) worseThan(o *target) bool {
	a, b := t.rep.Outlier, o.rep.Outlier
	if a.FailureRatio() != b.FailureRatio() {
		return a.FailureRatio() > b.FailureRatio()
	}
	if a.Latency() != b.Latency() {
		return a.Latency() > b.Latency()
	}
	return t.conf.ID > o.conf.ID
}
