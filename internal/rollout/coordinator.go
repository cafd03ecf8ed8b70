package rollout

import (
	"fmt"
	"time"
)

// Situation is what a coordinator knows beside the evidence when it decides.
type Situation struct {
	Now           time.Time
	Age           time.Duration // of the order; negative: unknown
	NewTargets    []string      // usable targets of the new version
	OldSlots      int           // concurrent requests that the usable targets of other versions take
	NewSlots      int           // the same of the new version
	LiveHosts     []string      // hosts that must have left the old version before the order succeeds
	OrdersCurrent bool          // this host's orders were confirmed by the store recently
	// OnlyNonIdempotent is set if no route of the service has requests that may run twice.
	OnlyNonIdempotent bool
}

// Decision is what a coordinator decides at one moment.
type Decision struct {
	Directive
	// Write is the status to write now, on the condition of the order's revision; StateNone: none.
	// It is repeated until Update reports it.
	Write State
}

// Coordinator decides on one order from the evidence of all hosts. It is not safe for concurrent
// use. A new one may be created at any time, also for an order half done: the hosts' reports hold all
// that it needs.
type Coordinator struct {
	cfg      Config
	order    Order
	evidence *evidence

	phase       Phase     // decided or reported: PhaseCanary stands for all that comes before PhaseMoving
	reason      string    // why it was rolled back
	succeeded   bool      // decided, and written to the store as soon as possible
	wasRunning  bool      // the store has held a status of this order
	began       time.Time // of the order, by reports; the zero time if unknown
	created     time.Time // first call of Decide
	complete    bool      // the counts reach back to the order
	movingSince time.Time
	unusable    time.Time // since when the new version can't take the requests, in PhaseMoving
	share       float64   // directed last
	onTrial     bool      // requests that must not run twice may go to the new version
}

// NewCoordinator returns a coordinator of an order.
func NewCoordinator(cfg Config, o Order) *Coordinator {
	c := &Coordinator{cfg: cfg, order: o, evidence: newEvidence(o.Duration), phase: PhaseCanary}
	c.Update(o)
	return c
}

// Update replaces the order by what the store holds now: status and revision may have changed. An
// order with another ID is ignored.
func (c *Coordinator) Update(o Order) {
	if o.ID != c.order.ID {
		return
	}
	c.order = o
	switch o.State() {
	case StateRunning:
		c.wasRunning = true
	case StateRolledBack:
		if c.phase != PhaseRolledBack {
			c.phase, c.reason = PhaseRolledBack, "rolled back in the store"
		}
		c.wasRunning, c.succeeded = true, false
	case StateSucceeded:
		c.wasRunning, c.phase, c.reason = true, PhaseSucceeded, ""
	}
}

// Observe adds a report of a process of a host. Counts are totals: those of a newer report replace
// those of the former one, and processes of one host add up. Reports on other orders are ignored.
func (c *Coordinator) Observe(now time.Time, host string, incarnation uint64, e HostEvidence) {
	if e.ID != c.order.ID {
		return
	}
	c.evidence.observe(now, host, incarnation, e)
	if e.Phase > c.phase {
		c.phase = e.Phase
		c.reason = e.Reason
	}
	if e.Age >= 0 {
		if began := now.Add(-e.Age); c.began.IsZero() || began.Before(c.began) {
			c.began = began
		}
	}
}

// age returns the age of the order, and false if neither this host nor a report knew it.
func (c *Coordinator) age(s Situation) (time.Duration, bool) {
	switch {
	case s.Age >= 0:
		return s.Age, true
	case !c.began.IsZero():
		return max(s.Now.Sub(c.began), 0), true
	}
	return -1, false
}

// Decide decides what the hosts do now. It is called several times a second.
func (c *Coordinator) Decide(s Situation) Decision {
	age, known := c.age(s)
	if c.created.IsZero() {
		c.created = s.Now
		c.complete = known && age <= completeAge
		c.evidence.advance(s.Now)
		if known {
			c.evidence.windows[0].weight = max(1, float64(age)/float64(c.evidence.length))
		}
	}
	c.evidence.advance(s.Now)
	c.evidence.newTargets = max(c.evidence.newTargets, len(s.NewTargets))
	reason := c.reason
	switch c.phase {
	case PhaseCanary:
		reason = c.trial(s, age, known)
	case PhaseMoving:
		reason = c.moving(s, age, known)
	}
	d := Decision{Directive: Directive{ID: c.order.ID, Phase: c.phase, Age: age, Reason: reason}}
	switch c.phase {
	case PhaseCanary:
		if !known || len(s.NewTargets) == 0 {
			d.Phase, c.share = PhaseWaiting, 0
			break
		}
		c.share = c.directedShare(age)
		d.Share, d.NonIdempotent = c.share, c.onTrial || s.OnlyNonIdempotent
	case PhaseMoving, PhaseSucceeded:
		d.Share, d.NonIdempotent = 1, true
	}
	d.Write = c.write(s)
	return d
}

// write returns the status to write.
func (c *Coordinator) write(s Situation) State {
	state := c.order.State()
	switch {
	case c.phase == PhaseRolledBack:
		if state != StateRolledBack {
			return StateRolledBack
		}
	case c.phase == PhaseSucceeded || c.succeeded:
		if state != StateSucceeded && s.OrdersCurrent {
			return StateSucceeded
		}
	case state == StateNone && !c.wasRunning && s.OrdersCurrent:
		return StateRunning
	}
	return StateNone
}

// directedShare returns the share of the canary.
func (c *Coordinator) directedShare(age time.Duration) float64 {
	t := timesOf(c.order.Duration)
	end := t.handover
	if age >= end {
		end = t.lastMove
	}
	return exposure{
		age:       age,
		duration:  c.order.Duration,
		canaryEnd: end,
		complete:  c.complete,
		oldSent:   float64(c.evidence.oldSent),
		newSent:   float64(c.evidence.newSent),
		rate:      c.evidence.recentRate(c.complete),
		share:     c.share,
	}.directed(c.cfg)
}

// trial decides in the canary, and returns what the order waits for or why it was rolled back.
func (c *Coordinator) trial(s Situation, age time.Duration, known bool) string {
	v := c.evidence.verdict()
	if v.Outcome == Bad {
		return c.rollBack(v.Reason)
	}
	// Once on trial, a route that has few answers yet must not be taken off it again for that.
	c.onTrial = c.onTrial || v.RoutesOnTrial
	if !known {
		return "the age of the order is unknown"
	}
	t := timesOf(c.order.Duration)
	if age < t.handover {
		return v.Reason
	}
	if !c.heardAll(s) {
		return "hosts have not reported yet"
	}
	if v.Suspicious {
		return c.rollBack(v.Reason)
	}
	obstacle := unfit(s)
	if obstacle == "" && v.Outcome != GoodSoFar && !v.MoveOnTrial {
		obstacle = v.Reason
	}
	if obstacle == "" && !s.OrdersCurrent {
		obstacle = "the store can't be reached"
	}
	switch {
	case obstacle == "":
		c.phase, c.movingSince = PhaseMoving, s.Now
		return v.Reason
	case age >= t.lastMove:
		return c.rollBack(obstacle)
	}
	return obstacle
}

// unfit returns why the new version can't take all requests; empty if it can.
func unfit(s Situation) string {
	switch {
	case len(s.NewTargets) == 0:
		return "no usable target of the new version"
	case 2*s.NewSlots < s.OldSlots:
		return fmt.Sprintf("the new version has %d slots, the old one %d", s.NewSlots, s.OldSlots)
	}
	return ""
}

// moving decides while all requests go to the new version, and returns what the order waits for or
// why it was rolled back.
func (c *Coordinator) moving(s Situation, age time.Duration, known bool) string {
	if c.succeeded {
		return "waits for the store"
	}
	if c.movingSince.IsZero() { // another coordinator began it
		c.movingSince = s.Now
	}
	v := c.evidence.verdict()
	if v.Outcome == Bad || v.Suspicious {
		return c.rollBack(v.Reason)
	}
	if obstacle := unfit(s); obstacle != "" {
		if c.unusable.IsZero() {
			c.unusable = s.Now
		}
		if s.Now.Sub(c.unusable) >= unusableTime {
			return c.rollBack(obstacle)
		}
		return obstacle
	}
	c.unusable = time.Time{}
	if s.Now.Sub(c.movingSince) < minMoving {
		return "observes the new version with all requests"
	}
	t := timesOf(c.order.Duration)
	last := known && age >= t.lastWrite
	switch {
	case v.Outcome != GoodSoFar && last && c.heardAll(s):
		return c.rollBack(v.Reason)
	case v.Outcome != GoodSoFar:
		return v.Reason
	}
	if host := c.undrained(s, known && age >= t.silentHosts, last); host != "" {
		return "requests at old targets: host " + host
	}
	if !s.OrdersCurrent {
		return "waits for the store"
	}
	c.succeeded = true
	return ""
}

// rollBack ends the order.
func (c *Coordinator) rollBack(reason string) string {
	c.phase, c.reason = PhaseRolledBack, reason
	return reason
}

// heardAll reports whether every live host has reported, or had time to.
func (c *Coordinator) heardAll(s Situation) bool {
	if s.Now.Sub(c.created) >= collectTime {
		return true
	}
	for _, host := range s.LiveHosts {
		if c.evidence.current(host) == nil {
			return false
		}
	}
	return true
}

// undrained returns a live host that may have requests in flight at old targets; empty if there is
// none. Hosts without a recent report in PhaseMoving are left out if silent is set, all hosts if any
// is set.
func (c *Coordinator) undrained(s Situation, silent, any bool) string {
	if any {
		return ""
	}
	for _, host := range s.LiveHosts {
		r := c.evidence.current(host)
		replies := r != nil && r.phase >= PhaseMoving && s.Now.Sub(r.at) < replyTime
		if replies && r.oldInFlight > 0 || !replies && !silent {
			return host
		}
	}
	return ""
}
