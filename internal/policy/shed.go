package policy

import (
	"math"
	"time"
)

const (
	// shedPenalty is the cost of a target that sheds everything, in typical latencies. A shed attempt takes little time
	// but uses up one of the few extra attempts, so such a target is used when the others have no free slot. It is not
	// ejected: it serves what it accepts.
	shedPenalty = 40.0
	// The ratio of shed attempts is an average over the time shedSpan, so that the attempts that a target sheds at once
	// while it is full for a moment count as little more than one. An outcome has at least the weight minShedWeight,
	// and one after a time without any at most maxShedWeight, as it is a single one.
	shedSpan      = 500 * time.Millisecond
	minShedWeight = 0.03
	maxShedWeight = 0.5
	// shedHalfLife is the time without an outcome after which the ratio counts half, so that a target that is used last
	// is tried again. With 10 s, one that had shed six of ten attempts would get none for half a minute.
	shedHalfLife = 2 * time.Second
)

// ShedCost returns the cost of the shed attempts to expect, in proportion to their recent ratio. It is independent of
// the latency of what the target accepts: as a factor of that, a distant target with a queue and few shed attempts cost
// as much as a near one that shed most.
func (o *Outlier) ShedCost(now time.Time, typical time.Duration) float64 {
	return shedPenalty * typical.Seconds() * o.ShedRatio(now)
}

// ShedRatio returns the recent ratio of attempts refused because of load, 0..1. As it also falls between the outcomes,
// it is about 0.85 for a target that sheds everything.
func (o *Outlier) ShedRatio(now time.Time) float64 {
	if o.sheds == 0 {
		return 0
	}
	return o.sheds * math.Exp2(-max(now.Sub(o.shedsAt).Seconds(), 0)/shedHalfLife.Seconds())
}

// remoteShedWeight is the weight of a ratio that another host has observed. One host's observation may be of a moment
// in which the target was full; those of several hosts add up.
const remoteShedWeight = 0.5

// ApplyRemoteSheds applies the ratio of shed attempts, 0..1, that another host has observed. It raises the ratio towards
// the observed one and not above it: hosts tell each other several times a second.
func (o *Outlier) ApplyRemoteSheds(now time.Time, ratio float64) {
	own := o.ShedRatio(now)
	o.sheds, o.shedsAt = own+remoteShedWeight*max(min(ratio, 1)-own, 0), now
}

// updateSheds adds an outcome to the ratio of shed attempts.
func (o *Outlier) updateSheds(now time.Time, s Signal) {
	if s != Shed && s != Served {
		return
	}
	weight := 1 - math.Exp(-now.Sub(o.shedsAt).Seconds()/shedSpan.Seconds())
	weight = min(max(weight, minShedWeight), maxShedWeight)
	o.sheds = (1 - weight) * o.ShedRatio(now)
	if s == Shed {
		o.sheds += weight
	}
	o.shedsAt = now
}
