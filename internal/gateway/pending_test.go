package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

// answeredAfter returns the answers to requests for paths, if the machine is suspended for a time
// 20 ms after they were sent.
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

// The machine is suspended while requests wait for silent targets, and their deadlines pass. When
// it resumes they must be answered at once, though most of the time on their timers is left.
func TestOverdueRequestsAreAnsweredAfterSuspension(t *testing.T) {
	run(t, options{services: 3}, func(t *testing.T, s *site) {
		is := is.New(t)
		for _, service := range []string{"s0", "s1", "s2"} {
			s.faults(service, platformtarget.Faults{Silent: true})
		}
		for _, a := range answeredAfter(s, 5*time.Second, "/one/x", "/once/x", "/all/x") {
			is.Equal(a.status, http.StatusGatewayTimeout) // may have run
			is.True(a.took < 150*time.Millisecond)
		}
	})
}

// A short suspension ends no request whose deadline has not passed.
func TestShortSuspensionEndsNoRequest(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Slow: 20}) // takes 200 of 600 ms
		is.Equal(answeredAfter(s, 100*time.Millisecond, "/one/x")[0].status, http.StatusOK)
	})
}

// The time limit of a request includes the time during which the machine is suspended.
func TestSuspensionCountsTowardsDeadline(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Silent: true})
		a := answeredAfter(s, 300*time.Millisecond, "/one/x")[0] // 300 of 600 ms
		is.Equal(a.status, http.StatusGatewayTimeout)
		is.True(a.took >= 290*time.Millisecond && a.took <= 310*time.Millisecond)
	})
}

// A request that arrives after the machine has resumed has its full time limit.
func TestRequestAfterSuspensionHasFullTimeout(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s0", platformtarget.Faults{Slow: 20})
		s.suspend(time.Minute)
		is.Equal(s.get("/one/x", "r1").status, http.StatusOK) // sent before the suspension is noticed
	})
}

// The age of the configuration includes a suspension: a route that it lacks may have been added
// meanwhile.
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

// A host that gathers for another one also ends queries whose deadline passed during a suspension.
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
