package objectstore

import (
	"maps"
	"slices"

	"rhubarbwood.example/rhubarbwood/platform"
)

// firstEra is the era of a store that was never restored.
const firstEra = 1

// Backup is a snapshot of the store's state.
type Backup struct {
	objects   map[key]platform.Object
	history   []change
	compacted uint64
	revision  uint64
}

// Backup returns a backup of the current state.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{objects: maps.Clone(s.objects), history: slices.Clone(s.history), compacted: s.compacted, revision: s.revision}
}

// Restore resets the store to a backup: later writes are lost, their revisions are assigned again,
// and the era increases by one. Pending watches are disconnected.
func (s *Store) Restore(c Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.history = maps.Clone(c.objects), slices.Clone(c.history)
	s.compacted, s.revision = c.compacted, c.revision
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns one more than the number of restores.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
