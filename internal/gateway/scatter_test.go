package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/platform"
)

func TestMergedAnswerIsWhole(t *testing.T) {
	run(t, options{services: 4, records: 2}, func(t *testing.T, s *site) {
		is := is.New(t)
		a := s.get("/all/x", "r1")
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.header.Get(platform.HeaderMissing), "0")
		is.Equal(len(strings.Split(a.header.Get(platform.HeaderParts), ", ")), 4)
		is.Equal(len(a.body), 3*16)
		is.True(a.took < 2*targetLatency)
	})
}

func TestMergedAnswerLeavesOutTheStragglerBeforeItsObjective(t *testing.T) {
	run(t, options{services: 4}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.faults("s3", platformtarget.Faults{Silent: true})
		a := s.get("/all/x", "r1")
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.header.Get(platform.HeaderMissing), "1")
		is.True(a.took < objective)
	})
}

func TestMergedAnswerWithTooFewPartsFails(t *testing.T) {
	run(t, options{services: 4}, func(t *testing.T, s *site) {
		is := is.New(t)
		for _, name := range []string{"s1", "s2", "s3"} {
			s.faults(name, platformtarget.Faults{Fail: 1})
		}
		a := s.get("/all/x", "r1")
		is.Equal(a.status, http.StatusBadGateway) // one shard ran
		is.True(a.took < objective)
	})
}

// If too few shards have a target nothing is sent, and the answer has a retry time.
func TestQueryThatTooFewShardsCanAnswerDoesNotRun(t *testing.T) {
	run(t, options{services: 4}, func(t *testing.T, s *site) {
		is := is.New(t)
		for id := range s.targets {
			if id[:2] != "s0" {
				s.register(discovery.Target{ID: id, Service: id[:2], Address: id + ":80", Domain: domain, Slots: 4, Draining: true})
			}
		}
		a := s.get("/all/x", "r1")
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(a.header.Get(platform.HeaderRetryAfter) != "")
		time.Sleep(time.Second)
		is.Equal(s.runs("r1"), 0)
	})
}

// If a route has no objective every shard gets one attempt, and missing parts are waited for almost
// until the caller's deadline.
func TestQueryWithoutAnObjective(t *testing.T) {
	run(t, options{services: 4}, func(t *testing.T, s *site) {
		is := is.New(t)
		routes := s.defaultRoutes(4)
		routes[2].Objective = 0
		s.configure(2, routes...)
		a := s.get("/all/x", "r1")
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.header.Get(platform.HeaderMissing), "0")
		is.Equal(s.runs("r1"), 4)
		s.faults("s3", platformtarget.Faults{Silent: true})
		a = s.get("/all/x", "r2")
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.header.Get(platform.HeaderMissing), "1")
		is.True(a.took < timeout)
	})
}
