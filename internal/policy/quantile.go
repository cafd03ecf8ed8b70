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
