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
	storeOutage = 400 * time.Millisecond // from the start of the store outage to the restore
	pathNew     = "/new/"                // of a route that a later version adds, to a service of one new target
	lostWrites  = 6                      // writes since the copy
)

// rewriteCurrent writes the configuration and the registrations again that were written since the copy, as the operator and
// the targets do at once when the store is reachable.
func (f *fleet) rewriteCurrent(version uint64) {
	f.configure(version)
	for _, t := range f.targets {
		t.mu.Lock()
		if t.up {
			f.register(t.id, t.target.Registration(t.address, t.domain))
		}
		t.mu.Unlock()
	}
}

// padToRevision writes objects of another kind until the store has reached the revision.
func (f *fleet) padToRevision(revision uint64) {
	for i := 0; f.store.Revision() < revision; i++ {
		f.write("other", fmt.Sprint(i), i)
	}
}

// loseLastWrites writes configurations and begins a store outage. It returns a function that restores the store to its state
// before these writes, and the revision that it had reached.
func (f *fleet) loseLastWrites() (restore func(), reached uint64) {
	older := f.store.Backup()
	for v := range uint64(lostWrites) {
		f.configure(2 + v)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second) // until all hosts have applied them
	f.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageCut})
	time.Sleep(storeOutage)
	return func() {
		f.store.Restore(older)
		f.rewriteCurrent(1 + lostWrites)
	}, f.store.Revision()
}

// changeConfigAndTargets adds a route to a new service with one new target, and removes a target, which it returns.
func (f *fleet) changeConfigAndTargets() (left *fleetTarget) {
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

// After the store is restored from an older copy, it assigns revision numbers again. A configuration that got the
// revision which the hosts already had was applied on seven of nine hosts only with the next change.
func TestChangesAfterTheStoreCameBackOlderAreInForce(t *testing.T) {
	const bound = 3 * time.Second
	reachable := func(f *fleet) { f.store.SetFaults(objectstore.Faults{}) }
	for name, comeBack := range map[string]func(f *fleet, held uint64) (left *fleetTarget){
		"hosts find fewer revisions than they hold": func(f *fleet, _ uint64) *fleetTarget {
			left := f.changeConfigAndTargets()
			reachable(f)
			return left
		},
		"hosts find as many": func(f *fleet, held uint64) *fleetTarget {
			left := f.changeConfigAndTargets()
			f.padToRevision(held)
			reachable(f)
			return left
		},
		"hosts find more": func(f *fleet, held uint64) *fleetTarget {
			left := f.changeConfigAndTargets()
			f.padToRevision(held + 3)
			reachable(f)
			return left
		},
		"a version gets the revision held later": func(f *fleet, held uint64) *fleetTarget {
			f.padToRevision(held - 1)
			reachable(f)
			time.Sleep(time.Second)
			return f.changeConfigAndTargets()
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, &fleet{}, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.padToRevision(150)
				time.Sleep(3 * time.Second)
				restore, held := f.loseLastWrites()
				restore()
				left := comeBack(f, held)

				time.Sleep(bound)
				callers := f.startCallers()
				defer callers.stop()
				for i := range f.hosts {
					if status := f.send(i, http.MethodGet, pathNew+"x", fmt.Sprintf("n%d", i)); status != http.StatusOK {
						t.Errorf("host %d: status %d for the added route and target", i, status)
					}
				}
				time.Sleep(3 * time.Second)
				is.Equal(f.countTargetRequests(left, time.Now().Add(-3*time.Second)), 0) // the removed target gets no requests
			})
		})
	}
}

// countTargetRequests counts the requests that reached a target since a time.
func (f *fleet) countTargetRequests(t *fleetTarget, since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.targetRequests {
		if w.target == t && w.at.After(since) {
			n++
		}
	}
	return n
}

// Targets that left after the copy was made are in the copy as before. They get no requests: neither until the draining one
// writes its registration again, nor until the registration of the removed one lapses; nor from hosts that start in between.
func TestTargetsThatLeftBeforeTheStoreCameBackOlderGetNothing(t *testing.T) {
	for name, restart := range map[string]int{"all hosts go on": 0, "three hosts start in the gap": 3} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, &fleet{}, func(t *testing.T, f *fleet) {
				is := is.New(t)
				callers := f.startCallers()
				defer callers.stop()
				time.Sleep(3 * time.Second)
				older := f.store.Backup()
				drains, removed := f.targets[len(f.targets)-1], f.targets[len(f.targets)-3]
				registration := drains.target.Registration(drains.address, drains.domain)
				registration.State = platform.StateDraining
				f.register(drains.id, registration)
				f.store.Remove(platform.KindTargets, removed.id)
				time.Sleep(time.Second)
				left := time.Now()

				f.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageCut})
				time.Sleep(storeOutage)
				f.store.Restore(older)
				f.store.SetFaults(objectstore.Faults{})
				f.restart(restart)
				time.Sleep(registrationInterval)
				f.register(drains.id, registration) // its next registration
				time.Sleep(registrationLapse - registrationInterval)
				f.store.Remove(platform.KindTargets, removed.id) // its registration lapses
				time.Sleep(3 * time.Second)
				is.Equal(f.countTargetRequests(drains, left), 0)
				is.Equal(f.countTargetRequests(removed, left), 0)
				callers.stop()
				is.True(callers.failed() <= callers.sent()/50)
			})
		})
	}
}

// restart kills and restarts the first n hosts.
func (f *fleet) restart(n int) {
	for i := range f.hosts[:n] {
		f.restartHost(i)
	}
}

// restartHost kills and restarts a host.
func (f *fleet) restartHost(i int) {
	f.hosts[i].network.kill()
	f.killedHosts = append(f.killedHosts, f.hosts[i])
	f.hosts[i] = f.startHost(i)
}

// A running target whose registration lapsed while it could not reach the store, and that a restore brings back, is used
// again, though it writes no new registration.
func TestTargetThatLivesIsBackThoughItHadLapsed(t *testing.T) {
	runFleet(t, &fleet{}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		lapsed := f.addTarget(singleService, 7, fleetDomains[0])
		time.Sleep(3 * time.Second)
		older := f.store.Backup()
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
			is.Equal(f.send(i, http.MethodGet, pathSingle+"x", fmt.Sprintf("b%d", i)), http.StatusOK)
		}
	})
}

// An evacuation that the copy lacks stays in force until the operator, who has written it again, removes it; also on hosts
// that start after the restore.
func TestEvacuationOutlivesAnOlderCopy(t *testing.T) {
	for name, restart := range map[string]int{"all hosts go on": 0, "three hosts start in the gap": 3} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, &fleet{settings: withEvacuationBound}, func(t *testing.T, f *fleet) {
				is := is.New(t)
				callers := f.startCallers()
				defer callers.stop()
				domain := fleetDomains[0]
				time.Sleep(2 * time.Second)
				older := f.store.Backup()
				f.write(platform.KindEvacuations, domain, struct{}{})
				acknowledged := time.Now()
				time.Sleep(time.Second)

				f.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageCut})
				time.Sleep(storeOutage)
				f.store.Restore(older)
				f.store.SetFaults(objectstore.Faults{})
				f.restart(restart)
				time.Sleep(2 * time.Second)
				f.write(platform.KindEvacuations, domain, struct{}{})
				time.Sleep(time.Second)
				f.store.Remove(platform.KindEvacuations, domain)
				ended := time.Now()
				is.Equal(f.countDomainRequests(domain, acknowledged.Add(expectedEvacuationTime), ended), 0)
				time.Sleep(3 * time.Second)
				is.True(f.countDomainRequests(domain, ended.Add(time.Second), time.Now()) > 50) // it is used again
			})
		})
	}
}

// An evacuation that is not written again after a restore ends some seconds later.
func TestEvacuationThatIsNotWrittenAgainEnds(t *testing.T) {
	runFleet(t, &fleet{settings: withEvacuationBound}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		callers := f.startCallers()
		defer callers.stop()
		domain := fleetDomains[0]
		older := f.store.Backup()
		f.write(platform.KindEvacuations, domain, struct{}{})
		time.Sleep(time.Second)
		f.store.Restore(older)
		time.Sleep(2*evacuationBound + time.Second)
		ended := time.Now()
		time.Sleep(2 * time.Second)
		is.True(f.countDomainRequests(domain, ended, time.Now()) > 20)
		f.restart(3)
		time.Sleep(4 * time.Second)
		is.True(f.countDomainRequests(domain, ended.Add(3*time.Second), time.Now()) > 20)
	})
}

// A configuration that was in force stays so though the copy has an older version, and hosts that start before the operator
// has written it again get it from their peers. Meanwhile a missing route is answered with 503, since the newest
// configuration may have it.
func TestVersionInForceOutlivesAnOlderCopy(t *testing.T) {
	runFleet(t, &fleet{}, func(t *testing.T, f *fleet) {
		is := is.New(t)
		time.Sleep(2 * time.Second)
		older := f.store.Backup()
		f.changeConfigAndTargets()
		time.Sleep(time.Second)
		f.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageCut})
		time.Sleep(storeOutage)
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
				statuses[f.send(i, http.MethodGet, path, fmt.Sprintf("v%d%s", i, path))]++
			}
			return statuses
		}
		for range 4 {
			is.Equal(all(pathNew+"x"), map[int]int{http.StatusOK: fleetHosts})
			time.Sleep(time.Second) // until all hosts have noticed the restore
			is.Equal(all("/none/"), map[int]int{http.StatusServiceUnavailable: fleetHosts})
		}
		f.configure(21) // the operator writes the newest version
		time.Sleep(time.Second)
		is.Equal(all(pathNew+"x"), map[int]int{http.StatusNotFound: fleetHosts})
		is.Equal(all("/none/"), map[int]int{http.StatusNotFound: fleetHosts})
	})
}
