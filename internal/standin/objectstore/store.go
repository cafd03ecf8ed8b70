package objectstore

import (
	"bytes"
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

// change is one entry of the change history.
type change struct {
	kind  string
	event platform.ObjectEvent
}

// Store is an in-memory stand-in for the platform's object store. All methods are safe for
// concurrent use.
type Store struct {
	cfg    Config
	rng    *standin.Rand
	counts counters
	writes *rate.Limiter // nil: no limit
	reads  *rate.Limiter

	mu            sync.Mutex
	objects       map[key]platform.Object
	history       []change // by ascending revision
	compacted     uint64   // changes up to this revision have been discarded
	revision      uint64
	era           uint64
	changed       chan struct{} // closed at the next change
	faults        Faults
	faultsChanged chan struct{} // closed when the faults change
	watchesEnded  chan struct{} // closed to end pending watches

	backups backups
}

// New returns a store that contains the seed objects of the configuration, which must be valid. It
// starts no goroutine.
func New(cfg Config) *Store {
	s := &Store{
		cfg:           cfg,
		rng:           standin.NewRand(cfg.Seed),
		writes:        newLimiter(cfg.WriteRate),
		reads:         newLimiter(cfg.ReadRate),
		objects:       map[key]platform.Object{},
		era:           firstEra,
		changed:       make(chan struct{}),
		faults:        cfg.Faults,
		faultsChanged: make(chan struct{}),
		watchesEnded:  make(chan struct{}),
	}
	for _, o := range cfg.Seeds.Objects {
		s.Apply(o.Kind, o.Name, o.Value)
	}
	return s
}

// newLimiter returns nil if there is no limit. The burst is the number of calls of one second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Now returns the current time of the platform's clock.
func (s *Store) Now() time.Time { return time.Now().Add(s.cfg.ClockOffset.Std()).UTC() }

// Apply writes the object regardless of its revision, bypassing faults and counters.
func (s *Store) Apply(kind, name string, spec json.RawMessage) platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(key{kind, name}, spec)
}

// Remove deletes the object regardless of its revision, bypassing faults and counters. It reports
// whether the object existed.
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

// Objects returns the decoded objects of the given kinds, sorted by kind and name.
func (s *Store) Objects(kinds ...string) []objstore.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []objstore.Object
	for k, o := range s.objects {
		if slices.Contains(kinds, k.kind) {
			all = append(all, decodeObject(k.kind, o))
		}
	}
	slices.SortFunc(all, func(a, b objstore.Object) int {
		return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
	})
	return all
}

// Object returns one decoded object.
func (s *Store) Object(kind, name string) (objstore.Object, bool) {
	o, ok := s.object(key{kind, name})
	if !ok {
		return objstore.Object{}, false
	}
	return decodeObject(kind, o), true
}

// decodeObject decodes a stored object. An object that cannot be decoded is returned without a
// value.
func decodeObject(kind string, o platform.Object) objstore.Object {
	opened, err := objstore.Decode(kind, objstore.Record{Name: o.Meta.Name, Revision: revision.Revision{Number: o.Meta.Revision}, Spec: o.Spec})
	if err != nil {
		return objstore.Object{Kind: kind, Name: o.Meta.Name}
	}
	return opened
}

func (s *Store) object(k key) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[k]
	return o, ok
}

// Revision returns the revision of the latest change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Compact discards the change history, so that a watch from an earlier revision gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// listPage returns a page of the objects of a kind whose names sort after the given one.
func (s *Store) listPage(kind, after string) platform.ObjectPage {
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

// create writes an object that must not exist yet.
func (s *Store) create(k key, spec json.RawMessage) (platform.Object, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.objects[k]; ok {
		return existing, http.StatusConflict
	}
	return s.writeLocked(k, spec), http.StatusOK
}

// replace overwrites an object whose current revision must match; revision 0 matches any.
func (s *Store) replace(k key, revision uint64, spec json.RawMessage) (platform.Object, int) {
	return s.updateAtRevision(k, revision, func() platform.Object { return s.writeLocked(k, spec) })
}

// replaceStatus overwrites the status of an object whose current revision must match; revision 0 matches any.
func (s *Store) replaceStatus(k key, revision uint64, status json.RawMessage) (platform.Object, int) {
	return s.updateAtRevision(k, revision, func() platform.Object {
		o := s.objects[k]
		if bytes.Equal(o.Status, status) {
			return o // unchanged
		}
		o.Status = slices.Clone(status)
		return s.recordWriteLocked(k, o)
	})
}

// remove deletes an object whose current revision must match; revision 0 matches any.
func (s *Store) remove(k key, revision uint64) (platform.Object, int) {
	return s.updateAtRevision(k, revision, func() platform.Object { return s.deleteLocked(k) })
}

// updateAtRevision applies a change to an object whose current revision must match; 0 matches any.
func (s *Store) updateAtRevision(k key, revision uint64, change func() platform.Object) (platform.Object, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, ok := s.objects[k]
	switch {
	case !ok:
		return existing, http.StatusNotFound
	case revision != 0 && existing.Meta.Revision != revision:
		return existing, http.StatusConflict
	}
	return change(), http.StatusOK
}

func (s *Store) writeLocked(k key, spec json.RawMessage) platform.Object {
	o, ok := s.objects[k]
	if ok && string(o.Spec) == string(spec) {
		return o // unchanged
	}
	if !ok {
		o.Meta = platform.ObjectMeta{Name: k.name, CreatedRev: s.revision + 1, Finalizers: []string{}}
	}
	o.Spec = slices.Clone(spec)
	return s.recordWriteLocked(k, o)
}

// recordWriteLocked stores a changed object at a new revision.
func (s *Store) recordWriteLocked(k key, o platform.Object) platform.Object {
	s.revision++
	o.Meta.Revision = s.revision
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

// recordLocked appends the change to the history and wakes pending watches.
func (s *Store) recordLocked(c change) {
	s.history = append(s.history, c)
	if over := len(s.history) - s.cfg.History; over > 0 && s.cfg.History > 0 {
		s.compacted = s.history[over-1].event.Object.Meta.Revision
		s.history = slices.Delete(s.history, 0, over)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesSince returns the changes of a kind after the revision. It returns false if some of them have
// been discarded or if the revision lies in the future. The channel is closed at the next change.
func (s *Store) changesSince(after uint64, kind string) (platform.ObjectEvents, <-chan struct{}, bool) {
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
