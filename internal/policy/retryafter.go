package policy

import "time"

const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// RetryAfter returns the delay after which a refused caller should retry: the
// expected wait plus or minus half of it, so that callers refused together do
// not retry together. draw is a random number in [0, 1).
func RetryAfter(expected time.Duration, draw float64) time.Duration {
	delay := time.Duration(float64(expected) * (0.5 + draw))
	return min(max(delay, minRetryAfter), maxRetryAfter)
}
