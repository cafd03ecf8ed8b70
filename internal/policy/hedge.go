package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// DefaultHedgeQuantile is the quantile of a replica set's latency after
	// which a second try starts.
	DefaultHedgeQuantile = 0.95

	hedgeWindow     = 10 * time.Second // latencies older than two windows are forgotten
	hedgeMinSamples = 20               // before which no hedge is sent
	hedgeLowest     = time.Millisecond // shortest delay
	hedgeReserve    = 3                // hedges that a new replica set may send at once
	everyday        = 0.25             // part of the budget for the slow tries of healthy targets
	hedgeCheck      = 200              // first tries between two looks at what was spent
	stretchStep     = 1.1
	stretchMost     = 2.0
	histLowest      = 1 // microseconds
	histHighest     = 60_000_000
	histDigits      = 2
)

// Hedger decides when the second try of a request starts: after a quantile of
// the replica set's own latency, within a budget of the first tries, and
// never while the replica set is saturated, as a hedge then only adds load.
type Hedger struct {
	quantile float64
	budget   *Budget
	now, old *hdrhistogram.Histogram
	since    time.Time
	samples  int
	delay    time.Duration
	stretch  float64 // factor on the quantile, at least 1
	firsts   int     // since the last look
	taken    int
}

// NewHedger returns the hedger of a replica set. quantile is 0..1 and budget
// the hedges per first try; a budget of zero or less turns hedging off.
//
// The quantile is raised, and the delay stretched, until everyday hedges take
// no more than a quarter of the budget: what was spent on those is missing
// when a target turns slow.
func NewHedger(quantile, budget float64) *Hedger {
	h := &Hedger{
		quantile: max(quantile, 1-everyday*budget),
		budget:   NewBudget(budget),
		now:      newHistogram(),
		old:      newHistogram(),
		stretch:  1,
	}
	h.budget.tokens = hedgeReserve
	return h
}

// First counts a first try.
func (h *Hedger) First(now time.Time) {
	h.budget.First(now)
	h.firsts++
	if h.firsts >= hedgeCheck {
		h.look()
	}
}

// look compares what was spent with the everyday part of the budget.
// Latencies of tries that a hedge overtook are never known, so the quantile of
// those that are would hedge too often.
func (h *Hedger) look() {
	spent := float64(h.taken) / float64(h.firsts)
	if spent > everyday*h.budget.ratio {
		h.stretch = min(h.stretch*stretchStep, stretchMost)
	} else {
		h.stretch = max(h.stretch/stretchStep, 1)
	}
	h.firsts, h.taken = 0, 0
}

// Observe takes the latency of a valid answer, from the send of the attempt
// that gave it.
func (h *Hedger) Observe(now time.Time, latency time.Duration) {
	h.turn(now)
	us := min(max(latency.Microseconds(), histLowest), histHighest)
	_ = h.now.RecordValue(us) // in range by construction
	h.samples++
	if h.samples%hedgeMinSamples == 0 {
		h.refresh()
	}
}

// Delay returns how long to wait for the first try before a hedge, and false
// if too little is known or hedging is off.
func (h *Hedger) Delay() (time.Duration, bool) {
	if h.delay == 0 || h.budget.ratio <= 0 {
		return 0, false
	}
	return time.Duration(float64(h.delay) * h.stretch), true
}

// Take asks for one hedge when its delay has passed. saturated tells whether
// a further request of the replica set would have to wait.
func (h *Hedger) Take(now time.Time, saturated bool) bool {
	if saturated || !h.budget.Take(now) {
		return false
	}
	h.taken++
	return true
}

func (h *Hedger) turn(now time.Time) {
	if h.since.IsZero() {
		h.since = now
	}
	if now.Sub(h.since) < hedgeWindow {
		return
	}
	h.old, h.now = h.now, h.old
	h.now.Reset()
	h.since = now
}

func (h *Hedger) refresh() {
	both := hdrhistogram.Import(h.old.Export())
	both.Merge(h.now)
	us := both.ValueAtQuantile(h.quantile * 100)
	h.delay = max(time.Duration(us)*time.Microsecond, hedgeLowest)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histLowest, histHighest, histDigits)
}
