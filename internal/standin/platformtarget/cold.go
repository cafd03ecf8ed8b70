package platformtarget

import (
	"net/http"
	"strconv"
	"time"

	"rhubarbwood.example/rhubarbwood/platform"
)

// coldWindow is the sliding window over which requests to a cold target are counted.
const coldWindow = time.Second

// coldState tracks the cold phase of a target, in which it can serve only a few requests per
// second.
type coldState struct {
	until        time.Time
	arrivals     []time.Time // requests in the current window that arrived during the cold phase
	maxPerWindow int         // maximum number of requests in any window
}

// StartColdPhase starts a cold phase of the given duration.
func (t *Target) StartColdPhase(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cold.until = time.Now().Add(d)
}

// MaxRequestsWhileCold returns the maximum number of requests within any second of the cold phases.
func (t *Target) MaxRequestsWhileCold() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cold.maxPerWindow
}

// remainingColdTime returns the time until the cold phase ends, or 0.
func (t *Target) remainingColdTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(time.Until(t.cold.until), 0)
}

// countColdRequest counts a request if it arrives during a cold phase.
func (t *Target) countColdRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !now.Before(t.cold.until) {
		return
	}
	recent := t.cold.arrivals[:0]
	for _, at := range t.cold.arrivals {
		if now.Sub(at) < coldWindow {
			recent = append(recent, at)
		}
	}
	t.cold.arrivals = append(recent, now)
	t.cold.maxPerWindow = max(t.cold.maxPerWindow, len(t.cold.arrivals))
}

// setWarmupHeader sets the remaining time of the cold phase.
func (t *Target) setWarmupHeader(h http.Header) {
	if left := t.remainingColdTime(); left > 0 {
		h.Set(platform.HeaderWarmup, strconv.FormatInt(left.Milliseconds(), 10))
	}
}

// setLoadHeader sets the load header: running and waiting requests, slots, and the current cost of
// work in percent of the nominal one.
func (t *Target) setLoadHeader(h http.Header, f Faults) {
	if !t.cfg.ReportLoad {
		return
	}
	t.mu.Lock()
	waiting := t.waiting
	t.mu.Unlock()
	work := nominalWorkPercent * max(f.Slow, 1)
	h.Set(platform.HeaderLoad, strconv.Itoa(len(t.slots))+","+strconv.Itoa(waiting)+","+strconv.Itoa(t.cfg.Slots)+","+strconv.Itoa(int(work)))
}

// nominalWorkPercent is the reported cost of work on a target that isn't slowed down.
const nominalWorkPercent = 100
