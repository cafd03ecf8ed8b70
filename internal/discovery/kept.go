package discovery

import (
	"cmp"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/routing"
)

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

// storedConfig is what is known of the configuration that the store holds, which may be older than the one in force.
type storedConfig struct {
	known   bool
	version uint64 // 0: the store holds none
	kept    uint64 // number of the one in force among what is kept; 0: the store holds it
	// told is set once a restore was seen or heard of: only then are peers told the version.
	told bool
}

// isBehind reports whether the store holds an older configuration than the one in force: it proves nothing of that one then,
// until the operator has written it again. The caller holds the lock.
func (s *State) isBehind() bool {
	return s.table != nil && s.stored.known && s.stored.version < s.table.Config.Version
}

// refreshKeptConfig keeps the configuration in force while the store holds an older one. The caller holds the lock.
func (s *State) refreshKeptConfig() {
	switch {
	case !s.isBehind():
		s.stored.kept = 0
	case s.stored.kept == 0:
		s.stored.kept = s.numbers.next()
		s.wakePeers()
	}
}

// applyConfigNews takes the configuration that a peer told, and the version that the store holds as far as the peer knows.
func (s *State) applyConfigNews(n News) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	read := ConfigRead{Revision: n.ConfigRevision}
	stored := n.StoredVersion
	if n.Config != nil {
		read.Config, read.Found = *n.Config, true
		stored = cmp.Or(stored, &n.Config.Version)
	}
	if n.ConfigRevision.Before(s.config.revision) {
		stored = nil
	}
	s.stored.told = s.stored.told || n.StoredVersion != nil
	return s.applyConfig(read, n.ConfigAsOf, stored)
}

const (
	// elderAge is how long a host must have run to know what the store may have lost: more than the age of its copy, and the time
	// that it was away.
	elderAge = 15 * time.Second
	// seekElderFor is for how long a host that starts asks others for one that has run for so long. What is kept over a restore
	// counts for about as long.
	seekElderFor = 6 * time.Second
	// seekWait is how long each of them may hold the question.
	seekWait = 50 * time.Millisecond
)

// seeksElder reports whether this host has just started, and no host that has run for long has told it what it keeps. Hosts that
// read the store alone, or hear of others that have just started, too, do not know what an older copy lacks.
func (s *State) seeksElder() bool {
	return !s.toldByElder.Load() && s.clock.Since(s.began) < seekElderFor
}
