package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// DefaultHedgeQuantile is the quantile of a replica set's latency after
	// which a hedge starts.
	DefaultHedgeQuantile = 0.95

	hedgeWindow           = 10 * time.Second // latencies older than two windows are dropped
	hedgeMinSamples       = 20               // before the first hedge, and between updates of the delay
	minHedgeDelay         = time.Millisecond
	initialHedges         = 5    // hedges that a new replica set may send before first attempts earn any
	routineHedgeFraction  = 0.25 // part of the budget for slow attempts at healthy targets
	hedgedLatencyFactor   = 1.25 // assumed latency of a hedged attempt, in delays
	maxDelayOverMedian    = 4.0  // maximum delay, in medians
	histMinMicros         = 1
	histMaxMicros         = 60_000_000
	histSignificantDigits = 2
)

// Hedger decides when a hedge, the second attempt of a request, starts: after a
// quantile of the replica set's own latency, within a budget of the first
// attempts, and never while the replica set is saturated, as a hedge then only
// adds load.
type Hedger struct {
	quantile          float64
	budget            *Budget
	current, previous *hdrhistogram.Histogram
	windowStart       time.Time
	samples           int
	delay             time.Duration
}

// NewHedger returns the hedger of a replica set. quantile is 0..1 and budget
// the hedges per first attempt; a budget of zero or less turns hedging off.
//
// The quantile is raised until routine hedges, those of slow attempts at
// healthy targets, take a quarter of the budget: hedges spent on those are not
// available when a target becomes slow.
func NewHedger(quantile, budget float64) *Hedger {
	h := &Hedger{
		quantile: max(quantile, 1-routineHedgeFraction*budget),
		budget:   NewBudget(budget),
		current:  newHistogram(),
		previous: newHistogram(),
	}
	h.budget.tokens = initialHedges
	return h
}

// First records a first attempt.
func (h *Hedger) First(now time.Time) { h.budget.First(now) }

// Observe records the latency of a valid answer, from the send of the attempt
// that returned it.
func (h *Hedger) Observe(now time.Time, latency time.Duration) {
	h.rotate(now)
	us := min(max(latency.Microseconds(), histMinMicros), histMaxMicros)
	_ = h.current.RecordValue(us) // cannot fail: us is within the histogram's range
	h.samples++
	if h.samples%hedgeMinSamples == 0 {
		h.updateDelay()
	}
}

// Delay returns how long to wait for the first attempt before a hedge, and
// false if there are too few samples or hedging is off.
func (h *Hedger) Delay() (time.Duration, bool) {
	if h.delay == 0 || h.budget.ratio <= 0 {
		return 0, false
	}
	return h.delay, true
}

// Take spends one hedge after its delay has passed. It returns false if the
// budget is used up or the replica set is saturated, which means that it has no
// free slot. The hedged attempt is recorded with hedgedLatencyFactor times the
// delay: its full latency is unknown if the hedge wins, and a quantile over the
// known latencies alone would be too low.
func (h *Hedger) Take(now time.Time, saturated bool) bool {
	if saturated || !h.budget.Take(now) {
		return false
	}
	h.Observe(now, time.Duration(hedgedLatencyFactor*float64(h.delay)))
	return true
}

// rotate starts a new window once the current one is over.
func (h *Hedger) rotate(now time.Time) {
	if h.windowStart.IsZero() {
		h.windowStart = now
	}
	if now.Sub(h.windowStart) < hedgeWindow {
		return
	}
	h.previous, h.current = h.current, h.previous
	h.current.Reset()
	h.windowStart = now
}

// updateDelay computes the delay from the latencies of both windows.
func (h *Hedger) updateDelay() {
	both := hdrhistogram.Import(h.previous.Export())
	both.Merge(h.current)
	us := float64(both.ValueAtQuantile(h.quantile * 100))
	limit := maxDelayOverMedian * float64(both.ValueAtQuantile(50))
	h.delay = max(time.Duration(min(us, limit))*time.Microsecond, minHedgeDelay)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histMinMicros, histMaxMicros, histSignificantDigits)
}
