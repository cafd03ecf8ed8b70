package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLimiterNeverPassesItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		relays := rapid.IntRange(1, 12).Draw(t, "relays")
		ceiling := rapid.IntRange(1, 8).Draw(t, "ceiling")
		l := NewLimiter(slots, relays, ceiling)
		now, inFlight := start, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "acquire") && l.Acquire(now) {
				inFlight++
			} else if inFlight > 0 {
				inFlight--
				l.Release(now, 5*time.Millisecond, Signal(rapid.IntRange(0, 3).Draw(t, "signal")))
			}
			if l.InFlight() != inFlight || inFlight > ceiling {
				t.Fatalf("%d in flight, %d counted, ceiling %d", inFlight, l.InFlight(), ceiling)
			}
			if l.Limit() > float64(ceiling) || l.Limit() < l.minLimit {
				t.Fatalf("limit %v outside %v..%d", l.Limit(), l.minLimit, ceiling)
			}
		}
	})
}

func TestLimiterStartsAtTheShareOfTheSlots(t *testing.T) {
	is := is.New(t)
	is.Equal(NewLimiter(6, 2, 8).Limit(), 3.0)
	is.Equal(NewLimiter(2, 9, 2).Limit(), 1.0) // more relays than slots
}

func TestLimiterFallsOnShedOnceForOneOverload(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(4, 1, 8)
	for range 4 {
		is.True(l.Acquire(start))
	}
	is.True(!l.Acquire(start))
	for range 4 {
		l.Release(at(time.Millisecond), time.Millisecond, Shed)
	}
	is.Equal(l.Limit(), 4*shedFactor) // all four were sent before the cut
}

func TestLimiterBacksOffFromATargetThatShedsEverything(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(2, 9, 2)
	now, sent := start, 0
	for now.Before(at(10 * time.Second)) {
		if l.Acquire(now) {
			sent++
			l.Release(now, time.Millisecond, Shed)
		}
		now = now.Add(time.Millisecond)
	}
	is.True(sent < 30) // with doubling pauses, about one per second in the end
	is.True(l.Wait(now) <= maxBackOff)
}

func TestLimiterShrinksOnAStandingQueueAndGrowsBack(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(8, 1, 8)
	now := saturate(l, start, 2*time.Second, 5*time.Millisecond)
	is.Equal(l.Limit(), 8.0)
	now = saturate(l, now, 2*time.Second, 25*time.Millisecond)
	is.True(l.Limit() < 4) // every answer of a window waited in the target
	now = saturate(l, now, 3*time.Second, 5*time.Millisecond)
	is.Equal(l.Limit(), 8.0)
	is.True(l.Free(now))
}

func TestLimiterDoesNotGrowWhileItDoesNotBind(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(2, 1, 8)
	now := start
	for range 1000 {
		is.True(l.Acquire(now))
		now = now.Add(5 * time.Millisecond)
		l.Release(now, 5*time.Millisecond, Served)
	}
	is.Equal(l.Limit(), 2.0) // one in flight at a time
}

func TestLimitBelowOneIsAShareOfTime(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(2, 9, 2)
	l.limit = 0.25
	const latency = 5 * time.Millisecond
	sent := 0
	for now := start; now.Before(at(time.Second)); now = now.Add(time.Millisecond) {
		if l.Acquire(now) {
			sent++
			now = now.Add(latency)
			l.Release(now, latency, Errored)
		}
	}
	is.True(sent >= 45 && sent <= 50) // a quarter of the 200 that would fit
}

// saturate keeps the limiter saturated with answers of one latency.
func saturate(l *Limiter, now time.Time, span, latency time.Duration) time.Time {
	for end := now.Add(span); now.Before(end); now = now.Add(latency) {
		n := 0
		for l.Acquire(now) {
			n++
		}
		for range n {
			l.Release(now.Add(latency), latency, Served)
		}
	}
	return now
}
