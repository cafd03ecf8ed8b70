package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Try tells what an attempt is for.
type Try uint8

const (
	// FirstTry is a request's first attempt; it may also probe a target that
	// was set aside.
	FirstTry Try = iota
	// Hedge runs beside an attempt that is late. It goes to a healthy target
	// or not at all.
	Hedge
	// Retry follows an attempt that failed.
	Retry
)

// Replica is one target of a replica set as one relay sees it.
type Replica struct {
	ID      string
	Local   bool // in the relay's failure domain
	Limiter *Limiter
	Outlier *Outlier
	Ramp    Ramp
}

// NewReplica returns a target of which nothing is known; see NewLimiter.
func NewReplica(id string, local bool, slots, relays, ceiling int) *Replica {
	return &Replica{
		ID:      id,
		Local:   local,
		Limiter: NewLimiter(slots, relays, ceiling),
		Outlier: NewOutlier(),
	}
}

// Pick chooses the replica for one attempt among those that are usable: that
// hold the shard and its snapshot, are not leaving, and were not asked before.
// It returns nil if the attempt has to wait, or, for a hedge, is not worth it.
// Send must follow at once.
func Pick(now time.Time, rng *rand.Rand, try Try, replicas []*Replica, usable func(*Replica) bool) *Replica {
	healthy, ejected := split(now, replicas, usable)
	if try == FirstTry && len(healthy) > 0 {
		if probe := dueProbe(now, ejected); probe != nil {
			return probe
		}
	}
	if len(healthy) == 0 && try != Hedge {
		healthy = ejected
	}
	return cheapest(now, rng, healthy)
}

// Send takes a place at the replica for one attempt. Done must follow.
func (r *Replica) Send(now time.Time) {
	r.Limiter.Take(now)
	r.Outlier.Sent(now)
}

// Done gives the place back and learns from the attempt; all are the replicas
// of the set. latency is the time from send to answer, or to giving up.
func (r *Replica) Done(now time.Time, latency time.Duration, s Signal, all []*Replica) {
	r.Limiter.Release(now, latency, s)
	r.Outlier.Observe(now, latency, s, r.bestOther(now, all))
}

// Restart begins the ramp of a target that has just started and forgets what
// its last incarnation showed.
func (r *Replica) Restart(now time.Time, span time.Duration) {
	r.Ramp.Restart(now, span)
	running := r.Outlier.running
	r.Outlier = NewOutlier()
	r.Outlier.running = running
}

func (r *Replica) bestOther(now time.Time, all []*Replica) time.Duration {
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

func split(now time.Time, replicas []*Replica, usable func(*Replica) bool) (healthy, ejected []*Replica) {
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

func dueProbe(now time.Time, ejected []*Replica) *Replica {
	for _, r := range ejected {
		if r.Outlier.ProbeDue(now) && r.Limiter.Free(now) {
			return r
		}
	}
	return nil
}

// worthWaiting is how many times the expected time at a replica without a
// place a free one may take; a slower one is left free and the attempt waits.
const worthWaiting = 1.5

func cheapest(now time.Time, rng *rand.Rand, replicas []*Replica) *Replica {
	var free []*Replica
	var options []Option
	most := worthWaiting * cheapestFull(now, replicas)
	for _, r := range replicas {
		if !r.Limiter.Free(now) {
			continue
		}
		if o := r.option(now, rng); o.Cost <= most {
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

// cheapestFull returns the lowest cost of a replica whose place will come free
// by an answer; infinite if there is none.
func cheapestFull(now time.Time, replicas []*Replica) float64 {
	least := math.Inf(1)
	for _, r := range replicas {
		if r.Limiter.InFlight() > 0 && !r.Limiter.Free(now) {
			least = min(least, r.cost(now))
		}
	}
	return least
}

func (r *Replica) cost(now time.Time) float64 {
	return r.Outlier.Cost(now, r.Limiter.InFlight(), r.Limiter.Limit())
}

func (r *Replica) option(now time.Time, rng *rand.Rand) Option {
	return Option{
		Cost:   r.cost(now),
		Local:  r.Local,
		Barred: !r.Ramp.Takes(now, rng.Float64()),
	}
}
