package policy

import (
	"math"
	"time"
)

// Signal is what one finished attempt shows about the target's load.
type Signal uint8

const (
	// Served is a valid answer; its latency counts.
	Served Signal = iota
	// Shed is a refusal for load: the target is over its capacity.
	Shed
	// Errored is an error that tells nothing of load.
	Errored
	// Abandoned is an attempt given up before an answer came. The latency is
	// a lower bound.
	Abandoned
)

const (
	shedFactor     = 0.7  // of the limit that is left after a shed answer
	queueFactor    = 0.9  // of the limit that is left after a window with a standing queue
	growStep       = 1.0  // requests added after a healthy, saturated window
	growFactor     = 1.25 // the same below a limit of one
	standingQueue  = 2.0  // window minimum over base latency that shows a queue in the target
	windowSamples  = 16   // answers in a window
	windowSpan     = 100 * time.Millisecond
	baseDrift      = 1.01 // growth of the base latency each window, so that it can rise
	lowestFraction = 0.5  // of the fair share: the lowest limit

	backOffFirst     = 2 * time.Millisecond
	backOffLongest   = time.Second
	backOffDoublings = 10
)

// Limiter bounds the requests that one relay has in flight at one target. It
// starts at the relay's share of the target's slots, falls when the target
// sheds or when its latency shows a standing queue, and grows while it is the
// limit that binds and the target is healthy.
//
// A share below one request, when the relays outnumber the slots, is kept by
// pacing: between two requests the relay leaves the target alone for as long
// as the limit demands.
type Limiter struct {
	limit    float64
	lowest   float64
	ceiling  float64
	inFlight int
	peak     int       // most in flight in this window
	pausedTo time.Time // pacing and back-off
	sheds    int       // in a row
	base     time.Duration
	lastCut  time.Time
	window   window
}

type window struct {
	since   time.Time
	samples int
	least   time.Duration
	shed    bool
}

// NewLimiter returns the limiter of one target. slots are the requests that
// the target runs at once, relays those who share it, ceiling the connections
// that this relay may hold to it. Values below one count as one.
func NewLimiter(slots, relays, ceiling int) *Limiter {
	slots, relays, ceiling = max(slots, 1), max(relays, 1), max(ceiling, 1)
	share := float64(slots) / float64(relays)
	return &Limiter{
		limit:   math.Min(math.Max(share, 1), float64(ceiling)),
		lowest:  math.Min(share, 1) * lowestFraction,
		ceiling: float64(ceiling),
	}
}

// Acquire takes a place for one request, and reports false if there is none.
// Every place taken must be given back with Release.
func (l *Limiter) Acquire(now time.Time) bool {
	if !l.Free(now) {
		return false
	}
	l.Take(now)
	return true
}

// Take takes a place that Free has shown.
func (l *Limiter) Take(time.Time) {
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
}

// Free reports whether Acquire would succeed.
func (l *Limiter) Free(now time.Time) bool {
	if now.Before(l.pausedTo) {
		return false
	}
	return l.inFlight == 0 || float64(l.inFlight+1) <= l.limit
}

// Wait returns how long pacing keeps the limiter closed; 0 if it does not.
// The owner sets a timer for it, as no Release may come.
func (l *Limiter) Wait(now time.Time) time.Duration { return max(l.pausedTo.Sub(now), 0) }

// Release gives a place back and learns from the attempt. latency is the time
// from send to answer, or to giving up.
func (l *Limiter) Release(now time.Time, latency time.Duration, s Signal) {
	l.inFlight = max(l.inFlight-1, 0)
	l.learn(now, latency, s)
	l.pause(now, l.pacing(latency))
	l.pause(now, l.backOff(s))
}

// Limit returns the current limit. Below one it is a share of the time.
func (l *Limiter) Limit() float64 { return l.limit }

// InFlight returns the places taken.
func (l *Limiter) InFlight() int { return l.inFlight }

func (l *Limiter) learn(now time.Time, latency time.Duration, s Signal) {
	if l.window.since.IsZero() {
		l.window.since = now
	}
	switch s {
	case Shed:
		l.window.shed = true
		l.cut(now, now.Add(-latency), shedFactor)
	case Served:
		l.sample(latency)
		if l.window.samples >= windowSamples && now.Sub(l.window.since) >= windowSpan {
			l.closeWindow(now)
		}
	case Errored, Abandoned:
	}
}

func (l *Limiter) sample(latency time.Duration) {
	if l.window.samples == 0 || latency < l.window.least {
		l.window.least = latency
	}
	l.window.samples++
}

func (l *Limiter) closeWindow(now time.Time) {
	w, peak := l.window, l.peak
	l.window, l.peak = window{since: now}, l.inFlight
	standing := l.base > 0 && float64(w.least) > standingQueue*float64(l.base)
	l.base = nextBase(l.base, w.least)
	switch {
	case w.shed:
	case standing:
		l.cut(now, now, queueFactor)
	case float64(peak+1) > l.limit:
		l.grow()
	}
}

func nextBase(base, least time.Duration) time.Duration {
	if base == 0 {
		return least
	}
	return min(time.Duration(float64(base)*baseDrift)+1, least)
}

// cut lowers the limit, once for all requests that were sent before the last
// cut, as they tell of the same overload.
func (l *Limiter) cut(now, sent time.Time, factor float64) {
	if sent.Before(l.lastCut) {
		return
	}
	l.lastCut = now
	l.limit = math.Max(l.limit*factor, l.lowest)
}

func (l *Limiter) grow() {
	next := l.limit + growStep
	if l.limit < 1 {
		next = math.Min(l.limit*growFactor, 1)
	}
	l.limit = math.Min(next, l.ceiling)
}

func (l *Limiter) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(l.pausedTo) {
		l.pausedTo = until
	}
}

// pacing returns the pause that keeps a limit below one.
func (l *Limiter) pacing(latency time.Duration) time.Duration {
	if l.limit >= 1 {
		return 0
	}
	return time.Duration(float64(latency) * (1/l.limit - 1))
}

// backOff returns the pause after shed answers in a row. It doubles, because a
// target that sheds everything answers at once and pacing alone would go on
// asking it.
func (l *Limiter) backOff(s Signal) time.Duration {
	if s != Shed {
		l.sheds = 0
		return 0
	}
	l.sheds++
	return min(backOffFirst<<min(l.sheds-1, backOffDoublings), backOffLongest)
}
