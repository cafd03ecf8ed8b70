package policy

import "time"

const (
	retryAfterLowest  = 20 * time.Millisecond
	retryAfterHighest = 30 * time.Second
)

// RetryAfter returns the time to come back that a refused caller is told: the
// expected wait, spread by half either way so that callers refused together
// do not come back together. draw is a random number in [0, 1).
func RetryAfter(expected time.Duration, draw float64) time.Duration {
	spread := time.Duration(float64(expected) * (0.5 + draw))
	return min(max(spread, retryAfterLowest), retryAfterHighest)
}
