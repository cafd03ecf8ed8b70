package discovery

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// registryLog is the registry of a store with all that ever happened to it.
type registryLog struct {
	revision  uint64
	forgotten uint64 // the changes up to this revision can't be watched any more
	events    []revisedChange
}

func (r *registryLog) write(c TargetChange) {
	r.revision++
	r.events = append(r.events, revisedChange{r.revision, c})
}

// at returns the registered targets as of a revision.
func (r *registryLog) at(revision uint64) map[string]Target {
	held := map[string]Target{}
	for _, e := range r.events {
		switch {
		case e.revision > revision:
		case e.change.Gone:
			delete(held, e.change.Target.ID)
		default:
			held[e.change.Target.ID] = e.change.Target
		}
	}
	return held
}

// watch is the answer to a watch from a revision: of each target that changed since, the last change.
func (r *registryLog) watch(after uint64) (TargetChanges, error) {
	if after < r.forgotten {
		return TargetChanges{}, ErrHistoryGone
	}
	newest := map[string]TargetChange{}
	for _, e := range r.events {
		if e.revision > after {
			newest[e.change.Target.ID] = e.change
		}
	}
	changes := TargetChanges{Revision: r.revision}
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		changes.Changes = append(changes.Changes, newest[id])
	}
	return changes, nil
}

// Seven hosts, three of which were restarted; one of these watched the store for all. While they were
// away the registrations of eight targets were removed. The host that watches read the registry anew, and
// answered the four that had gone on with the 85 targets that it had read, as if those were all that had
// changed since their revision. They took its revision for theirs, and two of them sent requests to a removed
// target 3.4 s later. No line "target_gone" of the eight was ever logged by the four.
func TestRemovalsBeforeAHostsFirstReadingReachItsPeers(t *testing.T) {
	is := is.New(t)
	before := NewState()
	before.ApplyTargets(TargetList{Targets: []Target{{ID: "left"}, {ID: "drained"}, {ID: "stays"}}, Revision: 315}, time.Now())

	started := NewState()
	started.ApplyTargets(TargetList{Targets: []Target{{ID: "drained", Draining: true}, {ID: "stays"}}, Revision: 322}, time.Now())
	news, _ := started.newsSince(before.Known())
	_, changes := before.ApplyNews(news)

	is.Equal(ids(before), []string{"drained", "stays"})
	is.Equal(len(changes), 2) // one is draining, one is gone
}

// A host that had to read everything anew, as the store had dropped its history, never saw a target that
// came and went in between. A peer that did see it come holds a revision in between.
func TestTargetThatCameAndWentBetweenTwoReadingsIsGoneAtPeers(t *testing.T) {
	is := is.New(t)
	reader, peer := NewState(), NewState()
	for _, s := range []*State{reader, peer} {
		s.ApplyTargets(TargetList{Targets: []Target{{ID: "stays"}}, Revision: 100}, time.Now())
	}
	peer.ApplyChanges(TargetChanges{Changes: came("short"), Revision: 120}, time.Now())
	reader.ApplyTargets(TargetList{Targets: []Target{{ID: "stays"}}, Revision: 140}, time.Now())
	news, _ := reader.newsSince(peer.Known())
	peer.ApplyNews(news)
	is.Equal(ids(peer), []string{"stays"})
}
