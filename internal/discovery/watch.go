package discovery

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/clock"
)

// watch is one watch of the store.
type watch struct {
	clock *clock.Clock
	began time.Time
	wait  time.Duration // for which it waits for a change
}

// newWatch returns a watch that begins now, on a belief that was last known to
// be current at a time. It is shorter if that is long ago, so that the belief is
// proved anew before the hosts that ask this one find it old.
func (f *Follower) newWatch(asOf time.Time) watch {
	now := f.state.clock.Now()
	left := f.cfg.proveWithin() - now.Sub(asOf)
	return watch{clock: f.state.clock, began: now, wait: min(max(left, f.cfg.shortestWatch()), f.cfg.watchWait())}
}

// provedAsOf returns the time as of which the answer of the watch, which has just
// come, proves a belief to be current. The answer may have been under way for
// any time, as to a host that was frozen: one without a change was made at the
// end of the wait, one with a change at its beginning at the earliest. Counted from
// its arrival, an age is understated by the time that the answer was under way, and
// a route that was configured meanwhile is told as unknown.
func (w watch) provedAsOf(changed bool) time.Time {
	if changed {
		return w.began
	}
	end := w.began.Add(w.wait)
	if now := w.clock.Now(); now.Before(end) {
		return now
	}
	return end
}
