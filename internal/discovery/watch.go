package discovery

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/clock"
)

// watch is one watch call to the store.
type watch struct {
	clock     *clock.Clock
	startedAt time.Time
	wait      time.Duration // how long it waits for a change
}

// newWatch returns a watch that begins now, for state that was last confirmed at asOf. Its wait is
// shorter if that is long ago, so that the state is confirmed again before the hosts that poll this
// one consider it stale.
func (f *Follower) newWatch(asOf time.Time) watch {
	now := f.state.clock.Now()
	left := f.cfg.reconfirmAge() - now.Sub(asOf)
	return watch{clock: f.state.clock, startedAt: now, wait: min(max(left, f.cfg.minWatchWait()), f.cfg.watchWait())}
}

// currentAsOf returns the time as of which the answer of the watch, which has just arrived,
// confirms the state. The answer may have been delayed for any time, for example while the host was
// frozen: without a change it was made at the end of the wait, with one not before the beginning.
// Counting from its arrival would understate the age by the delay, and requests for a route that
// was configured meanwhile would be refused as unknown.
func (w watch) currentAsOf(changed bool) time.Time {
	if changed {
		return w.startedAt
	}
	end := w.startedAt.Add(w.wait)
	if now := w.clock.Now(); now.Before(end) {
		return now
	}
	return end
}
