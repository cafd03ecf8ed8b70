package discovery

import (
	"maps"
	"slices"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// Operators order rollouts in the store. The orders are cached like evacuations, with a store revision and an age, by hosts
// whose Config.FollowRollouts is set. They are few, so peers are always sent all of them.

// firstSeenTolerance is how much earlier another host must have seen an order for its time to be taken over. Without it the
// varying transit times of messages would make hosts send each other ever new times.
const firstSeenTolerance = 10 * time.Millisecond

// orders is the cached state of the rollout orders.
type orders struct {
	enabled bool // orders are read at all
	synced  syncPoint
	// currentFor is the greatest age of the orders at which one that then appears counts as new.
	currentFor time.Duration
	// retention is how long an order is kept that is missing in an older copy of the store.
	retention time.Duration
	keptSeq   *keptSequence
	byService map[string]cachedOrder
	// replaced is the orders in whose place an older copy of the store holds another version, by service. The operator
	// writes the newer one again.
	replaced map[string]cachedOrder
	// endedIn is the era in which the last order of a service was seen to end: withdrawn, or replaced by another one.
	endedIn map[string]uint64
	// historyStart is the revision from which on this host has seen every change. Peers with an older one get all orders.
	historyStart revision.Revision
	// visible is byService as views have it. Views share it, so every change replaces it.
	visible map[string]rollout.Order
	// announced is set once the subscribers were notified that the orders are known, even if there are none.
	announced bool
	// changeNumber is the sequence number of the last change of any order. It also counts changes that have no revision
	// of the store: ages, and what is kept over a restore.
	changeNumber uint64
}

// cachedOrder is an order with what is known of it from before restores of the store.
type cachedOrder struct {
	// order is as the store holds it or, if keptUntil is set, held it before a restore, with the earliest known FirstSeen.
	order     rollout.Order
	earlier   earlierOrder
	keptUntil time.Time // zero: the store holds the order
}

// earlierOrder is what is known of an order from eras before that of its present content. The zero value is nothing.
type earlierOrder struct {
	created revision.Revision // Order.Created in the earliest era
	written revision.Revision // Order.Written in the latest one
	state   rollout.State     // final state, StateNone if it had none
}

// merge takes over what another host or era knows of the same order.
func (e *earlierOrder) merge(other earlierOrder) {
	if e.created.IsZero() || other.created.Before(e.created) {
		e.created = other.created
	}
	if other.state != rollout.StateNone && (e.state == rollout.StateNone || e.written.Before(other.written)) {
		e.state = other.state
	}
	e.written = revision.Later(e.written, other.written)
}

// asEarlier returns what is known of an order, as seen, in a later era.
func asEarlier(seen rollout.Order) earlierOrder {
	e := earlierOrder{created: seen.Created, written: seen.Written}
	if seen.State().Final() {
		e.state = seen.State()
	}
	return e
}

// asSeen returns the order as views have it.
func (c cachedOrder) asSeen() rollout.Order {
	order := c.order
	if !c.earlier.created.IsZero() && c.earlier.created.Before(order.Created) { // a kept order may be known from still earlier
		order.ID.Created = c.earlier.created
	}
	if c.earlier.state != rollout.StateNone && !order.State().Final() {
		order.Status = rollout.Status{State: c.earlier.state, Version: order.Version}
	}
	return order
}

// asStored returns the cached order after the store was found to hold it, now or in an era before the present one, with the
// given content.
func (c cachedOrder) asStored(found rollout.Order) cachedOrder {
	next := cachedOrder{order: found, earlier: c.earlier}
	next.order.FirstSeen = c.order.FirstSeen
	next.mergeFirstSeen(found.FirstSeen)
	if c.order.Written.Era < found.Written.Era {
		next.earlier.merge(asEarlier(c.asSeen()))
	}
	return next
}

// mergeFirstSeen takes over an earlier time at which the order was seen.
func (c *cachedOrder) mergeFirstSeen(at time.Time) {
	if !at.IsZero() && (c.order.FirstSeen.IsZero() || c.order.FirstSeen.Sub(at) > firstSeenTolerance) {
		c.order.FirstSeen = at
	}
}

// stored returns the orders as the store holds them, sorted by service. The age of one known from before a restore is left
// out: it is sent with what is kept of that, as a host that considers it another order must not take it over.
func (o *orders) stored() []rollout.Order {
	all := []rollout.Order{}
	for _, c := range o.byService {
		if !c.keptUntil.IsZero() {
			continue
		}
		order := c.order
		if c.earlier != (earlierOrder{}) {
			order.FirstSeen = time.Time{}
		}
		all = append(all, order)
	}
	slices.SortFunc(all, func(a, b rollout.Order) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// find records that the store holds an order. appeared reports that the orders were current before, so that an order that
// was not there has just been written.
func (o *orders) find(found rollout.Order, appeared bool, now time.Time) {
	service := found.Service
	known, isKnown := o.byService[service]
	lost, isLost := o.replaced[service]
	switch {
	case isKnown && IsSameOrder(known.order, found):
		o.byService[service] = known.asStored(found)
		return
	case isLost && IsSameOrder(lost.order, found):
		o.end(service, found.Written.Era)
		o.byService[service] = lost.asStored(found)
		return
	case isKnown:
		o.end(service, found.Written.Era)
	}
	next := cachedOrder{order: found}
	if appeared && found.State() == rollout.StateNone {
		next.mergeFirstSeen(now)
	}
	o.byService[service] = next
}

// maxEnded limits the services whose end of an order is remembered, as other programs may write objects of any name.
const maxEnded = 4096

// end records that the order of a service has ended, or that it has none.
func (o *orders) end(service string, era uint64) {
	delete(o.byService, service)
	delete(o.replaced, service)
	if len(o.endedIn) >= maxEnded {
		clear(o.endedIn)
	}
	o.endedIn[service] = era
}

// keepLost keeps the orders that a list of a new era lacks, or in whose place it holds another one.
func (o *orders) keepLost(r OrderRead, now time.Time) {
	listed := map[string]rollout.Order{}
	for _, found := range r.Orders {
		listed[found.Service] = found
	}
	for service, known := range maps.Clone(o.byService) {
		found, ok := listed[service]
		if ok && IsSameOrder(known.order, found) {
			continue
		}
		known.keptUntil = now.Add(o.retention)
		o.byService[service] = known
		if ok {
			o.end(service, r.Revision.Era)
			o.replaced[service] = known
		}
	}
}

// wasCurrent reports whether the orders are current enough that one that appears now is new.
func (o *orders) wasCurrent(now time.Time) bool {
	return !o.synced.asOf.IsZero() && now.Sub(o.synced.asOf) <= o.currentFor
}

// confirm records that the cached orders are those at a revision, current at asOf.
func (o *orders) confirm(at revision.Revision, asOf time.Time) {
	o.synced.revision = revision.Later(o.synced.revision, at)
	if asOf.After(o.synced.asOf) {
		o.synced.asOf = asOf
	}
}

// ApplyOrders applies a full read of the orders that was current at asOf, and returns what has changed. A read older than
// the cached state confirms nothing; only what is known from it of the cached orders is used.
func (s *State) ApplyOrders(r OrderRead, asOf time.Time) []OrderChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyOrderRead(r, asOf)
	return s.refreshOrders()
}

// applyOrderRead is ApplyOrders without the notification. The caller holds the lock.
func (s *State) applyOrderRead(r OrderRead, asOf time.Time) {
	o := &s.orders
	if !o.enabled {
		return
	}
	if r.Revision.Before(o.synced.revision) {
		for _, older := range r.Orders {
			o.merge(older)
		}
		return
	}
	now := s.clock.Now()
	restored := !o.synced.revision.IsZero() && o.synced.revision.Era < r.Revision.Era
	appeared := o.wasCurrent(now) && !restored // an older copy may hold orders from before this host's state
	if restored {
		o.keepLost(r, now)
	}
	listed := map[string]bool{}
	for _, found := range r.Orders {
		listed[found.Service] = true
		o.find(found, appeared, now)
	}
	for service, known := range maps.Clone(o.byService) {
		if !listed[service] && known.keptUntil.IsZero() {
			o.end(service, r.Revision.Era)
		}
	}
	for _, u := range r.Unreadable {
		o.end(u.Service, r.Revision.Era)
	}
	o.historyStart = r.Revision
	o.confirm(r.Revision, asOf)
}

// merge takes over what another host knows of the cached order of a service from an earlier revision, or an earlier era:
// its age and there also its id and verdict. It ignores an order that was seen to end in a later era.
func (o *orders) merge(older rollout.Order) {
	known, ok := o.byService[older.Service]
	if !ok || o.endedIn[older.Service] > older.Written.Era || !IsSameOrder(older, known.order) {
		return
	}
	known.mergeFirstSeen(older.FirstSeen)
	switch {
	case older.Written.Era < known.order.Written.Era:
		known.earlier.merge(asEarlier(older))
	case older.Created.Era < older.Written.Era: // the other host knows it from before, so the state may be from there, too
		e := asEarlier(older)
		e.written = older.Created
		known.earlier.merge(e)
	}
	o.byService[older.Service] = known
}

// ApplyOrderChanges applies the changes since the cached revision and returns what they have changed here.
func (s *State) ApplyOrderChanges(c OrderChanges, asOf time.Time) []OrderChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &s.orders
	if !o.enabled || !o.synced.accepts(c.Revision) {
		return nil
	}
	now := s.clock.Now()
	appeared := o.wasCurrent(now)
	for _, change := range c.Changes {
		if change.Withdrawn {
			o.end(change.Service, c.Revision.Era)
			continue
		}
		o.find(change.Order, appeared, now)
	}
	if len(c.Changes) > 0 { // even if they cancel out: a peer may be at a revision in between
		o.historyStart = c.Revision
		s.wakePolls()
	}
	o.confirm(c.Revision, asOf)
	return s.refreshOrders()
}

// NoteOrderSeen records that an order was first seen at a time, by the clock of the state, or earlier. It is for what the
// host learns of the age of an order otherwise than from the updates of its peers.
func (s *State) NoteOrderSeen(id rollout.ID, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.orders.byService[id.Service]
	if !ok || known.asSeen().ID != id {
		return
	}
	known.mergeFirstSeen(at)
	s.orders.byService[id.Service] = known
	s.refreshOrders()
}

// Orders returns the rollout orders by service, which must not be modified, and when they were last confirmed to be
// current; the zero time if never.
func (s *State) Orders() (map[string]rollout.Order, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders.visible, s.orders.synced.asOf
}

// refreshOrders recomputes the visible orders, notifies the subscribers of any difference, or if the orders have just become
// known, and returns the differences other than in ages. The caller holds the lock.
func (s *State) refreshOrders() []OrderChange {
	o := &s.orders
	before := o.visible
	visible := make(map[string]rollout.Order, len(o.byService))
	for service, c := range o.byService {
		visible[service] = c.asSeen()
	}
	if maps.Equal(before, visible) {
		if !o.announced && !o.synced.asOf.IsZero() {
			o.announced = true
			s.notify()
		}
		return nil
	}
	o.announced = true
	o.visible = visible
	o.changeNumber = o.keptSeq.next()
	s.notify()
	return orderDifferences(before, visible)
}

// orderDifferences returns the differences other than in ages, sorted by service.
func orderDifferences(before, after map[string]rollout.Order) []OrderChange {
	var changes []OrderChange
	for service, order := range before {
		if _, ok := after[service]; !ok {
			changes = append(changes, OrderChange{Service: service, Order: order, Withdrawn: true})
		}
	}
	for service, order := range after {
		known, ok := before[service]
		known.FirstSeen = order.FirstSeen
		if !ok || known != order {
			changes = append(changes, OrderChange{Service: service, Order: order})
		}
	}
	slices.SortFunc(changes, func(a, b OrderChange) int { return strings.Compare(a.Service, b.Service) })
	return changes
}
