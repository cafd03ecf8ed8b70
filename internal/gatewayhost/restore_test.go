package gatewayhost

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/platform"
)

const (
	awayFor     = 400 * time.Millisecond // that the store is away before it comes back from its copy
	pathNew     = "/new/"                // of a route that a later version adds, to a service of one new target
	lostChanges = 6                      // writes since the copy
)

// rewrite writes what operator and targets had written since the copy: they do so at once when the store is back.
func (f *fleet) rewrite(version uint64) {
	f.configure(version)
	for _, t := range f.targets {
		t.mu.Lock()
		if t.up {
			f.register(t.id, t.target.Registration(t.address, t.domain))
		}
		t.mu.Unlock()
	}
}

// padTo writes objects of another kind until the store is at a revision.
func (f *fleet) padTo(revision uint64) {
	for i := 0; f.store.Revision() < revision; i++ {
		f.write("other", fmt.Sprint(i), i)
	}
}

// loseLastWrites writes versions, and returns what takes the store back to before them, and the revision that it had reached.
func (f *fleet) loseLastWrites() (restore func(), reached uint64) {
	older := f.store.Copy()
	for v := range uint64(lostChanges) {
		f.configure(2 + v)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second) // all hosts know them
	f.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageCut})
	time.Sleep(awayFor)
	return func() {
		f.store.Restore(older)
		f.rewrite(1 + lostChanges)
	}, f.store.Revision()
}

// change adds a route to a service of one new target, and removes a target.
func (f *fleet) change() (left *fleetTarget) {
	next := f.config(20)
	added := next.Routes[1]
	added.Name, added.PathPrefix, added.Service = "new", pathNew, "new"
	next.Routes, next.Services = append(next.Routes, added), append(next.Services, f.service("new"))
	f.write(platform.KindConfig, platform.NameConfig, next)
	left = f.targets[len(f.targets)-1]
	f.store.Remove(platform.KindTargets, left.id)
	f.addTarget("new", 0, left.domain)
	return left
}

// The store comes back from an older copy, and gives revisions out again. A version that got the revision which hosts
// held was in force on seven of nine hosts only with the next one.
func TestChangesAfterTheStoreCameBackOlderAreInForce(t *testing.T) {
	const bound = 3 * time.Second
	reachable := func(f *fleet) { f.store.SetFaults(objectstore.Faults{}) }
	for name, comeBack := range map[string]func(f *fleet, held uint64) (left *fleetTarget){
		"hosts find fewer revisions than they hold": func(f *fleet, _ uint64) *fleetTarget {
			left := f.change()
			reachable(f)
			return left
		},
		"hosts find as many": func(f *fleet, held uint64) *fleetTarget {
			left := f.change()
			f.padTo(held)
			reachable(f)
			return left
		},
		"hosts find more": func(f *fleet, held uint64) *fleetTarget {
			left := f.change()
			f.padTo(held + 3)
			reachable(f)
			return left
		},
		"a version gets the revision held later": func(f *fleet, held uint64) *fleetTarget {
			f.padTo(held - 1)
			reachable(f)
			time.Sleep(time.Second)
			return f.change()
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, &fleet{}, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.padTo(150)
				time.Sleep(3 * time.Second)
				restore, held := f.loseLastWrites()
				restore()
				left := comeBack(f, held)

				time.Sleep(bound)
				callers := f.keepAsking()
				defer callers.stop()
				for i := range f.hosts {
					if status := f.ask(i, http.MethodGet, pathNew+"x", fmt.Sprintf("n%d", i)); status != http.StatusOK {
						t.Errorf("host %d: the route and the target that came: status %d", i, status)
					}
				}
				time.Sleep(3 * time.Second)
				is.Equal(f.workAt(left, time.Now().Add(-3*time.Second)), 0) // the target that left gets nothing
			})
		})
	}
}

// workAt counts the requests that came to a target since a moment.
func (f *fleet) workAt(t *fleetTarget, since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.work {
		if w.target == t && w.at.After(since) {
			n++
		}
	}
	return n
}

// Targets that left in the seconds that the copy lacks are in it as they were before. They get nothing: not until the one
// that lives says again that it leaves, nor until the registration of the other one has lapsed; nor from hosts that start
// in that gap.
func TestTargetsThatLeftBeforeTheStoreCameBackOlderGetNothing(t *testing.T) {
	for name, restart := range map[string]int{"all hosts go on": 0, "three hosts start in the gap": 3} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, &fleet{}, func(t *testing.T, f *fleet) {
				is := is.New(t)
				callers := f.keepAsking()
				defer callers.stop()
				time.Sleep(3 * time.Second)
				older := f.store.Copy()
				drains, removed := f.targets[len(f.targets)-1], f.targets[len(f.targets)-3]
				registration := drains.target.Registration(drains.address, drains.domain)
				registration.State = platform.StateDraining
				f.register(drains.id, registration)
				f.store.Remove(platform.KindTargets, removed.id)
				time.Sleep(time.Second)
				left := time.Now()

				f.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageCut})
				time.Sleep(awayFor)
				f.store.Restore(older)
				f.store.SetFaults(objectstore.Faults{})
				f.restart(restart)
				time.Sleep(beat)
				f.register(drains.id, registration) // its next registration
				time.Sleep(lapseAfter - beat)
				f.store.Remove(platform.KindTargets, removed.id) // it has lapsed
				time.Sleep(3 * time.Second)
				is.Equal(f.workAt(drains, left), 0)
				is.Equal(f.workAt(removed, left), 0)
				callers.stop()
				is.True(callers.lost() <= callers.asked()/50)
			})
		})
	}
}

// restart kills the first hosts and starts each anew.
func (f *fleet) restart(n int) {
	for i := range f.hosts[:n] {
		f.restartHost(i)
	}
}

// restartHost kills a host and starts it anew.
func (f *fleet) restartHost(i int) {
	f.hosts[i].network.kill()
	f.old = append(f.old, f.hosts[i])
	f.hosts[i] = f.startHost(i)
}

// A target that the copy brings back, and that lives, is used again, though it has nothing new to say: its registration
// had lapsed while it could not reach the store.
func TestTargetThatLivesIsBackThoughItHadLapsed(t *testing.T) {
	runFleet(t, &fleet{}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		lapsed := f.addTarget(singleService, 7, fleetDomains[0])
		time.Sleep(3 * time.Second)
		older := f.store.Copy()
		f.store.Remove(platform.KindTargets, lapsed.id)
		time.Sleep(time.Second)
		f.store.Restore(older)
		for _, t := range f.targets { // the only one left of its service
			if t.service == singleService && t != lapsed {
				f.store.Remove(platform.KindTargets, t.id)
			}
		}
		time.Sleep(10 * time.Second)
		for i := range f.hosts {
			is.Equal(f.ask(i, http.MethodGet, pathSingle+"x", fmt.Sprintf("b%d", i)), http.StatusOK)
		}
	})
}

// An evacuation that the copy lacks is in force until the operator, who has written it again, takes it back; also on hosts
// that start in that gap.
func TestEvacuationOutlivesAnOlderCopy(t *testing.T) {
	for name, restart := range map[string]int{"all hosts go on": 0, "three hosts start in the gap": 3} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, &fleet{settings: evacuates}, func(t *testing.T, f *fleet) {
				is := is.New(t)
				callers := f.keepAsking()
				defer callers.stop()
				domain := fleetDomains[0]
				time.Sleep(2 * time.Second)
				older := f.store.Copy()
				f.write(platform.KindEvacuations, domain, struct{}{})
				acknowledged := time.Now()
				time.Sleep(time.Second)

				f.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageCut})
				time.Sleep(awayFor)
				f.store.Restore(older)
				f.store.SetFaults(objectstore.Faults{})
				f.restart(restart)
				time.Sleep(2 * time.Second)
				f.write(platform.KindEvacuations, domain, struct{}{})
				time.Sleep(time.Second)
				f.store.Remove(platform.KindEvacuations, domain)
				ended := time.Now()
				is.Equal(f.workIn(domain, acknowledged.Add(quietWithin), ended), 0)
				time.Sleep(3 * time.Second)
				is.True(f.workIn(domain, ended.Add(time.Second), time.Now()) > 50) // it is used again
			})
		})
	}
}

// One that is taken back while hosts can't hear of it is over some seconds after the restore.
func TestEvacuationThatIsNotWrittenAgainEnds(t *testing.T) {
	runFleet(t, &fleet{settings: evacuates}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		callers := f.keepAsking()
		defer callers.stop()
		domain := fleetDomains[0]
		older := f.store.Copy()
		f.write(platform.KindEvacuations, domain, struct{}{})
		time.Sleep(time.Second)
		f.store.Restore(older)
		time.Sleep(2*evacuateWithin + time.Second)
		ended := time.Now()
		time.Sleep(2 * time.Second)
		is.True(f.workIn(domain, ended, time.Now()) > 20)
		f.restart(3)
		time.Sleep(4 * time.Second)
		is.True(f.workIn(domain, ended.Add(3*time.Second), time.Now()) > 20)
	})
}

// A version that was in force stays so though the copy holds an older one, and hosts that start before the operator has
// written it again are told it. Nothing proves meanwhile that a route is not there.
func TestVersionInForceOutlivesAnOlderCopy(t *testing.T) {
	runFleet(t, &fleet{}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		time.Sleep(2 * time.Second)
		older := f.store.Copy()
		f.change()
		time.Sleep(time.Second)
		f.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageCut})
		time.Sleep(awayFor)
		f.store.Restore(older)
		for _, target := range f.targets {
			f.register(target.id, target.target.Registration(target.address, target.domain))
		}
		f.store.SetFaults(objectstore.Faults{})
		f.restart(3)
		time.Sleep(200 * time.Millisecond)
		all := func(path string) (statuses map[int]int) {
			statuses = map[int]int{}
			for i := range f.hosts {
				statuses[f.ask(i, http.MethodGet, path, fmt.Sprintf("v%d%s", i, path))]++
			}
			return statuses
		}
		for range 4 {
			is.Equal(all(pathNew+"x"), map[int]int{http.StatusOK: fleetHosts})
			time.Sleep(time.Second) // all hosts know by then that the store came back
			is.Equal(all("/none/"), map[int]int{http.StatusServiceUnavailable: fleetHosts})
		}
		f.configure(21) // the operator's newest
		time.Sleep(time.Second)
		is.Equal(all(pathNew+"x"), map[int]int{http.StatusNotFound: fleetHosts})
		is.Equal(all("/none/"), map[int]int{http.StatusNotFound: fleetHosts})
	})
}
