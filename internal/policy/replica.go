package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Try is the purpose of an attempt.
type Try uint8

const (
	// FirstTry is a request's first attempt; it may also probe an ejected
	// target.
	FirstTry Try = iota
	// Hedge runs beside an attempt that is late. It goes to a healthy target or
	// is not sent.
	Hedge
	// Retry follows an attempt that failed.
	Retry
)

// Replica is the state that one relay keeps of one target of a replica set.
type Replica struct {
	ID      string
	Local   bool // in the relay's failure domain
	Limiter *Limiter
	Outlier *Outlier
	Ramp    Ramp
}

// NewReplica returns a target without observations; see NewLimiter.
func NewReplica(id string, local bool, slots, relays, ceiling int) *Replica {
	return &Replica{
		ID:      id,
		Local:   local,
		Limiter: NewLimiter(slots, relays, ceiling),
		Outlier: NewOutlier(),
	}
}

// Pick chooses the replica for one attempt among those for which usable returns
// true: those that hold the shard and its snapshot, are not leaving, and had no
// attempt of the request yet. It returns nil if the attempt has to wait or, for
// a hedge, is not worth sending. Send must follow at once.
func Pick(now time.Time, rng *rand.Rand, try Try, replicas []*Replica, usable func(*Replica) bool) *Replica {
	healthy, ejected := partition(now, replicas, usable)
	if try == FirstTry && len(healthy) > 0 {
		if probe := dueProbe(now, ejected); probe != nil {
			return probe
		}
	}
	if len(healthy) == 0 && try != Hedge {
		healthy = ejected
	}
	return pickFree(now, rng, healthy)
}

// Send takes a slot at the replica for one attempt. Done must follow.
func (r *Replica) Send(now time.Time) {
	r.Limiter.Take(now)
	r.Outlier.Sent(now)
}

// Done returns the slot and records the outcome; all are the replicas of the
// set. latency is the time from send to answer, or until the attempt was given
// up.
func (r *Replica) Done(now time.Time, latency time.Duration, s Signal, all []*Replica) {
	r.Limiter.Release(now, latency, s)
	r.Outlier.Observe(now, latency, s, r.bestOtherLatency(now, all))
}

// Restart starts the ramp of a restarted target and drops the observations of
// its previous incarnation.
func (r *Replica) Restart(now time.Time, span time.Duration) {
	r.Ramp.Restart(now, span)
	running := r.Outlier.inFlight
	r.Outlier = NewOutlier()
	r.Outlier.inFlight = running
}

// bestOtherLatency returns the lowest latency among the other healthy replicas;
// 0 if there is none.
func (r *Replica) bestOtherLatency(now time.Time, all []*Replica) time.Duration {
	var best time.Duration
	for _, o := range all {
		if o == r || !o.Outlier.Known() || o.Outlier.Ejected(now) {
			continue
		}
		if l := o.Outlier.Latency(); best == 0 || l < best {
			best = l
		}
	}
	return best
}

// partition divides the usable replicas into healthy and ejected ones.
func partition(now time.Time, replicas []*Replica, usable func(*Replica) bool) (healthy, ejected []*Replica) {
	for _, r := range replicas {
		switch {
		case usable != nil && !usable(r):
		case r.Outlier.Ejected(now):
			ejected = append(ejected, r)
		default:
			healthy = append(healthy, r)
		}
	}
	return healthy, ejected
}

// dueProbe returns an ejected replica that may be probed now; nil if there is
// none.
func dueProbe(now time.Time, ejected []*Replica) *Replica {
	for _, r := range ejected {
		if r.Outlier.ProbeDue(now) && r.Limiter.Free(now) {
			return r
		}
	}
	return nil
}

// maxCostOverFull bounds the cost of a free replica, relative to the cheapest
// replica without a free slot. If all free replicas cost more, the attempt
// waits.
const maxCostOverFull = 1.5

// pickFree chooses among the replicas with a free slot; nil if none is worth
// taking.
func pickFree(now time.Time, rng *rand.Rand, replicas []*Replica) *Replica {
	var free []*Replica
	var options []Option
	maxCost := maxCostOverFull * minFullCost(now, replicas)
	for _, r := range replicas {
		if !r.Limiter.Free(now) {
			continue
		}
		if o := r.option(now, rng); o.Cost <= maxCost {
			free = append(free, r)
			options = append(options, o)
		}
	}
	i := Choose(rng, options)
	if i < 0 {
		return nil
	}
	return free[i]
}

// minFullCost returns the lowest cost of a replica whose slots are all taken
// and will be released by an answer; infinite if there is none.
func minFullCost(now time.Time, replicas []*Replica) float64 {
	lowest := math.Inf(1)
	for _, r := range replicas {
		if r.Limiter.InFlight() > 0 && !r.Limiter.Free(now) {
			lowest = min(lowest, r.cost(now))
		}
	}
	return lowest
}

func (r *Replica) cost(now time.Time) float64 {
	return r.Outlier.Cost(now, r.Limiter.InFlight(), r.Limiter.Limit())
}

func (r *Replica) option(now time.Time, rng *rand.Rand) Option {
	return Option{
		Cost:       r.cost(now),
		Local:      r.Local,
		LastResort: !r.Ramp.Takes(now, rng.Float64()),
	}
}
