package policy

import "time"

// quantileStep is the part by which the estimate of a median moves with each
// observation; the estimate follows a change by half within a few tens of them.
const quantileStep = 0.05

// TowardsQuantile updates the estimate of a quantile by one observation.
func TowardsQuantile(estimate, observed time.Duration, quantile float64) time.Duration {
	step := 2 * quantileStep * float64(estimate)
	if observed > estimate {
		return estimate + time.Duration(step*quantile)
	}
	return estimate - time.Duration(step*(1-quantile))
}

// tailQuantile is the quantile that TailEstimate tracks.
const tailQuantile = 0.95

// TailEstimate is an online estimate of a high quantile of durations.
type TailEstimate struct {
	estimate time.Duration
	lowest   time.Duration
}

// NewTailEstimate returns an estimate that starts at prior and never falls
// below lowest, which must be above 0 so that the estimate can grow again.
func NewTailEstimate(prior, lowest time.Duration) TailEstimate {
	return TailEstimate{estimate: prior, lowest: lowest}
}

// Observe adds one duration.
func (t *TailEstimate) Observe(d time.Duration) {
	t.estimate = max(TowardsQuantile(t.estimate, d, tailQuantile), t.lowest)
}

// Estimate returns the current estimate.
func (t *TailEstimate) Estimate() time.Duration { return t.estimate }
