package policy

import "time"

// quantileStep is the part by which the estimate of a median moves with each
// observation; it follows a change by half within a few tens of them.
const quantileStep = 0.05

// TowardsQuantile moves the estimate of a quantile by one observation.
func TowardsQuantile(estimate, observed time.Duration, quantile float64) time.Duration {
	step := 2 * quantileStep * float64(estimate)
	if observed > estimate {
		return estimate + time.Duration(step*quantile)
	}
	return estimate - time.Duration(step*(1-quantile))
}

// tailQuantile is the quantile that a Tail estimates.
const tailQuantile = 0.95

// Tail is what all but a few of some durations stay below.
type Tail struct {
	estimate time.Duration
	least    time.Duration
}

// NewTail returns an estimate that begins with a prior and never falls below
// least, more than 0, so that it can grow again.
func NewTail(prior, least time.Duration) Tail { return Tail{estimate: prior, least: least} }

// Observe takes one duration.
func (t *Tail) Observe(d time.Duration) {
	t.estimate = max(TowardsQuantile(t.estimate, d, tailQuantile), t.least)
}

// Estimate returns it.
func (t *Tail) Estimate() time.Duration { return t.estimate }
