package catalog

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const withinSeconds = 4 * time.Second // in which an accepted change is in force everywhere

// inForce returns how many hosts have the revision.
func (f *fleet) inForce(revision uint64) int {
	on := 0
	for _, n := range f.all() {
		if n.catalog.Revision() >= revision {
			on++
		}
	}
	return on
}

func TestChangeIsInForceEverywhereWithinSeconds(t *testing.T) {
	for _, size := range []struct{ hosts, domains int }{{1, 1}, {12, 3}, {60, 5}} {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				f.write(testService("a"))
				f.addAll(size.hosts, size.domains)
				defer f.stop()
				f.pass(10 * time.Second)
				for i := range 5 {
					s := testService("a")
					s.Rules.Relays = i + 1
					revision := f.write(s)
					f.pass(withinSeconds)
					is.Equal(f.inForce(revision), size.hosts)
				}
			})
		})
	}
}
