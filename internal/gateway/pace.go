package gateway

import (
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// typicalLatency is what the latency of a typical answer is scaled to, whatever
// the kind of request: a target is judged by all of them together.
const typicalLatency = 10 * time.Millisecond

// expectedLatency is the mean of scaled latencies, with pauses and slow answers
// that the median does not show: what is expected of a target that is not known.
const expectedLatency = 14 * time.Millisecond

// slowQuantile is the quantile of the latencies of a route after which an
// attempt is late.
const slowQuantile = 0.9

// pace is what a host learns of a route: the median and a high quantile of the
// latency of its attempts, and its callers.
type pace struct {
	mu      sync.Mutex
	median  time.Duration
	slow    time.Duration
	callers policy.Callers
	bytes   float64 // mean of a part's records
}

const (
	partBytesFirst = 1000 // prior of a part's records, in bytes
	partOverhead   = 300  // header of a part and of its packets, in bytes
	partBytesStep  = 0.1  // weight of the newest query in the mean
)

// expectedBytes returns how many bytes a number of parts is.
func (p *pace) expectedBytes(parts int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(float64(parts) * (p.partBytes() + partOverhead))
}

// observeBytes takes how many bytes a number of parts was.
func (p *pace) observeBytes(bytes, parts int) {
	if parts == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes = p.partBytes() + partBytesStep*(float64(bytes)/float64(parts)-p.partBytes())
}

func (p *pace) partBytes() float64 {
	if p.bytes == 0 {
		return partBytesFirst
	}
	return p.bytes
}

// arrive takes a request that was read. It returns when an answer that lacks
// parts must leave, and whether the request is a late repeat.
func (p *pace) arrive(a policy.Arrival, objective time.Duration) (answerBy time.Time, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers.Observe(a)
	return p.callers.AnswerBy(a, objective), p.callers.Late(a, objective)
}

// wrote takes how long after it was due an answer that lacks parts had left.
func (p *pace) wrote(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers.Wrote(lag)
}

// observe takes the latency of a valid answer.
func (p *pace) observe(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.median == 0 {
		p.median, p.slow = latency, latency
		return
	}
	p.median = policy.TowardsQuantile(p.median, latency, 0.5)
	p.slow = policy.TowardsQuantile(p.slow, latency, slowQuantile)
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
		one = &pace{callers: policy.NewCallers()}
		p.byID[route] = one
	}
	return one
}
