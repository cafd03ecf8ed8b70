package claim

import (
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// Bounds of the creates that one host has in flight.
const (
	firstCreates = 8
	mostCreates  = 64
)

// createLimiter bounds the records that this host is creating at once, by what
// the platform's latency shows of its load. Without it an overload of writes
// feeds itself: a create waits so long that its reservation has no budget left
// to be sent, and then costs a release on top.
type createLimiter struct {
	mu      sync.Mutex
	limiter *policy.Limiter
}

func newCreateLimiter() *createLimiter {
	return &createLimiter{limiter: policy.NewLimiter(firstCreates, 1, mostCreates)}
}

// acquire reports whether a create may begin now; if not, the reservation is
// refused. Each create that began ends with release.
func (l *createLimiter) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Acquire(time.Now())
}

// release ends a create; latency is the time that its first write took.
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
	l.limiter.Release(time.Now(), latency, signal)
}
