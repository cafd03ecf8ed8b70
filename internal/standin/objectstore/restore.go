package objectstore

import (
	"maps"
	"slices"

	"rhubarbwood.example/rhubarbwood/platform"
)

// firstEra is that of a store that never came back from a copy.
const firstEra = 1

// Copy is the store as it stood at a moment.
type Copy struct {
	objects   map[key]platform.Object
	history   []change
	compacted uint64
	revision  uint64
}

// Copy returns the store as it stands.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{objects: maps.Clone(s.objects), history: slices.Clone(s.history), compacted: s.compacted, revision: s.revision}
}

// Restore puts the store back to what a copy holds: later writes are lost, their revisions are
// given out again, and the era rises by one. Watches that wait are cut.
func (s *Store) Restore(c Copy) {
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
