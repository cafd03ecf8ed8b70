package gateway

import (
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// medianScaledLatency is what the latency of a typical answer is scaled to, whatever
// the kind of request: a target is judged by all of them together.
const medianScaledLatency = 10 * time.Millisecond

// meanScaledLatency is the mean of scaled latencies, with pauses and slow answers
// that the median does not show: what is expected of a target that is not known.
const meanScaledLatency = 14 * time.Millisecond

// slowQuantile is the quantile of the latencies of a route after which an
// attempt is late.
const slowQuantile = 0.9

// routeStats is what a host learns of a route: the median and a high quantile of the
// latency of its attempts, and its callers.
type routeStats struct {
	mu            sync.Mutex
	median        time.Duration
	slow          time.Duration
	callers       policy.Callers
	meanPartBytes float64 // mean of a part's records
}

const (
	partBytesPrior    = 1000 // prior of a part's records, in bytes
	partOverheadBytes = 300  // header of a part and of its packets, in bytes
	partBytesWeight   = 0.1  // weight of the newest query in the mean
)

// expectedBytes returns how many bytes a number of parts is.
func (p *routeStats) expectedBytes(parts int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(float64(parts) * (p.partBytes() + partOverheadBytes))
}

// observeBytes takes how many bytes a number of parts was.
func (p *routeStats) observeBytes(bytes, parts int) {
	if parts == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanPartBytes = p.partBytes() + partBytesWeight*(float64(bytes)/float64(parts)-p.partBytes())
}

func (p *routeStats) partBytes() float64 {
	if p.meanPartBytes == 0 {
		return partBytesPrior
	}
	return p.meanPartBytes
}

// observeArrival takes a request that was read. It returns when an answer that lacks
// parts must leave, and whether the request is a late repeat.
func (p *routeStats) observeArrival(a policy.Arrival, objective time.Duration) (answerBy time.Time, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers.Observe(a)
	return p.callers.AnswerBy(a, objective), p.callers.Late(a, objective)
}

// observeWriteLag takes how long after it was due an answer that lacks parts had left.
func (p *routeStats) observeWriteLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers.Wrote(lag)
}

// observe takes the latency of a valid answer.
func (p *routeStats) observe(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.median == 0 {
		p.median, p.slow = latency, latency
		return
	}
	p.median = policy.TowardsQuantile(p.median, latency, 0.5)
	p.slow = policy.TowardsQuantile(p.slow, latency, slowQuantile)
}

// lateAfter returns the latency after which an attempt is lateAfter, 0 if none is known.
func (p *routeStats) lateAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slow
}

// latencyScale returns what a latency counts times, so that the median's counts as
// the typical latency. Before the first answer the objective tells: an answer
// takes about a tenth of it.
func (p *routeStats) latencyScale(objective time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	median := p.median
	if median <= 0 {
		median = objective / 10
	}
	if median <= 0 {
		return 1
	}
	return float64(medianScaledLatency) / float64(median)
}

// routeStatsTable are the routeStatsTable of all routes, by name.
type routeStatsTable struct {
	mu      sync.Mutex
	byRoute map[string]*routeStats
}

func (p *routeStatsTable) forRoute(route string) *routeStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byRoute == nil {
		p.byRoute = map[string]*routeStats{}
	}
	one, ok := p.byRoute[route]
	if !ok {
		one = &routeStats{callers: policy.NewCallers()}
		p.byRoute[route] = one
	}
	return one
}
