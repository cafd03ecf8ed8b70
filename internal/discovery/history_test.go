package discovery

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// registryLog is the registry of a store with all that ever happened to it.
type registryLog struct {
	revision    uint64
	compactedTo uint64 // the changes up to this revision can't be watched any more
	events      []revisedChange
}

func (r *registryLog) write(c TargetChange) {
	r.revision++
	r.events = append(r.events, revisedChange{at(r.revision), c})
}

// at returns the registered targets as of a revision.
func (r *registryLog) at(revision uint64) map[string]Target {
	held := map[string]Target{}
	for _, e := range r.events {
		switch {
		case e.revision.Number > revision:
		case e.change.Gone:
			delete(held, e.change.Target.ID)
		default:
			held[e.change.Target.ID] = e.change.Target
		}
	}
	return held
}

// list is the answer to a reading that began at a revision: what a later page holds may be newer.
func (r *registryLog) list(began uint64, lastPageFrom string) TargetList {
	l := TargetList{Revision: at(began)}
	first, last := r.at(began), r.at(r.revision)
	for _, id := range targetNames {
		held := first
		if id >= lastPageFrom {
			held = last
		}
		if t, ok := held[id]; ok {
			l.Targets = append(l.Targets, t)
		}
	}
	return l
}

// watch is the answer to a watch from a revision: of each target that changed since, the last change.
func (r *registryLog) watch(after uint64) (TargetChanges, error) {
	if after < r.compactedTo {
		return TargetChanges{}, ErrHistoryGone
	}
	newest := map[string]TargetChange{}
	for _, e := range r.events {
		if e.revision.Number > after {
			newest[e.change.Target.ID] = e.change
		}
	}
	changes := TargetChanges{Revision: at(r.revision)}
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		changes.Changes = append(changes.Changes, newest[id])
	}
	return changes, nil
}

var targetNames = []string{"a", "b"}

// heldAtOrAfter reports whether the registry held what a host believes of a target at the host's revision or later.
func (r *registryLog) heldAtOrAfter(revision uint64, id string, believed Target, known bool) bool {
	for at := revision; at <= r.revision; at++ {
		held, ok := r.at(at)[id]
		if ok == known && held == believed {
			return true
		}
	}
	return false
}

// Seven hosts, three of which were restarted; one of these watched the store for all. While they were
// away the registrations of eight targets were removed. The host that watches read the registry anew, and
// answered the four that had gone on with the 85 targets that it had read, as if those were all that had
// changed since their revision. They took its revision for theirs, and two of them sent requests to a removed
// target 3.4 s later. No line "target_gone" of the eight was ever logged by the four.
func TestRemovalsBeforeAHostsFirstReadingReachItsPeers(t *testing.T) {
	is := is.New(t)
	before := NewState()
	before.ApplyTargets(TargetList{Targets: []Target{{ID: "left"}, {ID: "drained"}, {ID: "stays"}}, Revision: at(315)}, time.Now())

	started := NewState()
	started.ApplyTargets(TargetList{Targets: []Target{{ID: "drained", Draining: true}, {ID: "stays"}}, Revision: at(322)}, time.Now())
	update, _ := started.updateSince(before.Cursor())
	changes := before.ApplyUpdate(update).Targets

	is.Equal(ids(before), []string{"drained", "stays"})
	is.Equal(len(changes), 2) // one is draining, one is gone
}

// A host that had to read everything anew, as the store had dropped its history, never saw a target that
// came and went in between. A peer that did see it come holds a revision in between.
func TestTargetThatCameAndWentBetweenTwoReadingsIsGoneAtPeers(t *testing.T) {
	is := is.New(t)
	reader, peer := NewState(), NewState()
	for _, s := range []*State{reader, peer} {
		s.ApplyTargets(TargetList{Targets: []Target{{ID: "stays"}}, Revision: at(100)}, time.Now())
	}
	peer.ApplyChanges(TargetChanges{Changes: additionOf("short"), Revision: at(120)}, time.Now())
	reader.ApplyTargets(TargetList{Targets: []Target{{ID: "stays"}}, Revision: at(140)}, time.Now())
	update, _ := reader.updateSince(peer.Cursor())
	peer.ApplyUpdate(update)
	is.Equal(ids(peer), []string{"stays"})
}

// A watch tells the last change of each target only. A host that is told of a removal without having heard
// of the target passes it on: a peer may have.
func TestRemovalOfATargetNeverHeardOfIsPassedOn(t *testing.T) {
	is := is.New(t)
	watcher, peer := NewState(), NewState()
	for _, s := range []*State{watcher, peer} {
		s.ApplyTargets(TargetList{Targets: []Target{{ID: "stays"}}, Revision: at(100)}, time.Now())
	}
	peer.ApplyChanges(TargetChanges{Changes: additionOf("short"), Revision: at(120)}, time.Now())
	watcher.ApplyChanges(TargetChanges{Changes: removalOf("short"), Revision: at(140)}, time.Now())
	update, _ := watcher.updateSince(peer.Cursor())
	peer.ApplyUpdate(update)
	is.Equal(ids(peer), []string{"stays"})
}

// The last page of a long list is newer than the revision of the list. What the watch tells after it changes
// nothing here, and is news to a peer all the same.
func TestChangeSeenEarlyInALaterPageIsPassedOn(t *testing.T) {
	is := is.New(t)
	reader, peer := NewState(), NewState()
	reader.ApplyTargets(TargetList{Targets: []Target{{ID: "a"}, {ID: "z", Draining: true}}, Revision: at(100)}, time.Now())
	peer.ApplyTargets(TargetList{Targets: []Target{{ID: "a"}, {ID: "z"}}, Revision: at(102)}, time.Now())
	reader.ApplyChanges(TargetChanges{Changes: []TargetChange{{Target: Target{ID: "z", Draining: true}}}, Revision: at(105)}, time.Now())
	update, _ := reader.updateSince(peer.Cursor())
	peer.ApplyUpdate(update)
	is.Equal(ids(peer), []string{"a", "z"})
	is.True(peer.View().Targets[1].Draining)
}

// Whatever order lists, watches and news of peers come in, late ones included, and whichever hosts start anew: a host at a
// revision believes of each target what the registry held at that revision or later.
func TestBeliefsAreThoseOfTheRevisionHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := &simRegistrySite{registry: &registryLog{}, hosts: []*State{NewState(), NewState(), NewState()}}
		site.inFlight = make([]Update, len(site.hosts))
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) { site.registry.write(TargetChange{Target: drawTarget(t)}) },
			"drain": func(t *rapid.T) {
				leaving := drawTarget(t)
				leaving.Draining = true
				site.registry.write(TargetChange{Target: leaving})
			},
			"remove": func(t *rapid.T) { site.registry.write(TargetChange{Target: drawTarget(t), Gone: true}) },
			"forget": func(*rapid.T) { site.registry.compactedTo = site.registry.revision },
			"start":  site.start,
			"read":   site.read,
			"watch":  site.watch,
			"ask":    func(t *rapid.T) { site.poll(t) },
			"hear":   func(t *rapid.T) { site.receive(site.draw(t, "host")) },
			"told":   func(t *rapid.T) { site.receive(site.poll(t)) },
			"":       site.check,
		})
	})
}

func drawTarget(t *rapid.T) Target {
	return Target{ID: rapid.SampledFrom(targetNames).Draw(t, "target")}
}

// simRegistrySite is hosts that follow one registry.
type simRegistrySite struct {
	registry *registryLog
	hosts    []*State
	inFlight []Update // answers of peers that are under way, one for each host
}

func (s *simRegistrySite) draw(t *rapid.T, label string) int {
	return rapid.IntRange(0, len(s.hosts)-1).Draw(t, label)
}

func (s *simRegistrySite) start(t *rapid.T) {
	i := s.draw(t, "host")
	s.hosts[i], s.inFlight[i] = NewState(), Update{}
}

func (s *simRegistrySite) read(t *rapid.T) {
	began := rapid.Uint64Range(max(s.registry.revision, 2)-2, s.registry.revision).Draw(t, "began")
	from := rapid.SampledFrom(targetNames).Draw(t, "last page from")
	s.hosts[s.draw(t, "host")].ApplyTargets(s.registry.list(began, from), time.Now())
}

func (s *simRegistrySite) watch(t *rapid.T) {
	host := s.hosts[s.draw(t, "host")]
	after := host.Cursor().RegistryRevision.Number
	if after == 0 {
		return // it has to read everything first
	}
	if changes, err := s.registry.watch(after); err == nil {
		host.ApplyChanges(changes, time.Now())
	}
}

func (s *simRegistrySite) poll(t *rapid.T) int {
	i := s.draw(t, "host")
	s.inFlight[i], _ = s.hosts[s.draw(t, "peer")].updateSince(s.hosts[i].Cursor())
	return i
}

func (s *simRegistrySite) receive(i int) {
	s.hosts[i].ApplyUpdate(s.inFlight[i])
	s.inFlight[i] = Update{}
}

func (s *simRegistrySite) check(t *rapid.T) {
	for i, host := range s.hosts {
		v := host.View()
		if v.RegistryRevision.IsZero() {
			continue
		}
		known := map[string]Target{}
		for _, target := range v.Targets {
			known[target.ID] = target
		}
		for _, id := range targetNames {
			believed, ok := known[id]
			if !s.registry.heldAtOrAfter(v.RegistryRevision.Number, id, believed, ok) {
				t.Fatalf("host %d at revision %s of %d believes of %s: %+v, registered %v", i, v.RegistryRevision, s.registry.revision, id, believed, ok)
			}
		}
	}
}
