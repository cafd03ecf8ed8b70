package entry

import (
	"math"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	minSampleWeight         = 1.0 / 64              // of the newest call in the moving averages
	minLatencySamples       = 32                    // calls before a late threshold is returned
	lateThresholdDeviations = 6                     // mean deviations above the mean latency
	minLateThreshold        = 50 * time.Millisecond // lower bound of the late threshold
	earlyHedgesPerCall      = 0.05                  // maximum ratio of early hedges to calls
	overloadHedgePause      = time.Second           // no early hedges for this long after an overload refusal
)

// callLatencies tracks the latency of relay calls for each urgency, so that a
// call that takes far longer than usual is hedged early in its budget. It is
// safe for concurrent use.
type callLatencies struct {
	mu        sync.Mutex
	byUrgency map[query.Urgency]*callLatency
}

// callLatency is the call latency of one urgency.
type callLatency struct {
	mean, deviation float64 // moving averages, seconds
	samples         int
	hedgeBudget     *policy.Budget
	lastOverload    time.Time // time of the newest overload refusal
}

func newCallLatencies() *callLatencies {
	return &callLatencies{byUrgency: make(map[query.Urgency]*callLatency)}
}

func (l *callLatencies) forUrgency(u query.Urgency) *callLatency {
	if l.byUrgency[u] == nil {
		l.byUrgency[u] = &callLatency{hedgeBudget: policy.NewBudget(earlyHedgesPerCall)}
	}
	return l.byUrgency[u]
}

// callStarted counts a call, which adds its share to the budget for early
// hedges.
func (l *callLatencies) callStarted(now time.Time, u query.Urgency) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forUrgency(u).hedgeBudget.First(now)
}

// observe adds the duration of a call, or the time since its start if the call
// is abandoned.
func (l *callLatencies) observe(u query.Urgency, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.forUrgency(u)
	a.samples++
	weight := max(minSampleWeight, 1/float64(a.samples))
	diff := d.Seconds() - a.mean
	a.mean += weight * diff
	if a.samples > 1 {
		a.deviation += weight * (math.Abs(diff) - a.deviation)
	}
}

// overloadRefused records an overload refusal. Under overload all calls are
// slow, and hedges would add load.
func (l *callLatencies) overloadRefused(now time.Time, u query.Urgency) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forUrgency(u).lastOverload = now
}

// lateThreshold returns the duration after which a call counts as late; false
// if there are too few samples.
func (l *callLatencies) lateThreshold(u query.Urgency) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.forUrgency(u)
	if a.samples < minLatencySamples {
		return 0, false
	}
	threshold := time.Duration((a.mean + lateThresholdDeviations*a.deviation) * float64(time.Second))
	return max(threshold, minLateThreshold), true
}

// takeEarlyHedge takes one early hedge from the budget; false if the budget is
// empty or an overload refusal is recent.
func (l *callLatencies) takeEarlyHedge(now time.Time, u query.Urgency) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.forUrgency(u)
	return now.Sub(a.lastOverload) > overloadHedgePause && a.hedgeBudget.Take(now)
}
