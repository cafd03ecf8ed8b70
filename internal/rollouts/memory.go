package rollouts

import (
	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// memory is how orders ended that are no longer in this host's state. A store that is restored from
// an older copy may bring them back, without their verdict.
type memory struct {
	orders []endedOrder // oldest first
}

type endedOrder struct {
	order rollout.Order
	phase rollout.Phase
}

// remember notes how an order ended, and forgets the oldest one beyond maxRemembered.
func (m *memory) remember(o rollout.Order, p rollout.Phase) {
	m.orders = append(m.orders, endedOrder{o, p})
	if len(m.orders) > maxRemembered {
		m.orders = m.orders[1:]
	}
}

// phase returns how an order ended that is found in the store; PhaseWaiting if this host does not know.
// An order whose writing was seen is a new one, even if its version had an order before a restore.
func (m *memory) phase(found rollout.Order) rollout.Phase {
	for i := len(m.orders) - 1; i >= 0; i-- {
		ended := m.orders[i]
		if ended.order.ID == found.ID || found.FirstSeen.IsZero() && discovery.IsSameOrder(ended.order, found) {
			return ended.phase
		}
	}
	return rollout.PhaseWaiting
}
