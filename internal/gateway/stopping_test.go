package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

// A stopping host took over queries of other hosts that it could not complete; the connection was then closed, and the
// query could not be gathered elsewhere as it may have run.
func TestStoppingHelperTakesNoQueryThatItCannotComplete(t *testing.T) {
	withHelper(t, helperHealthy, func(t *testing.T, s *site, f *fakeHelpers) {
		is := is.New(t)
		const stopTime = timeout / 10
		f.gateway.BeginStop(time.Now().Add(stopTime))
		time.Sleep(stopTime * 4 / 5)
		checkWholeAnswer(is, s.get("/all/x", "r1")) // gathered by the host that got it
		is.Equal(s.runs("r1"), 4)

		q := gateway.Query{RequestID: "r2", Method: http.MethodGet, URI: "/all/x", Host: caseHost, Budget: timeout, AnswerIn: objective, Objective: objective}
		accepted := false
		p := gateway.Progress{Accepted: func(int) bool { accepted = true; return true }, Partial: func(gateway.Gathered) {}}
		got := f.gateway.GatherFor(context.Background(), context.Background(), q, p, new(atomic.Bool))
		is.Equal(got.Outcome, outcome.NotSent)
		is.True(!accepted)
	})
}

// A query that a host gathers for another one when it ends must not be lost: the parts received so far are returned.
func TestStopReturnsThePartsGatheredForOtherHosts(t *testing.T) {
	withHelper(t, helperHealthy, func(t *testing.T, s *site, f *fakeHelpers) {
		is := is.New(t)
		s.faults("s3", platformtarget.Faults{Silent: true})
		const ends = 3 * targetLatency
		time.AfterFunc(2*targetLatency, func() { f.gateway.BeginStop(time.Now().Add(ends - 2*targetLatency)) })
		a := s.get("/all/x", "r1")
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.header.Get(platform.HeaderMissing), "1")
		is.True(a.took >= ends)
		is.True(a.took < ends+5*hopDelay)
	})
}

// A request that arrives when the requests in flight have been ended already must not wait for its target.
func TestRequestAfterTheEndOfTheStopIsRefused(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.gateways[0].BeginStop(time.Now())
		time.Sleep(time.Millisecond)
		for _, path := range []string{"/once/x", "/all/x"} {
			a := s.get(path, "r1")
			is.Equal(a.status, http.StatusServiceUnavailable)
			is.True(a.header.Get(platform.HeaderRetryAfter) != "")
			is.True(a.took < time.Millisecond)
		}
		is.Equal(s.runs("r1"), 0)
	})
}
