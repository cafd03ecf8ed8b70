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

// machine is a platform's history and a few hosts that learn of it by answers
// that may come late and in any order.
type machine struct {
	history []objstore.Object // change i has revision i+1
	hosts   []*state
	late    []answer
}

type answer struct {
	to int
	b  batch
}

const (
	machineHosts = 3
	machineNames = 3
)

func newMachine() *machine {
	m := &machine{}
	for range machineHosts {
		m.hosts = append(m.hosts, emptyState())
	}
	return m
}

// at returns the objects that stood at a revision, by name.
func (m *machine) at(revision uint64) map[string]uint64 {
	stood := map[string]uint64{}
	for _, o := range m.history[:revision] {
		stood[o.Name] = o.Revision
		if o.Deleted {
			delete(stood, o.Name)
		}
	}
	return stood
}

func (m *machine) change(t *rapid.T) {
	revision := uint64(len(m.history) + 1)
	s := testService(fmt.Sprint(rapid.IntRange(0, machineNames-1).Draw(t, "name")))
	s.Rules.Relays = int(revision)
	o := objstore.Object{Kind: objstore.KindService, Name: s.Name, Revision: revision, Value: encode(s)}
	if s.Name == "2" {
		snap := testSnapshot(1, int(revision), s)
		o.Kind, o.Name, o.Value = objstore.KindSnapshot, snap.ObjectName(), encode(snap)
	}
	_, stands := m.at(revision - 1)[o.Name]
	o.Deleted = stands && rapid.Bool().Draw(t, "delete")
	m.history = append(m.history, o)
}

func (m *machine) host(t *rapid.T) int { return rapid.IntRange(0, machineHosts-1).Draw(t, "host") }

// watch answers with every change after the host's last one, as of now, in
// any order.
func (m *machine) watch(t *rapid.T) {
	h := m.host(t)
	after, now := m.hosts[h].complete, uint64(len(m.history))
	objects := rapid.Permutation(m.history[after:now]).Draw(t, "order")
	m.late = append(m.late, answer{h, batch{after: after, complete: now, objects: objects}})
}

// list answers with what stands now.
func (m *machine) list(t *rapid.T) {
	m.late = append(m.late, answer{m.host(t), m.listAt(uint64(len(m.history)))})
}

func (m *machine) listAt(revision uint64) batch {
	b := batch{complete: revision, floor: revision, full: true}
	for _, r := range m.at(revision) {
		b.objects = append(b.objects, m.history[r-1])
	}
	return b
}

// pull answers with one host's changes for another.
func (m *machine) pull(t *rapid.T) {
	to, from := m.host(t), m.host(t)
	b := batch{after: m.hosts[to].complete}
	b.addPage(m.hosts[from].page(b.after, b.after))
	m.late = append(m.late, answer{to, b})
}

// deliver lets any of the answers under way arrive, or be lost.
func (m *machine) deliver(t *rapid.T) {
	if len(m.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "answer")
	a := m.late[i]
	m.late = slices.Delete(m.late, i, i+1)
	before := m.hosts[a.to]
	next, _, err := before.apply(a.b)
	if err != nil { // of a host that restarted since it asked
		return
	}
	m.notBack(t, before, next)
	m.hosts[a.to] = next
}

func (m *machine) notBack(t *rapid.T, before, next *state) {
	if next.revision < before.revision || next.complete < before.complete {
		t.Fatalf("went back from revision %d (%d) to %d (%d)", before.revision, before.complete, next.revision, next.complete)
	}
	for k, e := range before.entries {
		if now := next.entries[k]; now != nil && now.object.Revision < e.object.Revision {
			t.Fatalf("%s went back from revision %d to %d", k.name, e.object.Revision, now.object.Revision)
		}
	}
}

func (m *machine) restart(t *rapid.T) { m.hosts[m.host(t)] = emptyState() }

// forget lets a host drop the deletions that it knows, as it does above a bound.
func (m *machine) forget(t *rapid.T) {
	h := m.host(t)
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

// check holds every host to the platform's history: it has exactly what stood
// at the revision up to which it says that it is complete.
func (m *machine) check(t *rapid.T) {
	for i, s := range m.hosts {
		held := map[string]uint64{}
		for k, e := range s.entries {
			if !e.object.Deleted {
				held[k.name] = e.object.Revision
			}
		}
		if want := m.at(s.complete); !maps.Equal(held, want) {
			t.Fatalf("host %d holds %v, at revision %d stood %v", i, held, s.complete, want)
		}
		built, _, _ := emptyState().apply(m.listAt(s.complete))
		if got, want := fmt.Sprintf("%+v", s.view), fmt.Sprintf("%+v", built.view); got != want {
			t.Fatalf("host %d shows %s, built anew it is %s", i, got, want)
		}
	}
}

func TestHostHoldsWhatStoodAtItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"change": m.change, "change more": m.change,
			"watch": m.watch, "list": m.list, "pull": m.pull, "pull more": m.pull,
			"deliver": m.deliver, "deliver more": m.deliver, "deliver even more": m.deliver,
			"restart": m.restart, "forget": m.forget,
			"": m.check,
		})
	})
}

// TestPullMeetsAChangeOnItsWay is a run that spin found: a host with nothing
// asks a peer that has forgotten a deletion, and takes the deleted object from
// the platform before the peer's answer arrives.
func TestPullMeetsAChangeOnItsWay(t *testing.T) {
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

// TestPagesMakeOneAnswer pulls a state larger than a page.
func TestPagesMakeOneAnswer(t *testing.T) {
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

func TestUnreadableObjectIsKeptOut(t *testing.T) {
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
		is.Equal(len(s.view.services[0].Targets), 3) // the last good version
	}
	fresh, _, err := emptyState().apply(object(1, []byte("{")))
	is.NoErr(err)
	is.Equal(len(fresh.view.services), 0)
}
