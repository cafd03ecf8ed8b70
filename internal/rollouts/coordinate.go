package rollouts

import (
	"fmt"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// coordinator decides on one order; it is a rollout.Coordinator.
type coordinator interface {
	Update(o rollout.Order)
	Observe(now time.Time, host string, incarnation uint64, e rollout.HostEvidence)
	Decide(s rollout.Situation) rollout.Decision
}

// observe adds the whole evidence of a process to the coordinator of an order. The caller holds the
// lock.
func (k *Keeper) observe(now time.Time, o *order, p process, e rollout.HostEvidence) {
	if o.coordinator == nil {
		o.coordinator = k.newCoordinator(o.Order)
	}
	o.coordinator.Observe(now, p.host, p.incarnation, e)
}

// receive adds a report of a process, this one included. Evidence on an order that this host does not
// have is kept: the state of the sender may be newer. The caller holds the lock.
func (k *Keeper) receive(now time.Time, p process, report rollout.HostEvidence) {
	c := k.collected[report.ID]
	o := k.orders[report.ID.Service]
	isKnown := o != nil && o.ID == report.ID
	if isKnown && o.isSettled() {
		return
	}
	if c == nil {
		if !isKnown && len(k.collected) >= maxUnknownOrders+len(k.orders) {
			return
		}
		c = &collected{processes: map[process]*totals{}}
		k.collected[report.ID] = c
	}
	whole := c.merge(now, p, report)
	if !isKnown {
		return
	}
	k.observe(now, o, p, whole)
	k.learnAge(now, o, report.Age)
	if report.Phase >= rollout.PhaseMoving {
		k.advance(o, report.Phase, report.Reason)
	}
}

// turn returns this host's rank among the coordinators of an order, and whether it decides now: all
// before it are not alive or silent, the store shows no progress of theirs, and half of the hosts
// report to this one. A host that is cut off from most others must not decide: it would roll back a
// good version for want of evidence, or spend the slack a second time. The caller holds the lock.
func (k *Keeper) turn(now time.Time, o *order) (rank int, reason string, decides bool) {
	self := k.Members.Self().ID
	reason = "first in turn"
	for i, h := range k.Turns.Coordinators(o.Service, candidates) {
		switch {
		case h.ID == self:
			hasProgress := i > 0 && !o.active && now.Sub(o.changedAt) < silentAfter
			return i, reason, !hasProgress && k.hearsHalf(now, o)
		case h.State != member.Alive:
			reason = fmt.Sprintf("%s is %s", h.ID, h.State)
		case k.recipientOf(h).isSilent(now):
			reason = h.ID + " does not answer"
		default:
			return 0, "", false
		}
	}
	return 0, "", false
}

// isFirst reports whether this host is the first in turn for an order.
func (k *Keeper) isFirst(o *order) bool {
	first := k.Turns.Coordinators(o.Service, 1)
	return len(first) > 0 && first[0].ID == k.Members.Self().ID
}

// hearsHalf reports whether at least half of the hosts report to this one. The caller holds the lock.
func (k *Keeper) hearsHalf(now time.Time, o *order) bool {
	c := k.collected[o.ID]
	return c != nil && 2*c.heardFrom(now) >= len(k.Members.Hosts())
}

// coordinate decides on an order if this host is to. The caller holds the lock.
func (k *Keeper) coordinate(now time.Time, o *order, current bool) {
	rank, reason, decides := k.turn(now, o)
	if decides && !o.active {
		k.Log.Event(evCoordinates).Str("service", o.Service).Str("version", o.Version).Int("rank", rank).Str("reason", reason).Msg("")
	}
	o.active = decides
	if !decides {
		o.decision = rollout.Decision{}
		return
	}
	if o.coordinator == nil {
		o.coordinator = k.newCoordinator(o.Order)
	}
	o.coordinator.Update(o.Order)
	o.decision = o.coordinator.Decide(k.situation(now, o, current))
	d := o.decision.Directive
	k.advance(o, d.Phase, d.Reason)
	o.noteDirective(now, rank, d)
}

// situation returns what the coordinator of an order has to know. Every host that is not dead is
// waited for: one that is suspected or leaving may still have requests at old targets.
func (k *Keeper) situation(now time.Time, o *order, current bool) rollout.Situation {
	s := rollout.Situation{
		Now: now, Age: o.ageAt(now), NewTargets: o.usable, OldSlots: o.oldSlots, NewSlots: o.newSlots,
		OrdersCurrent: current, OnlyNonIdempotent: k.Orders.OnlyNonIdempotent(o.Service),
	}
	for _, h := range k.Members.Hosts() {
		s.LiveHosts = append(s.LiveHosts, h.ID)
	}
	return s
}

// directiveFor returns what this host replies to another one about an order: its decision if it decides, else
// the age, and the phase if that was decided by someone. The caller holds the lock.
func (k *Keeper) directiveFor(now time.Time, id rollout.ID) (rollout.Directive, bool) {
	o := k.orders[id.Service]
	if o == nil || o.ID != id {
		return rollout.Directive{}, false
	}
	d := rollout.Directive{ID: id, Age: o.ageAt(now)}
	if o.active && !o.isSettled() {
		d = o.decision.Directive
		d.ID, d.Age = id, o.ageAt(now)
	}
	if o.phase >= rollout.PhaseMoving && o.phase > d.Phase {
		d.Phase, d.Reason = o.phase, o.reason
	}
	return d, true
}
