package policy

import (
	"math"
	"time"
)

// Signal classifies the outcome of one attempt as an indication of the target's
// load.
type Signal uint8

const (
	// Served is a valid answer; its latency is a sample.
	Served Signal = iota
	// Shed is a refusal because of load: the target is over its capacity.
	Shed
	// Errored is an error that does not indicate load.
	Errored
	// Abandoned is an attempt given up before an answer arrived. Its latency is
	// a lower bound.
	Abandoned
)

const (
	shedFactor          = 0.7  // of the limit remains after a shed answer
	standingQueueFactor = 0.9  // of the limit remains after a window with a standing queue
	limitIncrement      = 1.0  // requests added after a healthy, saturated window
	limitGrowthFactor   = 1.25 // the same for a limit below one
	standingQueueRatio  = 2.0  // ratio of the window's minimum latency to the base latency that indicates a queue in the target
	minWindowSamples    = 16   // answers
	minWindowSpan       = 100 * time.Millisecond
	baseLatencyGrowth   = 1.01 // per window, so that the base latency can rise again
	minLimitFraction    = 0.5  // of the share of slots, for shares up to one request

	minBackOff          = 2 * time.Millisecond
	maxBackOff          = time.Second
	maxBackOffDoublings = 10 // bounds the shift in backOffPause
)

// Limiter bounds the requests that one relay has in flight at one target. It
// starts at the relay's share of the target's slots, falls when the target
// sheds or when its latency indicates a standing queue, and grows while the
// limit binds and the target is healthy.
//
// Where relays outnumber slots, a share below one request is enforced by
// pacing: between two requests the relay pauses for as long as the limit
// requires.
type Limiter struct {
	limit        float64
	minLimit     float64
	maxLimit     float64
	inFlight     int
	peakInFlight int       // most requests in flight in this window
	pausedUntil  time.Time // by pacing or back-off
	shedsInARow  int
	baseLatency  time.Duration // lowest recent minimum latency of a window; drifts up
	lastDecrease time.Time
	window       window
}

// window collects the samples between two adjustments of the limit.
type window struct {
	since      time.Time
	samples    int
	minLatency time.Duration
	shed       bool
}

// NewLimiter returns the limiter of one target. slots is the number of requests
// that the target runs at once, relays the number of relays that share it,
// ceiling the number of connections that this relay may have to it. Values
// below one count as one.
func NewLimiter(slots, relays, ceiling int) *Limiter {
	slots, relays, ceiling = max(slots, 1), max(relays, 1), max(ceiling, 1)
	share := float64(slots) / float64(relays)
	return &Limiter{
		limit:    math.Min(math.Max(share, 1), float64(ceiling)),
		minLimit: math.Min(share, 1) * minLimitFraction,
		maxLimit: float64(ceiling),
	}
}

// Acquire takes a slot for one request, and returns false if none is free.
// Release must follow each success.
func (l *Limiter) Acquire(now time.Time) bool {
	if !l.Free(now) {
		return false
	}
	l.Take(now)
	return true
}

// Take takes a slot after Free has returned true.
func (l *Limiter) Take(time.Time) {
	l.inFlight++
	l.peakInFlight = max(l.peakInFlight, l.inFlight)
}

// Free reports whether Acquire would succeed.
func (l *Limiter) Free(now time.Time) bool {
	if now.Before(l.pausedUntil) {
		return false
	}
	return l.inFlight == 0 || float64(l.inFlight+1) <= l.limit
}

// Wait returns for how long pacing or back-off blocks the limiter; 0 if it does
// not. The owner sets a timer for it, because no Release may follow.
func (l *Limiter) Wait(now time.Time) time.Duration { return max(l.pausedUntil.Sub(now), 0) }

// Release returns a slot and updates the limit by the outcome. latency is the
// time from send to answer, or until the attempt was given up.
func (l *Limiter) Release(now time.Time, latency time.Duration, s Signal) {
	l.inFlight = max(l.inFlight-1, 0)
	l.update(now, latency, s)
	l.pauseFor(now, l.pacingPause(latency))
	l.pauseFor(now, l.backOffPause(s))
}

// Limit returns the current limit. Below one it is a fraction of the time.
func (l *Limiter) Limit() float64 { return l.limit }

// InFlight returns the number of slots taken.
func (l *Limiter) InFlight() int { return l.inFlight }

// update applies the outcome of an attempt to the limit.
func (l *Limiter) update(now time.Time, latency time.Duration, s Signal) {
	if l.window.since.IsZero() {
		l.window.since = now
	}
	switch s {
	case Shed:
		l.window.shed = true
		l.decrease(now, now.Add(-latency), shedFactor)
	case Served:
		l.addSample(latency)
		if l.window.samples >= minWindowSamples && now.Sub(l.window.since) >= minWindowSpan {
			l.closeWindow(now)
		}
	case Errored, Abandoned:
	}
}

func (l *Limiter) addSample(latency time.Duration) {
	if l.window.samples == 0 || latency < l.window.minLatency {
		l.window.minLatency = latency
	}
	l.window.samples++
}

// closeWindow adjusts the limit by the samples of the window and starts the
// next one.
func (l *Limiter) closeWindow(now time.Time) {
	w, peak := l.window, l.peakInFlight
	l.window, l.peakInFlight = window{since: now}, l.inFlight
	standing := l.baseLatency > 0 && float64(w.minLatency) > standingQueueRatio*float64(l.baseLatency)
	l.baseLatency = nextBaseLatency(l.baseLatency, w.minLatency)
	switch {
	case w.shed:
	case standing:
		l.decrease(now, now, standingQueueFactor)
	case float64(peak+1) > l.limit:
		l.increase()
	}
}

// nextBaseLatency returns the base latency after a window.
func nextBaseLatency(base, windowMin time.Duration) time.Duration {
	if base == 0 {
		return windowMin
	}
	return min(time.Duration(float64(base)*baseLatencyGrowth)+1, windowMin)
}

// decrease lowers the limit, once for all requests that were sent before the
// last decrease, because they met the same overload.
func (l *Limiter) decrease(now, sent time.Time, factor float64) {
	if sent.Before(l.lastDecrease) {
		return
	}
	l.lastDecrease = now
	l.limit = math.Max(l.limit*factor, l.minLimit)
}

// increase raises the limit after a window in which it was the constraint.
func (l *Limiter) increase() {
	next := l.limit + limitIncrement
	if l.limit < 1 {
		next = math.Min(l.limit*limitGrowthFactor, 1)
	}
	l.limit = math.Min(next, l.maxLimit)
}

// pauseFor blocks the limiter for d from now, unless it is blocked for longer.
func (l *Limiter) pauseFor(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(l.pausedUntil) {
		l.pausedUntil = until
	}
}

// pacingPause returns the pause after an attempt that enforces a limit below
// one.
func (l *Limiter) pacingPause(latency time.Duration) time.Duration {
	if l.limit >= 1 {
		return 0
	}
	return time.Duration(float64(latency) * (1/l.limit - 1))
}

// backOffPause returns the pause after a shed answer. It doubles with each one
// in a row: a target that sheds everything answers at once, so that pacing
// alone would keep sending to it.
func (l *Limiter) backOffPause(s Signal) time.Duration {
	if s != Shed {
		l.shedsInARow = 0
		return 0
	}
	l.shedsInARow++
	return min(minBackOff<<min(l.shedsInARow-1, maxBackOffDoublings), maxBackOff)
}
