package objectstore

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/platform"
	"rhubarbwood.example/rhubarbwood/internal/standin"
)

type key struct{ kind, name string }

// Store is the platform's stand-in. Every method is safe for concurrent use.
type Store struct {
	cfg    Config
	rng    *standin.Rand
	counts counters
	writes *rate.Limiter // nil: no limit
	reads  *rate.Limiter

	mu            sync.Mutex
	objects       map[key]platform.Object
	history       []platform.Object // changes by ascending revision
	compacted     uint64            // changes up to this revision are gone
	revision      uint64
	changed       chan struct{} // closes at the next change
	faults        Faults
	faultsChanged chan struct{} // closes when the faults change
	release       chan struct{} // closes when waiting watches are to end
	hosts         []hostChange
}

// New returns a store with the seeds of the configuration, which must be
// valid. It starts no goroutine.
func New(cfg Config) *Store {
	s := &Store{
		cfg:           cfg,
		rng:           standin.NewRand(cfg.Seed),
		writes:        limiter(cfg.WriteRate),
		reads:         limiter(cfg.ReadRate),
		objects:       map[key]platform.Object{},
		changed:       make(chan struct{}),
		faults:        cfg.Faults,
		faultsChanged: make(chan struct{}),
		release:       make(chan struct{}),
	}
	for _, o := range cfg.Seeds.Objects {
		s.Apply(o.Kind, o.Name, o.Value)
	}
	for _, h := range cfg.Seeds.Hosts {
		s.hosts = append(s.hosts, hostChange{host: h})
	}
	return s
}

// limiter returns nil for no limit. A second's worth may come at once.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Now returns the platform's clock.
func (s *Store) Now() time.Time { return time.Now().Add(s.cfg.ClockOffset.Std()).UTC() }

// Apply writes the object whatever its version, past all faults and counters.
func (s *Store) Apply(kind, name string, value json.RawMessage) platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(key{kind, name}, value)
}

// Remove deletes the object whatever its version, past all faults and
// counters. It reports whether there was one.
func (s *Store) Remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key{kind, name}]
	if ok {
		s.deleteLocked(o)
	}
	return ok
}

// Objects returns all objects of the kinds, sorted by kind and name.
func (s *Store) Objects(kinds ...string) []platform.Object { return s.list(kinds).Objects }

// Object returns one object.
func (s *Store) Object(kind, name string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key{kind, name}]
	return o, ok
}

// Revision returns the revision of the newest change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Compact forgets all changes so far: a watch from before answers 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

func (s *Store) list(kinds []string) platform.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.Listing{Revision: s.revision, Objects: []platform.Object{}}
	for k, o := range s.objects {
		if slices.Contains(kinds, k.kind) {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b platform.Object) int {
		if c := strings.Compare(a.Kind, b.Kind); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return l
}

// put writes the object if it stands at the version, 0 meaning that there is
// none. It returns the object that stands afterwards and whether it wrote.
func (s *Store) put(k key, version uint64, value json.RawMessage) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur := s.objects[k]; cur.Version != version {
		return standing(k, cur), false
	}
	return s.writeLocked(k, value), true
}

// remove deletes the object if it stands at the version. It returns the
// deleted object, or the one that stands.
func (s *Store) remove(k key, version uint64) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.objects[k]
	if version == 0 || cur.Version != version {
		return standing(k, cur), false
	}
	return s.deleteLocked(cur), true
}

// standing names an object that is not there.
func standing(k key, o platform.Object) platform.Object {
	o.Kind, o.Name = k.kind, k.name
	return o
}

func (s *Store) writeLocked(k key, value json.RawMessage) platform.Object {
	now := s.Now()
	o, ok := s.objects[k]
	if !ok {
		o = platform.Object{Kind: k.kind, Name: k.name, Created: now}
	}
	s.revision++
	o.Version++
	o.Revision = s.revision
	o.Value = slices.Clone(value)
	o.Changed = now
	s.objects[k] = o
	s.recordLocked(o)
	return o
}

func (s *Store) deleteLocked(o platform.Object) platform.Object {
	delete(s.objects, key{o.Kind, o.Name})
	s.revision++
	o.Version++
	o.Revision = s.revision
	o.Value = nil
	o.Deleted = true
	o.Changed = s.Now()
	s.recordLocked(o)
	return o
}

// recordLocked adds the change to the history and wakes the watches.
func (s *Store) recordLocked(o platform.Object) {
	s.history = append(s.history, o)
	if over := len(s.history) - s.cfg.History; over > 0 && s.cfg.History > 0 {
		s.compacted = s.history[over-1].Revision
		s.history = slices.Delete(s.history, 0, over)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes of the kinds after the revision. It reports false
// if some of them are gone, or if the revision has not been reached. The
// channel closes at the next change.
func (s *Store) since(after uint64, kinds []string) (platform.Listing, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.Listing{Revision: s.revision, Objects: []platform.Object{}}
	if after < s.compacted || after > s.revision {
		return l, nil, false
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(o platform.Object, rev uint64) int {
		return int(o.Revision) - int(rev)
	})
	for _, o := range s.history[first:] {
		if slices.Contains(kinds, o.Kind) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, s.changed, true
}
