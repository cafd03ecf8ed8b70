package discovery

import "rhubarbwood.example/rhubarbwood/internal/routing"

// The store may come back from a copy that lacks what hosts know: targets that left, evacuations, the version in force. They
// keep that, and tell it to peers apart from what the store tells: a peer at the same revision may have read only the copy.

// keptNumbers numbers what a host keeps, so that peers are told each once.
type keptNumbers struct{ newest uint64 }

func (n *keptNumbers) next() uint64 {
	n.newest++
	return n.newest
}

// Kept is what a host tells others of what it keeps.
type Kept struct {
	Number      uint64 // of the newest
	Tombstones  []Tombstone
	Evacuations []KeptEvacuation
	Config      *routing.Config // nil: the store holds the one in force, or it was told before
}

// isEmpty reports whether it tells nothing.
func (k Kept) isEmpty() bool {
	return len(k.Tombstones) == 0 && len(k.Evacuations) == 0 && k.Config == nil
}

// keptSince returns what is kept after a number. A host that asks for the first time is told all tombstones: the store may come
// back from a copy before it has any of its own. The caller holds the lock.
func (s *State) keptSince(number uint64, first bool) Kept {
	k := Kept{
		Number: s.numbers.newest, Tombstones: s.tombstones.since(number, first), Evacuations: s.evacuations.keptSince(number),
	}
	if s.stored.kept > number {
		k.Config = &s.table.Config
	}
	return k
}
