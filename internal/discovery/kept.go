package discovery

import (
	"rhubarbwood.example/rhubarbwood/internal/rollout"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// After a restore the store may lack what hosts have seen: the removal of targets, evacuations,
// rollout orders, the configuration in force. Hosts keep this state and send it to peers separately from the state read
// from the store, as a peer at the same revision may have read the restored copy only.

// keptSequence numbers the kept state of a host, so that each peer gets each item once.
type keptSequence struct{ last uint64 }

func (n *keptSequence) next() uint64 {
	n.last++
	return n.last
}

// Kept is the kept state that a host sends to a peer.
type Kept struct {
	Number      uint64 // sequence number of the newest item
	Tombstones  []Tombstone
	Evacuations []KeptEvacuation
	Orders      []rollout.Order // sent with all orders that the store holds, or not at all
	Config      *routing.Config // nil: the store holds the one in force, or the peer already has it
}

// isEmpty reports whether there is nothing to send.
func (k Kept) isEmpty() bool {
	return len(k.Tombstones) == 0 && len(k.Evacuations) == 0 && k.Config == nil
}

// keptSince returns the state kept after a sequence number. The first poll of a host gets all
// tombstones, as the store may be restored before the host has any of its own. The caller holds the
// lock.
func (s *State) keptSince(number uint64, first bool) Kept {
	k := Kept{
		Number: s.keptSeq.last, Tombstones: s.tombstones.since(number, first), Evacuations: s.evacuations.keptSince(number),
	}
	if s.storedConfig.keptNumber > number {
		k.Config = &s.table.Config
	}
	return k
}
