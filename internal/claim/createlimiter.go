package claim

import (
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// Limits of the record creations that one host has in flight. The limiter
// adapts between 1 and maxCreateLimit.
const (
	initialCreateLimit = 8
	maxCreateLimit     = 64

	// minCreateLatency is the latency up to which creates count as equally fast:
	// one that takes less leaves nearly all of its reservation's budget. Otherwise
	// a create that takes 1 ms in place of 0.3 ms counts as a queue at the
	// platform, and two callers are enough to be refused.
	minCreateLatency = 10 * time.Millisecond
)

// createLimiter limits the record creations that this host has in flight,
// adapting to the latency of the platform. Without it a write overload
// amplifies itself: a create takes so long that its reservation has no budget
// left to be sent, and then costs another write to release the record.
type createLimiter struct {
	mu      sync.Mutex
	limiter *policy.Limiter
}

func newCreateLimiter() *createLimiter {
	return &createLimiter{limiter: policy.NewLimiter(initialCreateLimit, 1, maxCreateLimit)}
}

// acquire reports whether a create may start now. If not, the reservation is
// refused. Each acquired create must be released with release.
func (l *createLimiter) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Acquire(time.Now())
}

// release ends a create. latency is the duration of its first write.
func (l *createLimiter) release(latency time.Duration, result writeResult) {
	signal := policy.Served
	switch result {
	case notApplied:
		signal = policy.Errored
	case ambiguous:
		signal = policy.Abandoned
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Release(time.Now(), max(latency, minCreateLatency), signal)
}
