package gateway

import (
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// medianScaledLatency is the value to which the median latency of each route is scaled, so that a
// target's health can be evaluated over requests of all routes together.
const medianScaledLatency = 10 * time.Millisecond

// meanScaledLatency is the mean of scaled latencies. It includes pauses and slow answers that the
// median does not show, and is the prior for a target without observations.
const meanScaledLatency = 14 * time.Millisecond

// slowQuantile is the quantile of a route's latencies above which an attempt is slow.
const slowQuantile = 0.9

// routeStats holds a host's observations of a route: the median and a high quantile of the latency
// of its attempts, its callers' timing and the size of its parts.
type routeStats struct {
	route         string // name
	mu            sync.Mutex
	medianLatency time.Duration
	slowLatency   time.Duration
	callers       policy.Callers
	meanPartBytes float64 // of a part's records
}

const (
	partBytesPrior    = 1000 // prior of meanPartBytes
	partOverheadBytes = 300  // header of a part and of its packets
	partBytesWeight   = 0.1  // weight of the newest query in meanPartBytes
)

// expectedBytes returns the expected size of a number of parts on the network.
func (p *routeStats) expectedBytes(parts int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(float64(parts) * (p.partBytes() + partOverheadBytes))
}

// observeBytes updates the mean part size by a query whose parts have so many bytes together.
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

// observeArrival records the arrival of a request. It returns when an answer with missing parts
// must be sent, and whether the request is a late retry.
func (p *routeStats) observeArrival(a policy.Arrival, objective time.Duration) (answerBy time.Time, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers.Observe(a)
	return p.callers.AnswerBy(a, objective), p.callers.Late(a, objective)
}

// observeWriteLag records how long after it was due an answer with missing parts was sent.
func (p *routeStats) observeWriteLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers.ObserveWriteLag(lag)
}

// observe records the latency of a valid answer.
func (p *routeStats) observe(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.medianLatency == 0 {
		p.medianLatency, p.slowLatency = latency, latency
		return
	}
	p.medianLatency = policy.TowardsQuantile(p.medianLatency, latency, 0.5)
	p.slowLatency = policy.TowardsQuantile(p.slowLatency, latency, slowQuantile)
}

// slowThreshold returns the latency above which an attempt is slow, 0 if no latency was observed.
func (p *routeStats) slowThreshold() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slowLatency
}

// latencyScale returns the factor that scales the route's median latency to medianScaledLatency.
// Before the first answer a tenth of the objective stands in for the median.
func (p *routeStats) latencyScale(objective time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	median := p.medianLatency
	if median <= 0 {
		median = objective / 10
	}
	if median <= 0 {
		return 1
	}
	return float64(medianScaledLatency) / float64(median)
}

// routeStatsTable holds the statistics of all routes, by name.
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
	stats, ok := p.byRoute[route]
	if !ok {
		stats = &routeStats{route: route, callers: policy.NewCallers()}
		p.byRoute[route] = stats
	}
	return stats
}
