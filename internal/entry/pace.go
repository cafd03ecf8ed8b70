package entry

import (
	"math"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	paceWeight     = 1.0 / 64              // of the newest call in mean and deviation
	paceCalls      = 32                    // before which nothing is known
	paceDeviations = 6                     // over the mean, from which a call is late
	paceLeast      = 50 * time.Millisecond // no call is late before
	paceBudget     = 0.05                  // early overtakings per call
	paceOverload   = time.Second           // after a refusal for load, none is overtaken early
)

// paces tells how long calls to relays take, each urgency by itself, so that
// one that takes far longer is overtaken long before its budget is used up. It
// is safe for concurrent use.
type paces struct {
	mu  sync.Mutex
	all map[query.Urgency]*pace
}

// pace is that of one urgency.
type pace struct {
	mean, deviation float64 // moving averages, seconds
	calls           int
	budget          *policy.Budget
	overload        time.Time // of the newest refusal for load
}

func newPaces() *paces { return &paces{all: make(map[query.Urgency]*pace)} }

func (p *paces) of(u query.Urgency) *pace {
	if p.all[u] == nil {
		p.all[u] = &pace{budget: policy.NewBudget(paceBudget)}
	}
	return p.all[u]
}

// began counts a call, which earns its part of an early overtaking.
func (p *paces) began(now time.Time, u query.Urgency) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(u).budget.First(now)
}

// took notes how long a call took, or has taken so far if it is given up.
func (p *paces) took(u query.Urgency, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.of(u)
	a.calls++
	weight := max(paceWeight, 1/float64(a.calls))
	off := d.Seconds() - a.mean
	a.mean += weight * off
	if a.calls > 1 {
		a.deviation += weight * (math.Abs(off) - a.deviation)
	}
}

// overloaded notes a refusal for load: a call is then late because all are.
func (p *paces) overloaded(now time.Time, u query.Urgency) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(u).overload = now
}

// late returns after what time a call is late; false if that is not known.
func (p *paces) late(u query.Urgency) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.of(u)
	if a.calls < paceCalls {
		return 0, false
	}
	late := time.Duration((a.mean + paceDeviations*a.deviation) * float64(time.Second))
	return max(late, paceLeast), true
}

// take spends one early overtaking, and reports false if there is none.
func (p *paces) take(now time.Time, u query.Urgency) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.of(u)
	return now.Sub(a.overload) > paceOverload && a.budget.Take(now)
}
