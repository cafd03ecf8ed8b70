package discovery

import (
	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// OrderRead is all rollout orders. The status of an order may belong to another version, see rollout.Order.State.
type OrderRead struct {
	Orders     []rollout.Order
	Unreadable []UnreadableOrder // objects that hold no readable order
	Revision   revision.Revision // of the store at the time of the read
}

// UnreadableOrder is an object that holds no readable order, for example one written by another program.
type UnreadableOrder struct {
	Service string // name of the object; empty if not even that can be read
	Problem string // why the order can't be read
}

// OrderChange is one change of the orders.
type OrderChange struct {
	Service   string
	Order     rollout.Order // unless Withdrawn is set
	Withdrawn bool          // there is no order for the service any more
	// Problem is set together with Withdrawn if the object exists but holds no readable order.
	Problem string
}

// OrderChanges is what changed since a revision.
type OrderChanges struct {
	Changes  []OrderChange
	Revision revision.Revision // from which the next watch starts
}

// IsSameOrder reports whether an order found in the store at a later time than the known one is the same order: it is of
// the same version, and its object was not created anew since. A restored store assigns revisions again, so over a restore
// the version alone counts.
func IsSameOrder(known, found rollout.Order) bool {
	if known.Service != found.Service || known.Version != found.Version {
		return false
	}
	if known.Written.Era != found.Written.Era || found.Created.Era < found.Written.Era {
		return true
	}
	// Had the object been created anew, that would have been after the last change known.
	return found.Created.Number <= known.Written.Number
}
