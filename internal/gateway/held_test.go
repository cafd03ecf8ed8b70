package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

// answeredAfter returns what callers of paths get, and when, if the machine is suspended for a time
// 20 ms after they asked.
func answeredAfter(s *site, asleep time.Duration, paths ...string) []answer {
	got := make(chan answer, len(paths))
	for _, path := range paths {
		go func() { got <- s.get(path, "r"+path) }()
	}
	time.Sleep(20 * time.Millisecond)
	s.suspend(asleep)
	var all []answer
	for range paths {
		all = append(all, <-got)
	}
	return all
}

// The machine is suspended while requests wait for silent targets: their time is over when it goes
// on, and they are answered at once, though their timers have most of it left.
func TestOverdueRequestsAreAnsweredAfterSuspension(t *testing.T) {
	run(t, options{services: 3}, func(t *testing.T, s *site) {
		is := is.New(t)
		for _, service := range []string{"s0", "s1", "s2"} {
			s.faults(service, platformtarget.Faults{Silent: true})
		}
		for _, a := range answeredAfter(s, 5*time.Second, "/one/x", "/once/x", "/all/x") {
			is.Equal(a.status, http.StatusGatewayTimeout) // they may have run
			is.True(a.took < 150*time.Millisecond)
		}
	})
}

// A short suspension ends no request whose time is not over.
func TestShortSuspensionEndsNoRequest(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Slow: 20}) // 200 of 600 ms
		is.Equal(answeredAfter(s, 100*time.Millisecond, "/one/x")[0].status, http.StatusOK)
	})
}

// The time of a request goes on while the machine is suspended: what is left of it counts from when it
// came.
func TestSuspensionCountsTowardsDeadline(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Silent: true})
		a := answeredAfter(s, 300*time.Millisecond, "/one/x")[0] // 300 of 600 ms
		is.Equal(a.status, http.StatusGatewayTimeout)
		is.True(a.took >= 290*time.Millisecond && a.took <= 310*time.Millisecond)
	})
}

// A request that comes after the machine has gone on has all of its time.
func TestRequestAfterSuspensionHasFullTimeout(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Slow: 20})
		s.suspend(time.Minute)
		is.Equal(s.get("/one/x", "r1").status, http.StatusOK) // before it was noticed
	})
}

// What a host believed before a suspension is as old as it is: a route that it does not know may have
// been added meanwhile.
func TestUnknownRouteAfterASuspensionIsRefusedAsNotRun(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		is.Equal(s.get("/new/x", "r1").status, http.StatusNotFound)
		s.suspend(10 * time.Second)
		a := s.get("/new/x", "r2")
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(a.header.Get(platform.HeaderRetryAfter) != "")
	})
}

// A host that gathers for another one ends what it held over a suspension, too.
func TestHelperEndsOverdueQueryAfterSuspension(t *testing.T) {
	withHelper(t, helperHealthy, func(t *testing.T, s *site, f *fakeHelpers) {
		is := is.New(t)
		for _, service := range []string{"s0", "s1", "s2", "s3"} {
			s.faults(service, platformtarget.Faults{Silent: true})
		}
		a := answeredAfter(s, 5*time.Second, "/all/x")[0]
		is.Equal(f.calls, 1)
		is.Equal(a.status, http.StatusGatewayTimeout)
		is.True(a.took < 150*time.Millisecond)
	})
}
