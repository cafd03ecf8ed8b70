package policy

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The bound of Budget holds over every span between two extra attempts of a
// random history.
func TestBudgetHoldsOverEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.SampledFrom([]float64{0.01, 0.05, 0.1, 0.5}).Draw(t, "ratio")
		b := NewBudget(ratio)
		type step struct {
			at           time.Duration
			first, taken int
		}
		history := []step{{}}
		now := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			s := step{at: now}
			for range rapid.IntRange(0, 30).Draw(t, "firsts") {
				b.First(at(now))
				s.first++
			}
			for range rapid.IntRange(0, 20).Draw(t, "wanted") {
				if b.Take(at(now)) {
					s.taken++
				}
			}
			history = append(history, s)
		}
		for i := range history {
			first, taken := 0, 0
			for _, s := range history[i:] {
				first += s.first
				taken += s.taken
				seconds := (s.at - history[max(i-1, 0)].at + refillPeriod).Seconds()
				bound := earnedFraction*ratio*float64(first) + minTokensPerSecond*seconds + budgetBurstTokens
				if float64(taken) > bound+1e-6 {
					t.Fatalf("%d extra attempts for %d first tries in %.1f s", taken, first, seconds)
				}
			}
		}
	})
}

func TestBudgetAtHighRateIsTheRatio(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1)
	taken := 0
	for i := range 100000 { // 1,000 per second, all of which fail
		now := at(time.Duration(i) * time.Millisecond)
		b.First(now)
		if b.Take(now) {
			taken++
		}
	}
	is.True(taken <= 8000) // the minimum rate adds nothing
	is.True(taken >= 7990)
}

func TestBudgetFloorLetsASlowServiceRetry(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1)
	b.First(start)
	is.True(!b.Take(start))
	is.True(b.Take(at(20 * time.Second)))
	is.True(!NewBudget(0).Take(at(time.Hour))) // a ratio of zero allows none
	is.True(!NewBudget(-1).Take(at(time.Hour)))
}

func TestHedgeDelayFollowsTheQuantile(t *testing.T) {
	is := is.New(t)
	h := NewHedger(0.95, 0.05)
	_, known := h.Delay()
	is.True(!known)
	for i := range 1000 {
		h.Observe(start, time.Duration(i%100+1)*time.Millisecond)
	}
	d, known := h.Delay()
	is.True(known)
	is.True(d >= 98*time.Millisecond && d <= 100*time.Millisecond) // the quantile is raised to 0.9875
	h = NewHedger(0.9, 0.8)
	for i := range 1000 {
		h.Observe(start, time.Duration(i%100+1)*time.Millisecond)
	}
	d, _ = h.Delay()
	is.True(d >= 89*time.Millisecond && d <= 92*time.Millisecond)
}

// The latency of a hedged attempt is never observed, so the quantile of the
// observed latencies is too low: without hedgedLatencyFactor, hedges at healthy
// targets would use up most of the budget.
func TestRoutineHedgesLeaveMostOfTheBudget(t *testing.T) {
	is := is.New(t)
	h, rng := NewHedger(0.95, 0.05), seeded()
	hedges, now := 0, start
	const tries = 20000
	for range tries {
		now = now.Add(10 * time.Millisecond)
		h.First(now)
		latency := time.Duration(20 * math.Exp(0.3*rng.NormFloat64()) * float64(time.Millisecond))
		if d, on := h.Delay(); on && latency > d && h.Take(now, false) {
			hedges++
			continue
		}
		h.Observe(now, latency)
	}
	is.True(hedges < tries*2/100)
	is.True(hedges > tries/200)
}

func TestHedgeForgetsOldLatencies(t *testing.T) {
	is := is.New(t)
	h := NewHedger(0.95, 0.05)
	for range 100 {
		h.Observe(start, 500*time.Millisecond)
	}
	for i := range 3 {
		for range 100 {
			h.Observe(at(time.Duration(i+1)*hedgeWindow), 5*time.Millisecond)
		}
	}
	d, _ := h.Delay()
	is.True(d < 6*time.Millisecond)
}

func TestNoHedgeWhileSaturated(t *testing.T) {
	is := is.New(t)
	h := NewHedger(0.95, 0.05)
	for range 1000 {
		h.First(start)
	}
	for range 100 {
		is.True(!h.Take(start, true))
	}
	is.True(h.Take(start, false))
}

func TestRampGrowsToFullWork(t *testing.T) {
	is := is.New(t)
	var r Ramp
	is.Equal(r.Share(start), 1.0) // the zero Ramp does not limit
	r.Restart(start, 10*time.Second)
	last := 0.0
	for s := range 10 {
		share := r.Share(at(time.Duration(s) * time.Second))
		is.True(share > last)
		last = share
	}
	is.Equal(r.Share(start), initialRampShare)
	is.Equal(r.Share(at(10*time.Second)), 1.0)
}

func TestRetryAfterIsSpreadAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expected := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "expected"))
		draw := rapid.Float64Range(0, 0.9999).Draw(t, "draw")
		d := RetryAfter(expected, draw)
		if d < minRetryAfter || d > maxRetryAfter {
			t.Fatalf("retry after %v", d)
		}
	})
}

// A host that gathers for many others may spend what its first attempts earn,
// and still stays within the ratio over a window.
func TestBudgetOfABusyHostIsNotCutToItsShare(t *testing.T) {
	is := is.New(t)
	a := Allowance{Ratio: 0.2, Slack: 158, Window: 10 * time.Second}
	b := NewShare(a, 1.0/59, 0)
	now := time.Unix(100, 0)
	const perSecond = 50
	spend := func(span time.Duration) (firsts, taken int) {
		for range int(span.Seconds() * perSecond) {
			now = now.Add(time.Second / perSecond)
			b.First(now)
			firsts++
		}
		for b.Take(now) {
			taken++
		}
		return firsts, taken
	}
	spend(3 * time.Second)
	_, idle := spend(2 * time.Second) // a pause of a target calls for several at once
	is.True(idle >= 5)
	firsts, taken := 0, 0
	for range 10 {
		f, n := spend(time.Second)
		firsts, taken = firsts+f, taken+n
	}
	is.True(float64(taken) <= 0.2*float64(firsts)+158.0/59)
}
