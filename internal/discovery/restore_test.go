package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// The store is away for some seconds and comes back from an older copy. That takes few calls more than the same outage
// without: each host that watches reads everything once. The versions that follow are in force everywhere in time.
func TestRestoreOfTheStoreTakesFewCalls(t *testing.T) {
	const lost = 3 // revisions
	for _, n := range []int{7, 65, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			calls := map[bool]int{}
			for _, restored := range []bool{false, true} {
				withFleet(t, n, time.Second, func(net *simNet, store *fakeStore, all []*simHost) {
					is := is.New(t)
					time.Sleep(10 * time.Second)
					for range lost {
						store.set(func() { store.revision++ })
					}
					time.Sleep(2 * time.Second)
					before := store.callCount()
					store.set(func() { store.unavailable = true })
					time.Sleep(4500 * time.Millisecond)
					if restored {
						store.restore(lost)
					}
					store.set(func() { store.unavailable = false })
					time.Sleep(2 * time.Second)
					calls[restored] = store.callCount() - before
					for v := range uint64(2 * lost) {
						store.set(func() {
							store.revision++
							store.configRevision = store.revision
							store.config = manyRoutes(2 + v)
						})
						time.Sleep(largeSite().ApplyWithin.Std() / 2)
						for _, h := range all {
							table, _ := h.state.Table()
							is.True(table.Config.Version >= 2+v)
						}
					}
				})
			}
			watching := 1 + n/96 + fleetDomains*2*min(n/(fleetDomains*minOwnGroupHosts), 1)
			pages := (fleetTargets-1)/targetsPerPage + 1 + 1 // of the registry, and the configuration
			t.Logf("%d hosts: %d calls around an outage of 4.5 s, %d with a restore; at most %d hosts watch", n, calls[false], calls[true], watching)
			drawn := calls[false] / 10 // pauses between failed calls are drawn anew
			if calls[true] > calls[false]+drawn+watching*(pages+2) {
				t.Errorf("%d calls with a restore, %d without", calls[true], calls[false])
			}
		})
	}
}

// Hosts that do not watch the store have turned to it in the outage, and are refused like the one that does: it reads the
// registry, and they are told.
func TestOnlyTheWatcherReadsTheRegistryAfterARestore(t *testing.T) {
	const lost = 3 // revisions
	for range 20 { // pauses between failed calls are drawn anew
		withFleet(t, 7, time.Second, func(_ *simNet, store *fakeStore, all []*simHost) {
			is := is.New(t)
			time.Sleep(10 * time.Second)
			for range lost {
				store.set(func() { store.revision++ })
			}
			time.Sleep(2 * time.Second)
			store.set(func() { store.unavailable = true })
			time.Sleep(4500 * time.Millisecond)
			store.restore(lost)
			before := store.listCalls
			store.set(func() { store.unavailable = false })
			time.Sleep(2 * time.Second)
			is.Equal(store.listCalls-before, (fleetTargets-1)/targetsPerPage+1)
			for _, h := range all {
				is.Equal(h.state.Cursor().RegistryRevision.Era, uint64(2))
			}
		})
	}
}

// revisionIn returns a revision of an era.
func revisionIn(era, number uint64) revision.Revision {
	return revision.Revision{Era: era, Number: number}
}

// virtualState returns a state that knows nothing, its clock, and what lets time pass.
func virtualState() (s *State, c *clock.Clock, pass func(time.Duration)) {
	c, pass = clock.Virtual()
	s = NewState()
	s.GoBy(c)
	return s, c, pass
}

// The registration of a target that left lapses once more after a restore. A second restore, ten seconds later, to a copy
// from before it lapsed does not bring the target back either.
func TestTombstoneOutlivesASecondRestore(t *testing.T) {
	is := is.New(t)
	s, c, pass := virtualState()
	left := []Target{{ID: "left", Born: 3, Service: "s"}}
	s.ApplyTargets(TargetList{Targets: left, Revision: revisionIn(1, 5)}, c.Now())
	s.ApplyChanges(TargetChanges{Changes: removalOf("left"), Revision: revisionIn(1, 9)}, c.Now())
	is.Equal(len(s.View().Targets), 0)
	s.ApplyTargets(TargetList{Targets: left, Revision: revisionIn(2, 6)}, c.Now())
	is.Equal(len(s.View().Targets), 0)
	pass(4 * time.Second)
	s.ApplyChanges(TargetChanges{Changes: removalOf("left"), Revision: revisionIn(2, 7)}, c.Now())
	pass(6 * time.Second)
	s.Expire(c.Now())
	s.ApplyTargets(TargetList{Targets: left, Revision: revisionIn(3, 6)}, c.Now())
	is.Equal(len(s.View().Targets), 0)
}

// A target leaves while a host has no news of the registry, which keeps it for a moment, as it may have lapsed. An older copy of the
// store that comes back just then does not make it one that is there.
func TestTargetThatWentMissingBeforeARestoreIsKeptNoLonger(t *testing.T) {
	is := is.New(t)
	s, c, pass := virtualState()
	left := []Target{{ID: "left", Born: 3, Service: "s"}}
	s.ApplyTargets(TargetList{Targets: left, Revision: revisionIn(1, 5)}, c.Now())
	pass(s.lapseAfter + time.Second)
	s.ApplyChanges(TargetChanges{Changes: removalOf("left"), Revision: revisionIn(1, 9)}, c.Now())
	is.True(s.isMissing("left"))
	s.ApplyTargets(TargetList{Targets: left, Revision: revisionIn(2, 6)}, c.Now())
	pass(lapseGrace)
	s.Expire(c.Now())
	is.Equal(len(s.View().Targets), 0)
	pass(tombstoneBeats * defaultRegistrationBeat) // its registration still stands
	s.ApplyChanges(TargetChanges{Revision: revisionIn(2, 7)}, c.Now())
	s.Expire(c.Now())
	is.Equal(ids(s), []string{"left"})
}
