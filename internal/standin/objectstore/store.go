package objectstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/revision"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/platform"
)

type key struct{ kind, name string }

// change is one change to an object.
type change struct {
	kind  string
	event platform.ObjectEvent
}

// Store is the platform's stand-in. Every method is safe for concurrent use.
type Store struct {
	cfg    Config
	rng    *standin.Rand
	counts counters
	writes *rate.Limiter // nil: no limit
	reads  *rate.Limiter

	mu            sync.Mutex
	objects       map[key]platform.Object
	history       []change // by ascending revision
	compacted     uint64   // changes up to this revision are gone
	revision      uint64
	era           uint64
	changed       chan struct{} // closes at the next change
	faults        Faults
	faultsChanged chan struct{} // closes when the faults change
	release       chan struct{} // closes when waiting watches are to end

	copies copies
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
		era:           firstEra,
		changed:       make(chan struct{}),
		faults:        cfg.Faults,
		faultsChanged: make(chan struct{}),
		release:       make(chan struct{}),
	}
	for _, o := range cfg.Seeds.Objects {
		s.Apply(o.Kind, o.Name, o.Value)
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

// Apply writes the object whatever its revision, past all faults and counters.
func (s *Store) Apply(kind, name string, spec json.RawMessage) platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(key{kind, name}, spec)
}

// Remove deletes the object whatever its revision, past all faults and
// counters. It reports whether there was one.
func (s *Store) Remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{kind, name}
	_, ok := s.objects[k]
	if ok {
		s.deleteLocked(k)
	}
	return ok
}

// Objects returns the product's objects of the kinds, sorted by kind and name.
func (s *Store) Objects(kinds ...string) []objstore.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []objstore.Object
	for k, o := range s.objects {
		if slices.Contains(kinds, k.kind) {
			all = append(all, open(k.kind, o))
		}
	}
	slices.SortFunc(all, func(a, b objstore.Object) int {
		return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
	})
	return all
}

// Object returns one of the product's objects.
func (s *Store) Object(kind, name string) (objstore.Object, bool) {
	o, ok := s.record(key{kind, name})
	if !ok {
		return objstore.Object{}, false
	}
	return open(kind, o), true
}

// open returns the product's object in a record; one that can't be read has
// no value.
func open(kind string, o platform.Object) objstore.Object {
	opened, err := objstore.Open(kind, objstore.Record{Name: o.Meta.Name, Revision: revision.Revision{Number: o.Meta.Revision}, Spec: o.Spec})
	if err != nil {
		return objstore.Object{Kind: kind, Name: o.Meta.Name}
	}
	return opened
}

func (s *Store) record(k key) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[k]
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

// page returns the objects of a kind that follow a name.
func (s *Store) page(kind, after string) platform.ObjectPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := platform.ObjectPage{CurrentRev: s.revision, Items: []platform.Object{}}
	for k, o := range s.objects {
		if k.kind == kind && k.name > after {
			p.Items = append(p.Items, o)
		}
	}
	slices.SortFunc(p.Items, func(a, b platform.Object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	if len(p.Items) > s.cfg.Page {
		p.Items, p.HasMore = p.Items[:s.cfg.Page], true
	}
	return p
}

// create writes an object that must not exist.
func (s *Store) create(k key, spec json.RawMessage) (platform.Object, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if standing, ok := s.objects[k]; ok {
		return standing, http.StatusConflict
	}
	return s.writeLocked(k, spec), http.StatusOK
}

// replace writes an object that must stand at the revision; 0 is any.
func (s *Store) replace(k key, revision uint64, spec json.RawMessage) (platform.Object, int) {
	return s.changeAt(k, revision, func() platform.Object { return s.writeLocked(k, spec) })
}

// remove deletes an object that must stand at the revision; 0 is any.
func (s *Store) remove(k key, revision uint64) (platform.Object, int) {
	return s.changeAt(k, revision, func() platform.Object { return s.deleteLocked(k) })
}

// changeAt makes a change to an object that must stand at the revision.
func (s *Store) changeAt(k key, revision uint64, change func() platform.Object) (platform.Object, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing, ok := s.objects[k]
	switch {
	case !ok:
		return standing, http.StatusNotFound
	case revision != 0 && standing.Meta.Revision != revision:
		return standing, http.StatusConflict
	}
	return change(), http.StatusOK
}

func (s *Store) writeLocked(k key, spec json.RawMessage) platform.Object {
	o, ok := s.objects[k]
	if ok && string(o.Spec) == string(spec) {
		return o // nothing changes
	}
	s.revision++
	if !ok {
		o.Meta = platform.ObjectMeta{Name: k.name, CreatedRev: s.revision, Finalizers: []string{}}
	}
	o.Meta.Revision = s.revision
	o.Spec = slices.Clone(spec)
	s.objects[k] = o
	s.recordLocked(change{k.kind, platform.ObjectEvent{Object: o}})
	return o
}

func (s *Store) deleteLocked(k key) platform.Object {
	o := s.objects[k]
	delete(s.objects, k)
	s.revision++
	o.Meta.Revision = s.revision
	s.recordLocked(change{k.kind, platform.ObjectEvent{Object: o, Deleted: true}})
	return o
}

// recordLocked adds the change to the history and wakes the watches.
func (s *Store) recordLocked(c change) {
	s.history = append(s.history, c)
	if over := len(s.history) - s.cfg.History; over > 0 && s.cfg.History > 0 {
		s.compacted = s.history[over-1].event.Object.Meta.Revision
		s.history = slices.Delete(s.history, 0, over)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes of a kind after the revision. It reports false if
// some of them are gone, or if the revision has not been reached. The channel
// closes at the next change.
func (s *Store) since(after uint64, kind string) (platform.ObjectEvents, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := platform.ObjectEvents{CurrentRev: s.revision, Events: []platform.ObjectEvent{}}
	if after < s.compacted || after > s.revision {
		return e, nil, false
	}
	for _, c := range s.history {
		if c.kind == kind && c.event.Object.Meta.Revision > after {
			e.Events = append(e.Events, c.event)
		}
	}
	return e, s.changed, true
}
