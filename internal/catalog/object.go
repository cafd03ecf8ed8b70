package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// kinds are the kinds of objects that make up the configuration.
var kinds = []string{objstore.KindService, objstore.KindSnapshot}

type key struct{ kind, name string }

func keyOf(o objstore.Object) key { return key{o.Kind, o.Name} }

// withOrdinals replaces the revisions of the platform's objects by ordinals that also contain the era; states compare
// objects by them.
func withOrdinals(objects []objstore.Object) []objstore.Object {
	all := slices.Clone(objects)
	for i := range all {
		all[i].Revision = all[i].At().Ordinal()
	}
	return all
}

// entry is the state of one object: its newest version as written, and the decoded content of the
// newest valid version. The object's revision is an ordinal. An entry is immutable.
type entry struct {
	object       objstore.Object // a deletion if Deleted is set
	service      *Service        // as written, without defaults filled in
	snapshot     *Snapshot
	readErr      error     // why object is invalid; then service and snapshot are of an older version
	receivedAt   time.Time // when this host received the object
	needsRewrite bool      // the platform lost the object in a restore from an older copy, so it has to be written again
}

// newEntry decodes an object. If the object is invalid, the content of the
// entry before it stays in force.
func newEntry(o objstore.Object, before *entry, now time.Time) *entry {
	e := &entry{object: o, receivedAt: now}
	if o.Deleted {
		return e
	}
	switch o.Kind {
	case objstore.KindService:
		e.service, e.readErr = readService(o)
	case objstore.KindSnapshot:
		e.snapshot, e.readErr = readSnapshot(o)
	}
	if e.readErr != nil && before != nil {
		e.service, e.snapshot = before.service, before.snapshot
	}
	return e
}

func readService(o objstore.Object) (*Service, error) {
	var s Service
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return nil, Error.New("read service %q: %w", o.Name, err)
	}
	if s.Name != o.Name {
		return nil, Error.New("read service %q: it calls itself %q", o.Name, s.Name)
	}
	if err := ValidateService(s); err != nil {
		return nil, Error.New("read service %q: %w", o.Name, err)
	}
	return &s, nil
}

func readSnapshot(o objstore.Object) (*Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return nil, Error.New("read snapshot %q: %w", o.Name, err)
	}
	if s.ObjectName() != o.Name {
		return nil, Error.New("read snapshot %q: its value is that of snapshot %q", o.Name, s.ObjectName())
	}
	var p problems
	p.snapshot(s)
	if err := errors.Join(p...); err != nil {
		return nil, Error.New("read snapshot %q: %w", o.Name, err)
	}
	intern(s)
	return &s, nil
}

// ObjectName returns the name of the snapshot's platform object.
func (s Snapshot) ObjectName() string { return fmt.Sprintf("%s.%d", s.Workload, s.ID) }

// intern makes equal target ids, and equal lists of a shard's targets, share
// memory within a snapshot: a shard map has many shards and few targets.
func intern(s Snapshot) {
	sharedIDs := map[string]string{}
	for _, m := range s.Services {
		sharedLists := map[string][]string{}
		for i, targetIDs := range m.Shards {
			joined := ""
			for j, id := range targetIDs {
				if _, ok := sharedIDs[id]; !ok {
					sharedIDs[id] = id
				}
				targetIDs[j] = sharedIDs[id]
				joined += id + "\x00"
			}
			if _, ok := sharedLists[joined]; !ok {
				sharedLists[joined] = targetIDs
			}
			m.Shards[i] = sharedLists[joined]
		}
	}
}
