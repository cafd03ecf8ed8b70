package catalog

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// propagationModel is a platform's history and a few hosts that receive it in
// responses, which may be delayed and reordered.
type propagationModel struct {
	history []objstore.Object // element i has revision i+1
	hosts   []*state
	pending []response
}

type response struct {
	to    int
	batch batch
}

const (
	modelHosts = 3
	modelNames = 3
)

func newPropagationModel() *propagationModel {
	m := &propagationModel{}
	for range modelHosts {
		m.hosts = append(m.hosts, emptyState())
	}
	return m
}

// objectsAt returns the revisions of the objects that existed at a revision, by name.
func (m *propagationModel) objectsAt(revision uint64) map[string]uint64 {
	existing := map[string]uint64{}
	for _, o := range m.history[:revision] {
		existing[o.Name] = o.Revision
		if o.Deleted {
			delete(existing, o.Name)
		}
	}
	return existing
}

func (m *propagationModel) change(t *rapid.T) {
	revision := uint64(len(m.history) + 1)
	s := testService(fmt.Sprint(rapid.IntRange(0, modelNames-1).Draw(t, "name")))
	s.Rules.Relays = int(revision)
	o := objstore.Object{Kind: objstore.KindService, Name: s.Name, Revision: revision, Value: encode(s)}
	if s.Name == "2" {
		snap := testSnapshot(1, int(revision), s)
		o.Kind, o.Name, o.Value = objstore.KindSnapshot, snap.ObjectName(), encode(snap)
	}
	_, exists := m.objectsAt(revision - 1)[o.Name]
	o.Deleted = exists && rapid.Bool().Draw(t, "delete")
	m.history = append(m.history, o)
}

func (m *propagationModel) drawHost(t *rapid.T) int {
	return rapid.IntRange(0, modelHosts-1).Draw(t, "host")
}

// watch makes a response with every change after the host's last one, in any order.
func (m *propagationModel) watch(t *rapid.T) {
	h := m.drawHost(t)
	after, now := m.hosts[h].complete, uint64(len(m.history))
	objects := rapid.Permutation(m.history[after:now]).Draw(t, "order")
	m.pending = append(m.pending, response{h, batch{after: after, complete: now, objects: objects}})
}

// list makes a response with all objects that exist now.
func (m *propagationModel) list(t *rapid.T) {
	m.pending = append(m.pending, response{m.drawHost(t), m.listAt(uint64(len(m.history)))})
}

func (m *propagationModel) listAt(revision uint64) batch {
	b := batch{complete: revision, floor: revision, full: true}
	for _, r := range m.objectsAt(revision) {
		b.objects = append(b.objects, m.history[r-1])
	}
	return b
}

// pull makes a response with one host's changes for another host.
func (m *propagationModel) pull(t *rapid.T) {
	to, from := m.drawHost(t), m.drawHost(t)
	b := batch{after: m.hosts[to].complete}
	b.addPage(m.hosts[from].page(b.after, b.after))
	m.pending = append(m.pending, response{to, b})
}

// deliver applies a random one of the pending responses. It drops the response
// if the host has restarted since its request and lacks earlier changes.
func (m *propagationModel) deliver(t *rapid.T) {
	if len(m.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "answer")
	a := m.pending[i]
	m.pending = slices.Delete(m.pending, i, i+1)
	before := m.hosts[a.to]
	next, _, err := before.apply(a.batch)
	if err != nil { // the host restarted after it sent the request
		return
	}
	m.checkMonotonic(t, before, next)
	m.hosts[a.to] = next
}

func (m *propagationModel) checkMonotonic(t *rapid.T, before, next *state) {
	if next.revision < before.revision || next.complete < before.complete {
		t.Fatalf("revision (complete) decreased from %d (%d) to %d (%d)", before.revision, before.complete, next.revision, next.complete)
	}
	for k, e := range before.entries {
		if now := next.entries[k]; now != nil && now.object.Revision < e.object.Revision {
			t.Fatalf("revision of %s decreased from %d to %d", k.name, e.object.Revision, now.object.Revision)
		}
	}
}

func (m *propagationModel) restart(t *rapid.T) { m.hosts[m.drawHost(t)] = emptyState() }

// forgetDeletions makes a host discard all deletions, as it does with the oldest
// ones beyond maxDeletions.
func (m *propagationModel) forgetDeletions(t *rapid.T) {
	h := m.drawHost(t)
	next := *m.hosts[h]
	next.entries = maps.Clone(next.entries)
	maps.DeleteFunc(next.entries, func(_ key, e *entry) bool {
		if e.object.Deleted {
			next.floor = max(next.floor, e.object.Revision)
		}
		return e.object.Deleted
	})
	m.hosts[h] = &next
}

// check compares every host with the platform's history: it must have exactly
// the objects that existed at the revision up to which it is complete.
func (m *propagationModel) check(t *rapid.T) {
	for i, s := range m.hosts {
		live := map[string]uint64{}
		for k, e := range s.entries {
			if !e.object.Deleted {
				live[k.name] = e.object.Revision
			}
		}
		if want := m.objectsAt(s.complete); !maps.Equal(live, want) {
			t.Fatalf("host %d has %v, but at revision %d the objects were %v", i, live, s.complete, want)
		}
		built, _, _ := emptyState().apply(m.listAt(s.complete))
		if got, want := fmt.Sprintf("%+v", s.view), fmt.Sprintf("%+v", built.view); got != want {
			t.Fatalf("view of host %d is %s, but rebuilt from a list it is %s", i, got, want)
		}
	}
}

func TestHostHoldsWhatStoodAtItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPropagationModel()
		t.Repeat(map[string]func(*rapid.T){
			"change": m.change, "change more": m.change,
			"watch": m.watch, "list": m.list, "pull": m.pull, "pull more": m.pull,
			"deliver": m.deliver, "deliver more": m.deliver, "deliver even more": m.deliver,
			"restart": m.restart, "forget": m.forgetDeletions,
			"": m.check,
		})
	})
}

// TestDelayedPullDeletesAnObjectReceivedMeanwhile guards against a deleted
// object that stays in force. An empty host requests a pull from a peer that has
// discarded a deletion, and receives the deleted object from the platform before
// the peer's response arrives. The model checker found this sequence.
func TestDelayedPullDeletesAnObjectReceivedMeanwhile(t *testing.T) {
	is := is.New(t)
	peer, _, err := emptyState().apply(batch{complete: 2, floor: 2, full: true})
	is.NoErr(err)
	var pulled batch
	pulled.addPage(peer.page(0, 0))
	created := objstore.Object{Kind: objstore.KindService, Name: "a", Revision: 1, Value: encode(testService("a"))}
	s, _, err := emptyState().apply(batch{complete: 1, objects: []objstore.Object{created}})
	is.NoErr(err)
	is.Equal(len(s.view.services), 1)
	s, _, err = s.apply(pulled)
	is.NoErr(err)
	is.Equal(len(s.view.services), 0)
}

// TestPagesOfAPullMakeOneBatch pulls a state that is larger than a page.
func TestPagesOfAPullMakeOneBatch(t *testing.T) {
	is := is.New(t)
	from := emptyState()
	b := batch{complete: 40}
	for i := range 40 {
		name := fmt.Sprint(i)
		s := testService(name)
		s.Change.Reason = string(make([]byte, pageBytes/60)) // six bytes each when encoded
		b.objects = append(b.objects, objstore.Object{
			Kind: objstore.KindService, Name: name, Revision: uint64(i + 1), Value: encode(s),
		})
	}
	from, _, err := from.apply(b)
	is.NoErr(err)
	got, pages, cursor := batch{}, 0, uint64(0)
	for more := true; more; pages++ {
		out := from.page(0, cursor)
		got.addPage(out)
		cursor, more = out.Objects[len(out.Objects)-1].Revision, out.More
	}
	is.True(pages > 2)
	to, _, err := emptyState().apply(got)
	is.NoErr(err)
	is.Equal(len(to.view.services), 40)
	is.Equal(to.revision, uint64(40))
}

func TestInvalidObjectIsNotApplied(t *testing.T) {
	is := is.New(t)
	object := func(revision uint64, value []byte) batch {
		o := objstore.Object{Kind: objstore.KindService, Name: "a", Version: revision, Revision: revision, Value: value}
		return batch{after: revision - 1, complete: revision, objects: []objstore.Object{o}}
	}
	s, _, err := emptyState().apply(object(1, encode(testService("a"))))
	is.NoErr(err)
	invalid := testService("a")
	invalid.Targets = nil
	for i, value := range [][]byte{[]byte("{"), encode(invalid), encode(testService("b"))} {
		var changed []*entry
		s, changed, err = s.apply(object(uint64(i+2), value))
		is.NoErr(err)
		is.True(changed[0].readErr != nil)
		is.Equal(s.revision, uint64(i+2))
		is.Equal(len(s.view.services[0].Targets), 3) // of the last valid version
	}
	fresh, _, err := emptyState().apply(object(1, []byte("{")))
	is.NoErr(err)
	is.Equal(len(fresh.view.services), 0)
}
