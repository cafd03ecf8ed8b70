package discovery

import (
	"maps"

	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// A restored store may lack the newest orders and verdicts. An order that is missing in it is kept like an evacuation, until
// the operator writes it again or for a limited time. Of an order that is in it, the id and a verdict are kept until the
// store holds another order, so that the verdict can be written again. Peers get both as orders that were last changed in
// an earlier era than that of the list they come with.

// kept returns the orders that the store lacks after a restore, and what is known from before it of those that it holds.
func (o *orders) kept() []rollout.Order {
	var all []rollout.Order
	for _, c := range o.byService {
		order := c.asSeen()
		switch {
		case !c.keptUntil.IsZero():
		case c.earlier != earlierOrder{}:
			order.Written, order.Status = c.earlier.written, rollout.Status{}
			if c.earlier.state != rollout.StateNone {
				order.Status = rollout.Status{State: c.earlier.state, Version: order.Version}
			}
		default:
			continue
		}
		all = append(all, order)
	}
	return all
}

// since returns the orders as the store holds them and the kept ones, if any of them changed after the cursor; otherwise
// the first is nil.
func (o *orders) since(cursor Cursor) (stored, kept []rollout.Order) {
	if o.synced.revision.IsZero() || !cursor.RolloutRevision.Before(o.historyStart) && cursor.KeptNumber >= o.changeNumber {
		return nil, nil
	}
	return o.stored(), o.kept()
}

// ExpireOrders ends kept orders that were not written again in time, and returns what has changed. A host that was
// suspended keeps them until it has read the orders again.
func (s *State) ExpireOrders() []OrderChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &s.orders
	for service, c := range maps.Clone(o.byService) {
		if !c.keptUntil.IsZero() && !o.synced.asOf.Before(c.keptUntil) {
			o.end(service, o.synced.revision.Era)
		}
	}
	maps.DeleteFunc(o.replaced, func(_ string, c cachedOrder) bool { return !o.synced.asOf.Before(c.keptUntil) })
	return s.refreshOrders()
}

// applyKeptOrders applies the kept orders of a peer. The caller holds the lock.
func (s *State) applyKeptOrders(all []rollout.Order) {
	o := &s.orders
	era := o.synced.revision.Era
	for _, received := range all {
		if !o.enabled || received.Written.Era >= era || o.endedIn[received.Service] > received.Written.Era {
			continue // the store is authoritative for its own era, and so is the end of an order in a later one
		}
		known, ok := o.byService[received.Service]
		switch {
		case !ok:
			o.byService[received.Service] = cachedOrder{order: received, keptUntil: s.clock.Now().Add(o.retention)}
		case !known.keptUntil.IsZero() && known.order.Written.Before(received.Written):
			next := cachedOrder{order: received}
			if IsSameOrder(known.order, received) {
				next = known.asStored(received)
			}
			next.keptUntil = known.keptUntil
			o.byService[received.Service] = next
		default:
			o.merge(received)
		}
	}
}

// applyOrderUpdate applies the orders in an update and returns what has changed. A peer that doesn't follow orders sends
// none.
func (s *State) applyOrderUpdate(u Update) []OrderChange {
	if u.RolloutRevision.IsZero() {
		return nil
	}
	if u.Orders == nil {
		return s.ApplyOrderChanges(OrderChanges{Revision: u.RolloutRevision}, u.RolloutsAsOf)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyOrderRead(OrderRead{Orders: u.Orders, Revision: u.RolloutRevision}, u.RolloutsAsOf)
	s.applyKeptOrders(u.Kept.Orders) // in the same step, so that no verdict is missing in between
	return s.refreshOrders()
}
