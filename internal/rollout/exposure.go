package rollout

import "time"

const (
	// maxShare is the greatest share that a coordinator directs: at least half of the requests go to
	// the old version, so that there is something to compare with.
	maxShare = 0.5
	// minRateTime is how long requests are counted before a rate is derived from them.
	minRateTime = 450 * time.Millisecond
	// rateTime is the time over which the rate is measured: 60 requests at 15 a second.
	rateTime = 4 * time.Second
	// minSpendTime is the least time over which what is left is spread.
	minSpendTime = 500 * time.Millisecond
	// countedFraction is the part of the counted attempts that are taken as requests; the others are
	// retries and hedges.
	countedFraction = 0.9
	// reactionTime is the time from the begin of the handover, when the new version receives all
	// requests, to the last request, if it is found bad then: a window, a report and a directive.
	reactionTime = 1500 * time.Millisecond
	// reserveSlackPart bounds the reserve for the handover, as a part of the slack: at high rates the
	// reserve can't cover the reaction time, and evidence from the canary is worth more.
	reserveSlackPart = 0.6
	// reportLag is the time between a request and its count at the coordinator.
	reportLag = 500 * time.Millisecond
	// lostFactor is by how much the exposure of lost counts may exceed that of the known ones.
	lostFactor = 1.5
	// minKnownPart is the part of the requests that must be counted; with less, the slack counts as
	// spent.
	minKnownPart = 0.5
)

// exposure is what the coordinator knows about the requests since the order.
type exposure struct {
	age       time.Duration // of the order
	duration  time.Duration // of the order
	canaryEnd time.Duration // age at which the canary ends
	complete  bool          // the counts reach back to the order
	oldSent   float64       // attempts counted
	newSent   float64
	rate      float64 // attempts per second at present; 0: unknown
	share     float64 // directed at present
}

// directed returns the share that keeps the exposure of the whole order within the bound.
func (x exposure) directed(cfg Config) float64 {
	base := cfg.DefaultShare()
	if x.rate <= 0 || x.age <= 0 {
		return base
	}
	rate := countedFraction * x.rate
	known := x.oldSent + x.newSent
	used := x.newSent
	if lost := rate*x.age.Seconds() - known; lost > 0 && !x.complete {
		if known < minKnownPart*rate*x.age.Seconds() {
			return base
		}
		used += lostFactor * lost * x.newSent / known
	}
	expected := countedFraction*known + rate*max(x.duration-x.age, 0).Seconds()
	reserve := min(rate*reactionTime.Seconds(), reserveSlackPart*cfg.CanarySlack)
	unreported := x.share * x.rate * reportLag.Seconds()
	planned := cfg.CanaryShare*expected + cfg.CanarySlack - reserve - used - unreported
	left := max(x.canaryEnd-x.age, minSpendTime)
	return min(max(planned/(x.rate*left.Seconds()), 0), max(maxShare, base))
}

// recentRate returns the attempts per second in the last windows that are over; 0 if too little time
// has passed. If the counts are not complete, the first window holds what happened before.
func (e *evidence) recentRate(complete bool) float64 {
	last := len(e.windows) - 1
	first := max(0, last-int(rateTime/e.length))
	if !complete {
		first = max(first, 1)
	}
	if last < first {
		return 0
	}
	span := e.windows[last].begin.Sub(e.windows[first].begin)
	if span < minRateTime {
		return 0
	}
	var sent uint64
	for _, w := range e.windows[first:last] {
		for _, t := range w.tallies {
			sent += t.sent
		}
	}
	return float64(sent) / span.Seconds()
}
