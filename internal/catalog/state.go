package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// maxDeletions is the number of deletions kept for peers that have not received
// them.
const maxDeletions = 1024

// state is the configuration of a host at one moment. It is immutable; apply
// returns the next one.
//
// Every change up to revision complete has been applied. A change at or before
// complete is never applied again, so no object can return to an older version:
// a late response, whoever sent it, contains nothing that is not applied already.
type state struct {
	revision uint64 // newest change applied; reported to other hosts
	complete uint64 // at least revision; also grows when no object of the configuration has changed
	floor    uint64 // all deletions after this revision are in entries; earlier ones may have been discarded
	entries  map[key]*entry
	view     *view
}

func emptyState() *state { return &state{view: &view{snapshots: map[string][]Snapshot{}}} }

// batch is a set of changes received from the platform or a peer.
type batch struct {
	after      uint64 // the batch contains all changes after this revision; 0 for a list
	revision   uint64 // newest change known to the sender
	complete   uint64 // the batch contains all changes up to this revision
	floor      uint64 // the sender keeps all deletions after this revision
	full       bool   // the batch names all existing objects: one that is neither in objects nor in unchanged was deleted
	objects    []objstore.Object
	unchanged  []key
	receivedAt time.Time // by this host's clock
}

// apply returns the state with the batch applied, and the entries that changed.
// For a batch that is not newer than the state it returns the state itself.
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
	changed := next.putObjects(b, s.complete)
	if b.full {
		changed = append(changed, next.deleteUnnamed(b)...)
	}
	if b.full {
		next.floor = max(s.floor, b.floor)
	}
	if len(changed) == 0 {
		next.view = s.view
		return next, nil, nil
	}
	next.forgetDeletions()
	next.view = s.view.withChanges(changed)
	return next, changed, nil
}

// putObjects stores the objects of the batch that changed after the given
// revision. A batch may contain several changes of one object, in any order.
func (s *state) putObjects(b batch, after uint64) []*entry {
	var changed []*entry
	for _, o := range b.objects {
		current := s.entries[keyOf(o)]
		if o.Revision <= after || current != nil && o.Revision <= current.object.Revision {
			continue
		}
		e := newEntry(o, current, b.receivedAt)
		if current.isSuccessorOf(o, b.receivedAt) {
			e = current.rebasedOn(o.Version, o.Revision)
		}
		s.entries[keyOf(o)] = e
		s.revision = max(s.revision, o.Revision)
		changed = append(changed, e)
	}
	return changed
}

// deleteUnnamed deletes the objects that a full batch does not name, except
// those that the platform may have lost, which are to be written again. The revision of a
// deletion is unknown; the batch's complete revision, the latest possible one, is used.
func (s *state) deleteUnnamed(b batch) []*entry {
	named := map[key]bool{}
	for _, o := range b.objects {
		named[keyOf(o)] = true
	}
	for _, k := range b.unchanged {
		named[k] = true
	}
	var removed []*entry
	for k, e := range s.entries {
		if named[k] || e.object.Deleted {
			continue
		}
		if e.mayBeLost(b.complete, b.receivedAt) {
			s.entries[k] = e.rebasedOn(0, b.complete)
			s.revision = b.complete
			removed = append(removed, s.entries[k])
			continue
		}
		deletion := objstore.Object{Kind: k.kind, Name: k.name, Version: e.object.Version, Revision: b.complete, Deleted: true}
		s.entries[k] = &entry{object: deletion}
		s.revision = b.complete
		removed = append(removed, s.entries[k])
	}
	return removed
}

// forgetDeletions discards the oldest deletions beyond maxDeletions and raises
// the floor accordingly.
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

// changedSince returns the entries that changed after the revision, oldest first.
func (s *state) changedSince(revision uint64) []*entry {
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
