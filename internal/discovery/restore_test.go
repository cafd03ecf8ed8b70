package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// The store is down for some seconds and is restored from an older copy. This takes few calls more
// than the outage alone, as each watching host reads everything once. Later versions are in force
// on every host in time.
func TestRestoreOfTheStoreTakesFewCalls(t *testing.T) {
	const lostRevisions = 3
	for _, n := range []int{7, 65, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			calls := map[bool]int{}
			for _, restored := range []bool{false, true} {
				withFleet(t, n, time.Second, func(net *simNet, store *fakeStore, all []*simHost) {
					is := is.New(t)
					time.Sleep(10 * time.Second)
					for range lostRevisions {
						store.set(func() { store.revision++ })
					}
					time.Sleep(2 * time.Second)
					before := store.callCount()
					store.set(func() { store.unavailable = true })
					time.Sleep(4500 * time.Millisecond)
					if restored {
						store.restore(lostRevisions)
					}
					store.set(func() { store.unavailable = false })
					time.Sleep(2 * time.Second)
					calls[restored] = store.callCount() - before
					for v := range uint64(2 * lostRevisions) {
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
			watcherCount := 1 + n/96 + fleetDomains*2*min(n/(fleetDomains*minOwnGroupHosts), 1)
			pages := (fleetTargets-1)/targetsPerPage + 1 + 1 // of the registry, and one call for the configuration
			t.Logf("%d hosts: %d calls around an outage of 4.5 s, %d with a restore; at most %d hosts watch", n, calls[false], calls[true], watcherCount)
			tolerance := calls[false] / 10 // delays between failed calls are random
			if calls[true] > calls[false]+tolerance+watcherCount*(pages+2) {
				t.Errorf("%d calls with a restore, %d without", calls[true], calls[false])
			}
		})
	}
}

// In an outage the other hosts call the store, too, and their watches fail like those of the
// watching host after a restore. Only the watching host may read the registry then; the others get
// it from that host.
func TestOnlyTheWatcherReadsTheRegistryAfterARestore(t *testing.T) {
	const lostRevisions = 3
	for range 20 { // delays between failed calls are random
		withFleet(t, 7, time.Second, func(_ *simNet, store *fakeStore, all []*simHost) {
			is := is.New(t)
			time.Sleep(10 * time.Second)
			for range lostRevisions {
				store.set(func() { store.revision++ })
			}
			time.Sleep(2 * time.Second)
			store.set(func() { store.unavailable = true })
			time.Sleep(4500 * time.Millisecond)
			store.restore(lostRevisions)
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

// virtualState returns an empty state, its clock, and a function that lets time pass.
func virtualState() (s *State, c *clock.Clock, pass func(time.Duration)) {
	c, pass = clock.NewVirtual()
	s = NewState()
	s.SetClock(c)
	return s, c, pass
}

// The registration of a target that left lapses once more after a restore. A second restore ten
// seconds later, to a copy from before it lapsed, must not bring the target back either.
func TestTombstoneOutlivesASecondRestore(t *testing.T) {
	is := is.New(t)
	s, c, pass := virtualState()
	left := []Target{{ID: "left", StartMillis: 3, Service: "s"}}
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

// A target leaves while a host has not confirmed its registry state for long, so that the host
// keeps the target as possibly lapsed. A restore from an older copy just then must not make it a
// registered target.
func TestTargetThatWentMissingBeforeARestoreIsKeptNoLonger(t *testing.T) {
	is := is.New(t)
	s, c, pass := virtualState()
	left := []Target{{ID: "left", StartMillis: 3, Service: "s"}}
	s.ApplyTargets(TargetList{Targets: left, Revision: revisionIn(1, 5)}, c.Now())
	pass(s.lapseAfter + time.Second)
	s.ApplyChanges(TargetChanges{Changes: removalOf("left"), Revision: revisionIn(1, 9)}, c.Now())
	is.True(s.isMissing("left"))
	s.ApplyTargets(TargetList{Targets: left, Revision: revisionIn(2, 6)}, c.Now())
	pass(lapseGrace)
	s.Expire(c.Now())
	is.Equal(len(s.View().Targets), 0)
	pass(tombstoneBeats * defaultRegistrationBeat) // the registration still exists
	s.ApplyChanges(TargetChanges{Revision: revisionIn(2, 7)}, c.Now())
	s.Expire(c.Now())
	is.Equal(targetIDs(s), []string{"left"})
}
