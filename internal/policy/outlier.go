package policy

import (
	"math"
	"time"
)

const (
	latencyWeight          = 0.1  // of the newest answer in the mean latency
	quickLatencyWeight     = 0.05 // the same for NewQuickOutlier: a pause that several requests meet must not look like a slow target
	failureWeight          = 0.2  // of the newest outcome in the failure ratio
	ejectFailureRatio      = 0.5  // failure ratio from which a target is ejected
	slowRatio              = 3.0  // latency, relative to the best other target, above which a target is slow
	lateRatio              = 2.0  // the same for one abandoned attempt, which then counts as a failure
	minOutcomes            = 5    // before a target is evaluated
	ejectResetAnswers      = 20   // good answers after an ejection that reset ejectTime
	minEjectTime           = time.Second
	maxEjectTime           = 30 * time.Second
	failurePenalty         = 8.0 // cost of a target that always fails, in latencies
	initialLatency         = 5 * time.Millisecond
	minFirstLatencySeconds = 1e-4
	minBadRun              = 2                      // slow or failed attempts in a row that eject a target
	minFailedRunSpan       = 150 * time.Millisecond // minimum duration of a run of failed attempts
	minSlowRunSpan         = 250 * time.Millisecond // minimum duration of a run with a slow attempt: longer than most pauses for garbage collection
	ownAnswerPrecedence    = 500 * time.Millisecond // for which a host's own good answer overrides an ejection reported by another host
	historyHalfLife        = 10 * time.Second       // without an answer, after which latency and failures count half
)

// Outlier tracks the health of one target of a replica set by the outcomes of attempts, which take precedence over
// the target's status. A target that fails, or answers many times slower than the others, is ejected for a time
// that doubles if it is soon ejected again; after that time one attempt at a time probes it.
type Outlier struct {
	latency        float64 // moving average, in seconds
	failures       float64 // moving average of failed and late attempts, 0..1
	sheds          float64 // moving average of attempts refused because of load, 0..1; see ShedRatio
	shedsAt        time.Time
	outcomes       int
	goodSinceEject int
	ejected        bool
	ejectedAt      time.Time
	probeAt        time.Time     // earliest time of the next probe
	ejectTime      time.Duration // duration of the last ejection; 0 after enough good answers
	probing        bool
	updatedAt      time.Time // time of the newest outcome, or of state received from another host
	inFlight       []pendingAttempt

	quick         bool      // see NewQuickOutlier
	badRun        int       // slow or failed attempts in a row
	badRunHasSlow bool      // one of them was slow
	badRunStart   time.Time // when the first of them was sent
	lastGoodAt    time.Time // time of the newest valid answer that was not slow

	report   Report
	reportAt time.Time // arrival of report; zero if the target sent none
}

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	sent  time.Time
	scale float64 // factor of its latency; see ObserveScaled
}

// NewOutlier returns the state of a target without observations.
func NewOutlier() *Outlier { return &Outlier{latency: initialLatency.Seconds()} }

// NewQuickOutlier is NewOutlier for a target that gets so few requests that a moving average reacts too late: a
// short run of slow or failed attempts ejects it. Its latencies must be scaled to those of a typical answer.
func NewQuickOutlier() *Outlier {
	o := NewOutlier()
	o.quick = true
	return o
}

// Sent records that an attempt was sent to the target.
func (o *Outlier) Sent(now time.Time) { o.SentScaled(now, 1) }

// SentScaled is Sent for an attempt that ends with ObserveScaled.
func (o *Outlier) SentScaled(now time.Time, scale float64) {
	o.inFlight = append(o.inFlight, pendingAttempt{now, scale})
	if o.ProbeDue(now) {
		o.probing = true
	}
}

// CancelSent reverts the newest Sent: no attempt was made.
func (o *Outlier) CancelSent(now time.Time) {
	o.removeInFlight(now)
	o.probing = false
}

// Observe records the outcome of an attempt. best is the lowest latency among the other targets of the replica
// set, 0 if there is none.
func (o *Outlier) Observe(now time.Time, latency time.Duration, s Signal, best time.Duration) {
	o.ObserveScaled(now, latency, 1, s, best)
}

// ObserveScaled is Observe with the latency multiplied by scale, so that attempts at requests of different kinds
// can be compared. best is scaled already.
func (o *Outlier) ObserveScaled(now time.Time, latency time.Duration, scale float64, s Signal, best time.Duration) {
	sent := now.Add(-latency)
	o.removeInFlight(sent)
	latency = time.Duration(scale * float64(latency))
	o.updateBadRun(now, sent, latency, s, best)
	if o.ejected && !o.probing {
		if o.quick && sent.After(o.ejectedAt) && s == Served && o.badRun == 0 {
			o.finishProbe(now, latency, s, best) // sent because no other target was available, and succeeded
		}
		return // sent before the ejection, or because no other target was available
	}
	if o.probing {
		o.finishProbe(now, latency, s, best)
		return
	}
	o.decay(now)
	o.outcomes++
	o.updateLatency(latency, s)
	o.updateFailures(latency, s, best)
	o.updateSheds(now, s)
	if o.shouldEject(best) {
		if o.quick {
			o.latency = max(o.latency, latency.Seconds()) // the moving average lags behind
		}
		o.eject(now)
		return
	}
	o.countGoodAnswer(s)
}

// updateBadRun counts the slow or failed attempts in a row. An attempt counts as paused, not as slow, if the target
// has reported its usual speed since the attempt was sent: the pause is over.
func (o *Outlier) updateBadRun(now, sent time.Time, latency time.Duration, s Signal, best time.Duration) {
	paused := o.reportAt.After(sent) && o.report.Slowness < slowRatio
	slow := best > 0 && latency.Seconds() > slowRatio*best.Seconds() && !paused
	switch {
	case s == Errored || slow:
		if o.badRun == 0 {
			o.badRunStart, o.badRunHasSlow = sent, false
		}
		o.badRun++
		o.badRunHasSlow = o.badRunHasSlow || slow
	case s == Served:
		o.badRun, o.lastGoodAt = 0, now
	}
}

// SetAsideUntil returns when an ejected target may be probed; the zero time if the target is not ejected.
func (o *Outlier) SetAsideUntil() time.Time {
	if !o.ejected {
		return time.Time{}
	}
	return o.probeAt
}

// ApplyRemote applies the state that another host reports: scaled latency, ratio of failed attempts, and whether the
// target is ejected. An ejected target is probed after probeAfter. It returns false if a recent answer to this
// host contradicts the ejection.
func (o *Outlier) ApplyRemote(now time.Time, latency time.Duration, failures float64, ejected bool, probeAfter time.Duration) bool {
	if o.ejected == ejected {
		return true
	}
	if ejected && now.Sub(o.lastGoodAt) < ownAnswerPrecedence {
		return false
	}
	o.latency, o.failures = latency.Seconds(), failures
	o.outcomes = max(o.outcomes, minOutcomes)
	o.updatedAt = now
	o.badRun, o.goodSinceEject = 0, 0
	o.ejected = ejected
	o.probing = false
	if ejected {
		o.ejectedAt = now
		o.ejectTime = max(o.ejectTime, minEjectTime)
		o.probeAt = now.Add(probeAfter)
	}
	return true
}

// Postpone moves the next probe of an ejected target.
func (o *Outlier) Postpone(now time.Time, probeAfter time.Duration) {
	if o.ejected {
		o.probeAt = now.Add(probeAfter)
	}
}

// Latency returns the moving average of the latency.
func (o *Outlier) Latency() time.Duration {
	return time.Duration(o.latency * float64(time.Second))
}

// Known reports whether there were enough outcomes to evaluate the target.
func (o *Outlier) Known() bool { return o.outcomes >= minOutcomes }

// FailureRatio returns the moving average of failed attempts, 0..1.
func (o *Outlier) FailureRatio() float64 { return o.failures }

// Ejected reports whether the target is ejected. It is until a probe succeeds.
func (o *Outlier) Ejected(time.Time) bool { return o.ejected }

// ProbeDue reports whether one attempt may probe an ejected target.
func (o *Outlier) ProbeDue(now time.Time) bool {
	return o.ejected && !o.probing && !now.Before(o.probeAt)
}

// Cost returns the expected time to an answer, in seconds, behind the given requests in flight; failures add a
// multiple of the latency. Past observations lose weight over time, so that a target that was slow is tried again;
// an attempt in flight counts as an answer that took as long as it has run.
func (o *Outlier) Cost(now time.Time, inFlight int, limit float64) float64 {
	weight := o.historyWeight(now)
	perRequest := max(o.latency*weight, o.oldestInFlight(now)) * (1 + failurePenalty*o.failures*weight)
	return perRequest * (1 + float64(inFlight)/math.Max(limit, 1))
}

// Expected is Cost for a target that may get few requests: as past observations lose weight, typical, the latency
// of the other targets of the set, replaces them. A target with too few observations is expected to be typical, so
// that it does not look better than the others. A fresh report of the target overrides the observed latency. Shed
// attempts add ShedCost.
func (o *Outlier) Expected(now time.Time, inFlight int, limit float64, typical time.Duration) float64 {
	return o.ExpectedIfAccepted(now, inFlight, limit, typical) + o.ShedCost(now, typical)
}

// ExpectedIfAccepted is Expected without the cost of shed attempts.
func (o *Outlier) ExpectedIfAccepted(now time.Time, inFlight int, limit float64, typical time.Duration) float64 {
	weight := o.historyWeight(now)
	latency := o.latency
	if t := typical.Seconds(); t > 0 {
		if !o.Known() {
			weight = min(weight, float64(o.outcomes)/minOutcomes)
		}
		latency = t + (latency-t)*weight
	}
	if o.reportAt.After(now.Add(-maxReportAge)) {
		latency = o.report.expectedLatency(typical).Seconds()
	}
	perRequest := max(latency, o.oldestInFlight(now)) * (1 + failurePenalty*o.failures*weight)
	return perRequest * (1 + float64(inFlight)/math.Max(limit, 1))
}

// historyWeight returns the weight of past observations, which falls with the time since the last one.
func (o *Outlier) historyWeight(now time.Time) float64 {
	if o.updatedAt.IsZero() {
		return 1
	}
	return math.Exp2(-max(now.Sub(o.updatedAt).Seconds(), 0) / historyHalfLife.Seconds())
}

// decay applies historyWeight to the averages before a new outcome.
func (o *Outlier) decay(now time.Time) {
	weight := o.historyWeight(now)
	o.latency *= weight
	o.failures *= weight
	o.updatedAt = now
}

// finishProbe ends a probe: the target is ejected again, or admitted after a good answer.
func (o *Outlier) finishProbe(now time.Time, latency time.Duration, s Signal, best time.Duration) {
	o.probing = false
	healthy := s == Served && (best == 0 || latency.Seconds() <= slowRatio*best.Seconds())
	if !healthy {
		o.eject(now)
		return
	}
	o.ejected = false
	o.goodSinceEject = 0
	o.latency = latency.Seconds()
	o.failures /= 2
	o.updatedAt = now
}

// updateLatency adds a latency to the moving average. That of an abandoned attempt is a lower bound, so it counts
// only if it is above the average.
func (o *Outlier) updateLatency(latency time.Duration, s Signal) {
	seconds := latency.Seconds()
	switch {
	case o.outcomes == 1:
		o.latency = max(seconds, minFirstLatencySeconds)
	case s == Served || (s == Abandoned && seconds > o.latency):
		o.latency += o.latencySmoothing() * (seconds - o.latency)
	}
}

// latencySmoothing returns the weight of the newest answer in the moving average of the latency.
func (o *Outlier) latencySmoothing() float64 {
	if o.quick {
		return quickLatencyWeight
	}
	return latencyWeight
}

// updateFailures adds an outcome to the failure ratio. An attempt abandoned much later than the others answer
// counts as a failure, because its full latency remains unknown. Not so with a quick Outlier, where attempts in
// flight and bad runs cover this: each pause would look like a failure, and requests would move to other failure
// domains.
func (o *Outlier) updateFailures(latency time.Duration, s Signal, best time.Duration) {
	late := !o.quick && best > 0 && latency.Seconds() > lateRatio*best.Seconds()
	switch {
	case s == Served:
		o.failures -= failureWeight * o.failures
	case s == Errored || (s == Abandoned && late):
		o.failures += failureWeight * (1 - o.failures)
	}
}

// removeInFlight removes the attempt in flight whose send time is nearest to sent.
func (o *Outlier) removeInFlight(sent time.Time) {
	nearest := -1
	for i, f := range o.inFlight {
		if nearest < 0 || f.sent.Sub(sent).Abs() < o.inFlight[nearest].sent.Sub(sent).Abs() {
			nearest = i
		}
	}
	if nearest >= 0 {
		o.inFlight = append(o.inFlight[:nearest], o.inFlight[nearest+1:]...)
	}
}

// oldestInFlight returns the longest scaled time that an attempt in flight has run, in seconds.
func (o *Outlier) oldestInFlight(now time.Time) float64 {
	longest := 0.0
	for _, attempt := range o.inFlight {
		longest = max(longest, attempt.scale*now.Sub(attempt.sent).Seconds())
	}
	return longest
}

// countGoodAnswer resets ejectTime after enough good answers since the last ejection.
func (o *Outlier) countGoodAnswer(s Signal) {
	if s != Served || o.ejectTime == 0 {
		return
	}
	o.goodSinceEject++
	if o.goodSinceEject >= ejectResetAnswers {
		o.ejectTime = 0
	}
}

// shouldEject reports whether the observations eject the target.
func (o *Outlier) shouldEject(best time.Duration) bool {
	if o.quick {
		return o.badRunIsLong() || (o.Known() && o.failures >= ejectFailureRatio)
	}
	if !o.Known() {
		return false
	}
	slow := best > 0 && o.latency > slowRatio*best.Seconds()
	return slow || o.failures >= ejectFailureRatio
}

// badRunIsLong reports whether the slow or failed attempts in a row have lasted longer than a pause. With 250 ms
// in place of 150 ms for runs with a slow attempt, nine hosts sent 45 in place of 53 MB to other failure domains
// in 58 s at 320 queries per second: most ejected targets had only paused.
func (o *Outlier) badRunIsLong() bool {
	span := minFailedRunSpan
	if o.badRunHasSlow {
		span = minSlowRunSpan
	}
	return o.badRun >= minBadRun && o.updatedAt.Sub(o.badRunStart) >= span
}

// eject ejects the target, for twice as long as the last time.
func (o *Outlier) eject(now time.Time) {
	o.ejected = true
	o.ejectedAt = now
	o.badRun = 0
	o.ejectTime = min(max(2*o.ejectTime, minEjectTime), maxEjectTime)
	o.probeAt = now.Add(o.ejectTime)
}
