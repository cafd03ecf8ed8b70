package policy

import (
	"math"
	"time"
)

const (
	failureWeight  = 0.2 // of the newest outcome in the failure ratio
	failureEject   = 0.5 // failure ratio from which a target is set aside
	minOutcomes    = 5   // before which nothing is set aside
	ejectFirst     = time.Second
	ejectLongest   = 30 * time.Second
	slowRatio      = 3.0 // latency over the replica set's best from which a target is an outlier
	latencyWeight  = 0.2
	failurePenalty = 8.0 // times the latency of a target that fails always
	initialLatency = 5 * time.Millisecond
)

// Outlier judges one target of a replica set by its own answers, which
// outweigh whatever its status says. A target that fails, or answers many
// times slower than its peers, is set aside for a time that doubles each time
// it is found bad again; then single requests try it.
type Outlier struct {
	latency   float64 // moving average, seconds
	failures  float64 // moving average, 0..1
	outcomes  int
	ejectedTo time.Time
	ejectFor  time.Duration
	probing   bool
}

// NewOutlier returns the state of a target of which nothing is known.
func NewOutlier() *Outlier { return &Outlier{latency: initialLatency.Seconds()} }

// Observe takes the end of one attempt. best is the lowest Latency among the
// other targets of the replica set, 0 if there is none.
func (o *Outlier) Observe(now time.Time, latency time.Duration, s Signal, best time.Duration) {
	o.outcomes++
	o.probing = false
	o.blendLatency(latency, s)
	o.blendFailure(s)
	if o.bad(best) {
		o.eject(now)
		return
	}
	if s == Served && !now.Before(o.ejectedTo) {
		o.ejectFor = 0
	}
}

// Latency returns the moving average of the time to an answer.
func (o *Outlier) Latency() time.Duration {
	return time.Duration(o.latency * float64(time.Second))
}

// FailureRatio returns the moving average of failed attempts, 0..1.
func (o *Outlier) FailureRatio() float64 { return o.failures }

// Ejected reports whether the target gets no first try now. When its time is
// over, one attempt at a time may try it.
func (o *Outlier) Ejected(now time.Time) bool {
	return now.Before(o.ejectedTo) || (o.ejectFor > 0 && o.probing)
}

// Sent tells that an attempt went to the target.
func (o *Outlier) Sent() { o.probing = o.ejectFor > 0 }

// Cost returns the expected time to an answer with the given requests in
// flight ahead, in seconds; failures count as many times the latency.
func (o *Outlier) Cost(inFlight int, limit float64) float64 {
	per := o.latency * (1 + failurePenalty*o.failures)
	return per * (1 + float64(inFlight)/math.Max(limit, 1))
}

func (o *Outlier) blendLatency(latency time.Duration, s Signal) {
	seconds := latency.Seconds()
	if s == Served || (s == Abandoned && seconds > o.latency) {
		o.latency += latencyWeight * (seconds - o.latency)
	}
}

func (o *Outlier) blendFailure(s Signal) {
	switch s {
	case Served:
		o.failures -= failureWeight * o.failures
	case Errored:
		o.failures += failureWeight * (1 - o.failures)
	case Shed, Abandoned:
	}
}

func (o *Outlier) bad(best time.Duration) bool {
	if o.outcomes < minOutcomes {
		return false
	}
	slow := best > 0 && o.latency > slowRatio*best.Seconds()
	return slow || o.failures >= failureEject
}

func (o *Outlier) eject(now time.Time) {
	if now.Before(o.ejectedTo) {
		return
	}
	o.ejectFor = min(max(2*o.ejectFor, ejectFirst), ejectLongest)
	o.ejectedTo = now.Add(o.ejectFor)
}
