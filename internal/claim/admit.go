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

// createGate bounds the records that this host is creating at once, by what
// the platform's latency shows of its load. Without it an overload of writes
// feeds itself: each create waits so long that its reservation has no budget
// left to be sent, and costs a release on top.
type createGate struct {
	mu      sync.Mutex
	limiter *policy.Limiter
}

func newCreateGate() *createGate {
	return &createGate{limiter: policy.NewLimiter(firstCreates, 1, mostCreates)}
}

// enter takes a place; false if the reservation must be refused now. Each
// place is given back with leave.
func (g *createGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Acquire(time.Now())
}

// leave gives the place back; latency is that of the create.
func (g *createGate) leave(latency time.Duration, result writeResult) {
	signal := policy.Served
	switch result {
	case notApplied:
		signal = policy.Errored
	case ambiguous:
		signal = policy.Abandoned
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Release(time.Now(), latency, signal)
}
