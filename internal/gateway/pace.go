package gateway

import (
	"sync"
	"time"
)

// typicalLatency is what the latency of a typical answer is scaled to, whatever
// the kind of request: a target is judged by all of them together.
const typicalLatency = 10 * time.Millisecond

// expectedLatency is the mean of scaled latencies, with pauses and slow answers
// that the median does not show: what is expected of a target that is not known.
const expectedLatency = 14 * time.Millisecond

// paceStep is the part by which the median moves with each answer; it follows
// a change by half within a few tens of answers.
const paceStep = 0.05

// pace is the median latency of a route's attempts.
type pace struct {
	mu     sync.Mutex
	median time.Duration
}

// observe takes the latency of a valid answer.
func (p *pace) observe(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.median == 0:
		p.median = latency
	case latency > p.median:
		p.median += time.Duration(paceStep * float64(p.median))
	default:
		p.median -= time.Duration(paceStep * float64(p.median))
	}
}

// scale returns what a latency counts times, so that the median's counts as
// the typical latency. Before the first answer the objective tells: an answer
// takes about a tenth of it.
func (p *pace) scale(objective time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	median := p.median
	if median <= 0 {
		median = objective / 10
	}
	if median <= 0 {
		return 1
	}
	return float64(typicalLatency) / float64(median)
}

// paces are the paces of all routes, by name.
type paces struct {
	mu   sync.Mutex
	byID map[string]*pace
}

func (p *paces) of(route string) *pace {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byID == nil {
		p.byID = map[string]*pace{}
	}
	one, ok := p.byID[route]
	if !ok {
		one = &pace{}
		p.byID[route] = one
	}
	return one
}
