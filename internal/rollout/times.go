package rollout

import "time"

const (
	// handoverPart, minHandover and maxHandover are the time that the handover is given: a part of the
	// order's duration, within bounds.
	handoverPart = 0.3
	minHandover  = 2500 * time.Millisecond
	maxHandover  = 5 * time.Second
	// silentHostsMargin is the time before the end of the order at which hosts that don't reply are no
	// longer waited for.
	silentHostsMargin = 2 * time.Second
	// lastMoveMargin is the time before the end of the order after which the handover no longer begins.
	// An order that has not begun it is rolled back then, so that its status is written in time.
	lastMoveMargin = 1750 * time.Millisecond
	// lastWriteMargin is the time before the end of the order at which requests in flight at old
	// targets are no longer waited for.
	lastWriteMargin = 500 * time.Millisecond
	// minMoving is how long the new version is observed with all requests before the order succeeds,
	// after which there is no way back: two windows of the evidence.
	minMoving = time.Second
	// unusableTime is how long the new version may be unable to take the requests in the handover.
	unusableTime = time.Second
	// collectTime is how long a new coordinator waits for the reports of all live hosts.
	collectTime = time.Second
	// replyTime is the age of a host's report above which the host counts as silent: four reports.
	replyTime = time.Second
	// completeAge is the age of an order up to which a new coordinator has missed no counts.
	completeAge = time.Second
)

// times are the ages of an order at which its phases end.
type times struct {
	handover    time.Duration // the canary ends, if there is enough evidence
	silentHosts time.Duration
	lastMove    time.Duration
	lastWrite   time.Duration
}

// timesOf returns the ages for a duration. Where it is so short that the margins exceed half of it,
// they are scaled down.
func timesOf(duration time.Duration) times {
	handover := min(max(time.Duration(handoverPart*float64(duration)), minHandover), maxHandover)
	scale := min(1, float64(duration/2)/float64(handover))
	before := func(margin time.Duration) time.Duration {
		return duration - time.Duration(scale*float64(margin))
	}
	return times{
		handover:    before(handover),
		silentHosts: before(silentHostsMargin),
		lastMove:    before(lastMoveMargin),
		lastWrite:   before(lastWriteMargin),
	}
}
