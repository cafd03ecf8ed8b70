package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
)

// Start times of a target: the first start and a restart.
const (
	firstBornMs   = 1_764_720_000_000
	restartBornMs = firstBornMs + 5000
)

// registerBorn registers a target under its id with a start time.
func (s *site) registerBorn(id string, born int64) {
	s.register(discovery.Target{ID: id, Service: id[:len(id)-len("-t0")], Address: id + ":80", Domain: domain, Slots: 4, StartMillis: born})
}

// onlySelf is a membership view with this host only.
type onlySelf struct{ member.View }

// Self implements member.View.
func (onlySelf) Self() member.Host { return member.Host{ID: "h"} }

// receiveFinding delivers another host's finding that a target is bad.
func (s *site) receiveFinding(target string, born int64) {
	s.receive(&peerpb.Finding{Target: target, BornMs: born, Bad: true, Failures: 1, FailureDomain: domain})
}

// receive delivers another host's finding.
func (s *site) receive(f *peerpb.Finding) {
	spread := discovery.NewExchange(discovery.DefaultConfig(), onlySelf{}, nil, s.state)
	if _, err := spread.Tell(s.t.Context(), &peerpb.Findings{Findings: []*peerpb.Finding{f}}); err != nil {
		s.t.Error(err)
	}
}

// getConcurrently sends n requests at the same time.
func (s *site) getConcurrently(n int, id string) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { s.get("/one/x", fmt.Sprint(id, i)) })
	}
	all.Wait()
}

// A target that was ejected for its failures starts again under the same id. The health of the
// previous incarnation must not keep requests from it.
func TestRestartedTargetStartsWithFreshHealth(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.registerBorn("s0-t0", firstBornMs)
		s.faults("s0-t0", platformtarget.Faults{Fail: 1})
		for i := range 40 { // concurrently, so that it gets requests though the other target is healthy
			s.getConcurrently(4, fmt.Sprintf("bad%d-", i))
		}
		s.faults("s0-t0", platformtarget.Faults{})
		arrived := s.targets["s0-t0"].Received()
		for range 4 {
			s.getConcurrently(4, "aside")
		}
		is.True(s.targets["s0-t0"].Received() <= arrived+1) // ejected, except for a probe
		arrived = s.targets["s0-t0"].Received()
		s.registerBorn("s0-t0", restartBornMs)
		for range 4 {
			s.getConcurrently(4, "again")
		}
		is.True(s.targets["s0-t0"].Received() >= arrived+4) // of 16
	})
}

// Findings about one incarnation do not apply to another, whether older or newer.
func TestFindingsOfAnotherIncarnationDoNotCount(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.registerBorn("s0-t0", restartBornMs)
		s.registerBorn("s0-t1", firstBornMs)
		s.receiveFinding("s0-t0", firstBornMs)   // about the previous one
		s.receiveFinding("s0-t1", restartBornMs) // about one that is not registered here yet
		s.getConcurrently(4, "r")
		is.True(s.targets["s0-t0"].Received() > 0)
		is.True(s.targets["s0-t1"].Received() > 0)
	})
}

// A target hangs with a request and starts again, which ends the request. It is retried at another
// target if it is idempotent.
func TestRequestEndsWithTheIncarnationThatHasIt(t *testing.T) {
	for path, want := range map[string]int{"/one/x": http.StatusOK, "/once/x": http.StatusBadGateway} {
		t.Run(path, func(t *testing.T) {
			run(t, options{}, func(t *testing.T, s *site) {
				is := is.New(t)
				s.registerBorn("s0-t0", firstBornMs)
				s.registerBorn("s0-t1", firstBornMs)
				s.faults("s0", platformtarget.Faults{Silent: true})
				got := make(chan answer, 1)
				go func() { got <- s.get(path, "r1") }()
				time.Sleep(20 * time.Millisecond)
				s.faults("s0", platformtarget.Faults{})
				var holders []string // found before any restarts, since the retry then reaches the other target
				for id, target := range s.targets {
					if target.Received() > 0 {
						holders = append(holders, id)
					}
				}
				is.Equal(len(holders), 1)
				s.registerBorn(holders[0], restartBornMs)
				a := <-got
				is.Equal(a.status, want)
				is.True(a.took < 50*time.Millisecond) // does not wait for the deadline
			})
		})
	}
}

// A registration that is written again without a restart, as when its sequence number changes,
// keeps the target's health.
func TestSameIncarnationKeepsHealth(t *testing.T) {
	run(t, options{}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.registerBorn("s0-t0", firstBornMs)
		s.receiveFinding("s0-t0", firstBornMs)
		s.registerBorn("s0-t0", firstBornMs)
		s.getConcurrently(4, "r")
		is.Equal(s.targets["s0-t0"].Received(), 0)
	})
}
