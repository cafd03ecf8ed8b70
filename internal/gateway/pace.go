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

// slowQuantile is the quantile of the latencies of a route after which an
// attempt is late.
const slowQuantile = 0.9

// pace is the latency of a route's attempts: the median and a high quantile;
// and how long its callers wait.
type pace struct {
	mu     sync.Mutex
	median time.Duration
	slow   time.Duration

	patience patience
}

// observe takes the latency of a valid answer.
func (p *pace) observe(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.median == 0 {
		p.median, p.slow = latency, latency
		return
	}
	p.median = towards(p.median, latency, 0.5)
	p.slow = towards(p.slow, latency, slowQuantile)
}

// towards moves the estimate of a quantile by one observation.
func towards(estimate, observed time.Duration, quantile float64) time.Duration {
	step := 2 * paceStep * float64(estimate)
	if observed > estimate {
		return estimate + time.Duration(step*quantile)
	}
	return estimate - time.Duration(step*(1-quantile))
}

// late returns the latency after which an attempt is late, 0 if none is known.
func (p *pace) late() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slow
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
