package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// maxDeletions is how many deletions are kept for peers that have not heard
// of them.
const maxDeletions = 1024

// state is the configuration at one moment. It never changes; apply returns
// the next one.
//
// Every change up to revision complete has been applied. Nothing at or before
// it is ever taken again, which is why an object can't go back: an answer that
// comes late, whoever sent it, holds nothing that is not in here already.
type state struct {
	revision uint64 // newest change applied; what the host reports
	complete uint64 // at least revision; grows also when nothing has changed
	floor    uint64 // every deletion after it is among the entries
	entries  map[key]*entry
	view     *view
}

func emptyState() *state { return &state{view: &view{snapshots: map[string][]Snapshot{}}} }

// batch is a set of changes from the platform or a peer.
type batch struct {
	after    uint64 // it holds every change after this revision; 0 for a list
	revision uint64 // newest change known to the sender
	complete uint64 // up to this revision
	floor    uint64 // the sender knows every deletion after this revision
	full     bool   // objects neither in objects nor in held, unchanged since after, are gone
	objects  []objstore.Object
	held     []key
	at       time.Time // by the host's clock
}

// apply returns the state with the batch applied and the entries that it
// changed. A batch that holds nothing new leaves the state as it is.
func (s *state) apply(b batch) (*state, []*entry, error) {
	if b.complete <= s.complete {
		return s, nil, nil
	}
	if b.after > s.complete {
		return s, nil, errGap
	}
	next := &state{
		revision: max(s.revision, b.revision),
		complete: b.complete,
		floor:    s.floor,
		entries:  maps.Clone(s.entries),
	}
	if next.entries == nil {
		next.entries = map[key]*entry{}
	}
	changed := next.put(b, s.complete)
	if b.full {
		changed = append(changed, next.removeAllBut(b)...)
	}
	if b.full {
		next.floor = max(s.floor, b.floor)
	}
	if len(changed) == 0 {
		next.view = s.view
		return next, nil, nil
	}
	next.forgetDeletions()
	next.view = s.view.with(changed)
	return next, changed, nil
}

// put takes the objects that changed after the given revision. An answer may
// hold several changes of one object, in any order.
func (s *state) put(b batch, after uint64) []*entry {
	var changed []*entry
	for _, o := range b.objects {
		held := s.entries[keyOf(o)]
		if o.Revision <= after || held != nil && o.Revision <= held.object.Revision {
			continue
		}
		e := newEntry(o, held, b.at)
		if held.succeeds(o, b.at) {
			e = held.keptOver(o.Version, o.Revision)
		}
		s.entries[keyOf(o)] = e
		s.revision = max(s.revision, o.Revision)
		changed = append(changed, e)
	}
	return changed
}

// removeAllBut deletes what the batch, which names all objects, does not
// name, but for what the platform may have lost. The revision of the deletion is not known; that of the batch is the
// latest that it can be.
func (s *state) removeAllBut(b batch) []*entry {
	named := map[key]bool{}
	for _, o := range b.objects {
		named[keyOf(o)] = true
	}
	for _, k := range b.held {
		named[k] = true
	}
	var removed []*entry
	for k, e := range s.entries {
		if named[k] || e.object.Deleted {
			continue
		}
		if e.mayBeLost(b.complete, b.at) {
			s.entries[k] = e.keptOver(0, b.complete)
			s.revision = b.complete
			removed = append(removed, s.entries[k])
			continue
		}
		gone := objstore.Object{Kind: k.kind, Name: k.name, Version: e.object.Version, Revision: b.complete, Deleted: true}
		s.entries[k] = &entry{object: gone}
		s.revision = b.complete
		removed = append(removed, s.entries[k])
	}
	return removed
}

// forgetDeletions drops the oldest deletions above the bound and raises the
// floor over them.
func (s *state) forgetDeletions() {
	var deletions []*entry
	for _, e := range s.entries {
		if e.object.Deleted {
			deletions = append(deletions, e)
		}
	}
	over := len(deletions) - maxDeletions
	if over <= 0 {
		return
	}
	slices.SortFunc(deletions, byRevision)
	for _, e := range deletions[:over] {
		delete(s.entries, keyOf(e.object))
		s.floor = max(s.floor, e.object.Revision)
	}
}

// since returns the entries that changed after the revision, oldest first.
func (s *state) since(revision uint64) []*entry {
	var changed []*entry
	for _, e := range s.entries {
		if e.object.Revision > revision {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, byRevision)
	return changed
}

func byRevision(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.object.Revision, b.object.Revision),
		cmp.Compare(a.object.Kind, b.object.Kind),
		cmp.Compare(a.object.Name, b.object.Name),
	)
}
