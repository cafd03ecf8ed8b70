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
	pathNew     = "/new/"                // of a route that a later version adds
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

// comeBackOlder takes the store away and back from a copy that lacks the last writes. It returns the revision
// that the store had reached before.
func (f *fleet) comeBackOlder() (reached uint64) {
	older := f.store.Copy()
	for v := range uint64(lostChanges) {
		f.configure(2 + v)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second) // all hosts know them
	reached = f.store.Revision()
	f.store.SetFaults(objectstore.Faults{Outage: objectstore.OutageCut})
	time.Sleep(awayFor)
	f.store.Restore(older)
	f.store.SetFaults(objectstore.Faults{})
	f.rewrite(1 + lostChanges)
	return reached
}

// The store came back from an older copy, and gave revisions out again. A version that got the revision which hosts
// held was in force on seven of nine hosts only with the next one.
func TestChangesAfterTheStoreCameBackOlderAreInForce(t *testing.T) {
	const bound = 3 * time.Second
	for name, revision := range map[string]func(held uint64) uint64{
		"a revision below the one held": func(uint64) uint64 { return 0 },
		"the revision held":             func(held uint64) uint64 { return held - 1 },
		"a revision above the one held": func(held uint64) uint64 { return held + 3 },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, &fleet{}, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.padTo(150)
				time.Sleep(3 * time.Second)
				held := f.comeBackOlder()
				f.padTo(revision(held))
				next := f.config(20)
				added := next.Routes[1]
				added.Name, added.PathPrefix = "new", pathNew
				next.Routes = append(next.Routes, added)
				f.write(platform.KindConfig, platform.NameConfig, next)
				left := f.targets[len(f.targets)-1]
				f.store.Remove(platform.KindTargets, left.id)
				came := f.addTarget(singleService, 7, left.domain)

				time.Sleep(bound)
				callers := f.keepAsking()
				defer callers.stop()
				for i := range f.hosts {
					if status := f.ask(i, http.MethodGet, pathNew+"x", fmt.Sprintf("n%d", i)); status != http.StatusOK {
						t.Errorf("host %d: the route that was added: status %d", i, status)
					}
				}
				time.Sleep(3 * time.Second)
				is.Equal(f.workAt(left, time.Now().Add(-3*time.Second)), 0) // the target that left gets nothing
				is.True(f.workAt(came, time.Now().Add(-3*time.Second)) > 0) // the one that came is used
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
