package policy

import (
	"math"
	"time"
)

const (
	throttleSpan   = 500 * time.Millisecond // one of the two windows kept
	throttleSlack  = 1.1                    // offered over accepted that is still sent on
	throttleFew    = 20                     // requests before which nothing is refused
	throttleLowest = 0.01                   // of the requests that are sent on whatever the load
)

// Throttle lets an entry refuse, before any work is spread, the requests that
// the relays would refuse for load. It sends on a little more than the relays
// accepted lately, the lowest ranks first, so that it agrees with their gates.
type Throttle struct {
	since    time.Time
	now, old throttleWindow
}

type throttleWindow struct{ offered, accepted float64 }

// Admits reports whether a request of this rank is sent on, and counts it.
func (t *Throttle) Admits(now time.Time, rank float64) bool {
	t.turn(now)
	pass := rank < t.Threshold()
	t.now.offered++
	return pass
}

// Accepted counts a request that the relays did not refuse for load.
func (t *Throttle) Accepted(now time.Time) {
	t.turn(now)
	t.now.accepted++
}

// Threshold returns the part of the requests that are sent on, 0.01..1.
func (t *Throttle) Threshold() float64 {
	offered := t.now.offered + t.old.offered
	if offered < throttleFew {
		return 1
	}
	part := throttleSlack * (t.now.accepted + t.old.accepted) / offered
	return math.Min(math.Max(part, throttleLowest), 1)
}

func (t *Throttle) turn(now time.Time) {
	past := now.Sub(t.since)
	switch {
	case past >= 2*throttleSpan:
		t.old, t.now = throttleWindow{}, throttleWindow{}
	case past >= throttleSpan:
		t.old, t.now = t.now, throttleWindow{}
	default:
		return
	}
	t.since = now
}
