package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// kinds are the objects that make up the configuration.
var kinds = []string{objstore.KindService, objstore.KindSnapshot}

type key struct{ kind, name string }

func keyOf(o objstore.Object) key { return key{o.Kind, o.Name} }

// withOrdinals gives objects of the platform the ordinals of their revisions, by which states order them.
func withOrdinals(objects []objstore.Object) []objstore.Object {
	all := slices.Clone(objects)
	for i := range all {
		all[i].Revision = all[i].At().Ordinal()
	}
	return all
}

// entry is what is held of one object: the newest version as it was written,
// and the newest version that could be read. The object's revision is an ordinal. An entry never changes.
type entry struct {
	object   objstore.Object // Deleted: a deletion
	service  *Service        // as written, defaults not filled in
	snapshot *Snapshot
	problem  error     // why object can't be read; then the fields above are of an older version
	heard    time.Time // when this host heard of it
	lost     bool      // by the platform, which came back from an older copy: it is to be written again
}

// newEntry reads an object. If it can't be read, the content of the entry
// before it stays in force.
func newEntry(o objstore.Object, before *entry, now time.Time) *entry {
	e := &entry{object: o, heard: now}
	if o.Deleted {
		return e
	}
	switch o.Kind {
	case objstore.KindService:
		e.service, e.problem = readService(o)
	case objstore.KindSnapshot:
		e.snapshot, e.problem = readSnapshot(o)
	}
	if e.problem != nil && before != nil {
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
		return nil, Error.New("read snapshot %q: it calls itself %q", o.Name, s.ObjectName())
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

// intern lets equal target ids and equal lists of holders of a snapshot share
// their memory: a map has many shards and few targets.
func intern(s Snapshot) {
	ids := map[string]string{}
	for _, m := range s.Services {
		lists := map[string][]string{}
		for i, holders := range m.Shards {
			joined := ""
			for j, id := range holders {
				if _, ok := ids[id]; !ok {
					ids[id] = id
				}
				holders[j] = ids[id]
				joined += id + "\x00"
			}
			if _, ok := lists[joined]; !ok {
				lists[joined] = holders
			}
			m.Shards[i] = lists[joined]
		}
	}
}
