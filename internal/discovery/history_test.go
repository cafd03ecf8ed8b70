package discovery

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// registryLog is the registry of a store with its whole history.
type registryLog struct {
	revision    uint64
	compactedTo uint64 // changes up to this revision cannot be watched
	events      []revisedChange
}

func (r *registryLog) write(c TargetChange) {
	r.revision++
	r.events = append(r.events, revisedChange{at(r.revision), c})
}

// at returns the targets registered at a revision.
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

// list returns the answer to a full read that began at a revision. Targets from lastPageFrom on are
// those of the current revision, as later pages are read later.
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

// watch returns the answer to a watch from a revision: for each target changed since, the last
// change.
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

// heldAtOrAfter reports whether the registry had the cached state of a target at a revision or
// later.
func (r *registryLog) heldAtOrAfter(revision uint64, id string, cached Target, known bool) bool {
	for at := revision; at <= r.revision; at++ {
		held, ok := r.at(at)[id]
		if ok == known && held == cached {
			return true
		}
	}
	return false
}

// A restarted host reads the registry in full and does not see which registrations were removed
// before. Peers at an older revision must not get its targets as if they were all changes since
// that revision. When a host sent the 85 targets it had read in this way, four others kept eight
// removed targets, and two of them sent requests to one 3.4 s after its removal.
func TestRemovalsBeforeAHostsFirstReadingReachItsPeers(t *testing.T) {
	is := is.New(t)
	before := NewState()
	before.ApplyTargets(TargetList{Targets: []Target{{ID: "left"}, {ID: "drained"}, {ID: "stays"}}, Revision: at(315)}, time.Now())

	started := NewState()
	started.ApplyTargets(TargetList{Targets: []Target{{ID: "drained", Draining: true}, {ID: "stays"}}, Revision: at(322)}, time.Now())
	update, _ := started.updateSince(before.Cursor())
	changes := before.ApplyUpdate(update).Targets

	is.Equal(targetIDs(before), []string{"drained", "stays"})
	is.Equal(len(changes), 2) // one is draining, one is gone
}

// After the store has compacted its history, a host that reads everything again does not see a
// target that was added and removed in between. A peer at a revision in between has that target and
// must remove it.
func TestTargetThatCameAndWentBetweenTwoReadingsIsGoneAtPeers(t *testing.T) {
	is := is.New(t)
	reader, peer := NewState(), NewState()
	for _, s := range []*State{reader, peer} {
		s.ApplyTargets(TargetList{Targets: []Target{{ID: "stays"}}, Revision: at(100)}, time.Now())
	}
	peer.ApplyChanges(TargetChanges{Changes: additionsOf("short"), Revision: at(120)}, time.Now())
	reader.ApplyTargets(TargetList{Targets: []Target{{ID: "stays"}}, Revision: at(140)}, time.Now())
	update, _ := reader.updateSince(peer.Cursor())
	peer.ApplyUpdate(update)
	is.Equal(targetIDs(peer), []string{"stays"})
}

// A watch returns only the last change of each target. A host that gets a removal without ever
// having seen the target must still pass it on, as a peer may have the target.
func TestRemovalOfAnUnknownTargetIsPassedOn(t *testing.T) {
	is := is.New(t)
	watcher, peer := NewState(), NewState()
	for _, s := range []*State{watcher, peer} {
		s.ApplyTargets(TargetList{Targets: []Target{{ID: "stays"}}, Revision: at(100)}, time.Now())
	}
	peer.ApplyChanges(TargetChanges{Changes: additionsOf("short"), Revision: at(120)}, time.Now())
	watcher.ApplyChanges(TargetChanges{Changes: removalOf("short"), Revision: at(140)}, time.Now())
	update, _ := watcher.updateSince(peer.Cursor())
	peer.ApplyUpdate(update)
	is.Equal(targetIDs(peer), []string{"stays"})
}

// The last page of a long list is newer than the revision of the list. The change that the next
// watch returns then has no effect on this host, but must still reach peers.
func TestChangeSeenEarlyInALaterPageIsPassedOn(t *testing.T) {
	is := is.New(t)
	reader, peer := NewState(), NewState()
	reader.ApplyTargets(TargetList{Targets: []Target{{ID: "a"}, {ID: "z", Draining: true}}, Revision: at(100)}, time.Now())
	peer.ApplyTargets(TargetList{Targets: []Target{{ID: "a"}, {ID: "z"}}, Revision: at(102)}, time.Now())
	reader.ApplyChanges(TargetChanges{Changes: []TargetChange{{Target: Target{ID: "z", Draining: true}}}, Revision: at(105)}, time.Now())
	update, _ := reader.updateSince(peer.Cursor())
	peer.ApplyUpdate(update)
	is.Equal(targetIDs(peer), []string{"a", "z"})
	is.True(peer.View().Targets[1].Draining)
}

// Full reads, watches and updates of peers, late ones included, come in any order, and hosts
// restart. A host at a revision has for each target what the registry held at that revision or
// later.
func TestTargetsMatchTheCachedRevision(t *testing.T) {
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

// simRegistrySite is a set of hosts that follow one registry.
type simRegistrySite struct {
	registry *registryLog
	hosts    []*State
	inFlight []Update // replies of peers that are under way, one for each host
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
		return // a full read has to come first
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
			cached, ok := known[id]
			if !s.registry.heldAtOrAfter(v.RegistryRevision.Number, id, cached, ok) {
				t.Fatalf("host %d at revision %s of %d has for %s: %+v, registered %v", i, v.RegistryRevision, s.registry.revision, id, cached, ok)
			}
		}
	}
}
