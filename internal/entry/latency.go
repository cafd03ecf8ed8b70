package entry

import (
	"math"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	latencyWeight  = 1.0 / 64              // of the newest call in mean and deviation
	latencyCalls   = 32                    // before which nothing is known
	lateDeviations = 6                     // over the mean, from which a call is late
	lateLeast      = 50 * time.Millisecond // no call is late before
	hedgeBudget    = 0.05                  // early hedges per call
	hedgePause     = time.Second           // after a refusal for load, none is hedged early
)

// latencies tells how long calls to relays take, each urgency by itself, so that
// one that takes far longer is hedged long before its budget is used up. It
// is safe for concurrent use.
type callLatencies struct {
	mu  sync.Mutex
	all map[query.Urgency]*callLatency
}

// callLatency is that of one urgency.
type callLatency struct {
	mean, deviation float64 // moving averages, seconds
	calls           int
	budget          *policy.Budget
	overload        time.Time // of the newest refusal for load
}

func newCallLatencies() *callLatencies {
	return &callLatencies{all: make(map[query.Urgency]*callLatency)}
}

func (p *callLatencies) of(u query.Urgency) *callLatency {
	if p.all[u] == nil {
		p.all[u] = &callLatency{budget: policy.NewBudget(hedgeBudget)}
	}
	return p.all[u]
}

// began counts a call, which earns its part of an early hedge.
func (p *callLatencies) began(now time.Time, u query.Urgency) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(u).budget.First(now)
}

// took notes how long a call took, or has taken so far if it is given up.
func (p *callLatencies) took(u query.Urgency, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.of(u)
	a.calls++
	weight := max(latencyWeight, 1/float64(a.calls))
	off := d.Seconds() - a.mean
	a.mean += weight * off
	if a.calls > 1 {
		a.deviation += weight * (math.Abs(off) - a.deviation)
	}
}

// overloaded notes a refusal for load: a call is then late because all are.
func (p *callLatencies) overloaded(now time.Time, u query.Urgency) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(u).overload = now
}

// late returns after what time a call is late; false if that is not known.
func (p *callLatencies) late(u query.Urgency) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.of(u)
	if a.calls < latencyCalls {
		return 0, false
	}
	late := time.Duration((a.mean + lateDeviations*a.deviation) * float64(time.Second))
	return max(late, lateLeast), true
}

// take spends one early hedge, and reports false if there is none.
func (p *callLatencies) take(now time.Time, u query.Urgency) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.of(u)
	return now.Sub(a.overload) > hedgePause && a.budget.Take(now)
}
