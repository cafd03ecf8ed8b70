package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/cli"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// checkReservations compares the responses to callers with the targets' execution logs: no
// reservation ran twice, no request reported as not run has run, and every reservation reported as
// granted has run.
func checkReservations(t *testing.T, s *site, all []callerResult) {
	t.Helper()
	ran := s.executions(t)
	byRequest := map[string]bool{}
	for id, executions := range ran {
		if len(executions) > 1 {
			t.Errorf("reservation %s ran %d times: %+v", id, len(executions), executions)
		}
		for _, e := range executions {
			byRequest[e.RequestID] = true
		}
	}
	counts := map[string]int{}
	for _, r := range all {
		if r.reservationID == "" {
			continue
		}
		switch {
		case r.status == 0:
			counts["no answer"]++
		case r.status != http.StatusOK && r.NotRun:
			counts["not run: "+r.Reason]++
			if byRequest[r.requestID] {
				t.Errorf("request %s was reported as not run (%s) but ran", r.requestID, r.Reason)
			}
		case r.status != http.StatusOK:
			counts["unknown: "+r.Reason]++
		default:
			counts["answered"]++
			if r.Granted && len(ran[r.reservationID]) != 1 {
				t.Errorf("reservation %s was reported as granted, but ran %d times", r.reservationID, len(ran[r.reservationID]))
			}
		}
	}
	t.Logf("reservations: %d ran; requests: %v", len(ran), counts)
}

// checkSearches checks that the rows of each answer come from as many shards as it reports as
// answered.
func checkSearches(t *testing.T, all []callerResult) {
	t.Helper()
	for _, r := range all {
		if r.reservationID != "" || r.status != http.StatusOK {
			continue
		}
		shards := map[string]bool{}
		for _, row := range r.Rows {
			shards[fmt.Sprint(row.Service, "/", row.Shard)] = true
		}
		if len(shards) != r.Coverage.Answered || r.Coverage.Complete != (len(shards) == r.Coverage.Shards) {
			t.Errorf("request %s has rows of %d shards but reports %+v", r.requestID, len(shards), r.Coverage)
		}
	}
}

// roundRobin returns a function that cycles through the hosts.
func roundRobin(hosts func() []*host) func() string {
	var n atomic.Int64
	return func() string {
		all := hosts()
		return all[int(n.Add(1))%len(all)].callers
	}
}

func (s *site) everyHost() []*host { return s.hosts }

// waitForHosts waits until the host counts n hosts as alive.
func (h *host) waitForHosts(t *testing.T, n int) {
	t.Helper()
	want := fmt.Sprintf("rhubarbwood_member_hosts{state=\"alive\"} %d\n", n)
	waitUntil(t, fmt.Sprintf("%s counts %d hosts alive", h.name, n), func() bool { return strings.Contains(h.metrics(t), want) })
}

// TestReservationsUnderFaults makes reservations through three hosts while hosts are killed or
// suspended beyond every lease, the platform loses responses to applied writes, applies writes
// late and is unavailable, targets run requests without responding, and callers repeat requests at
// other hosts at once.
func TestReservationsUnderFaults(t *testing.T) {
	s := startSiteWith(t, 3, 1)
	hosts := s.hosts
	desks := s.deskTargets(t)
	c := newCallers(roundRobin(func() []*host { return hosts }))
	c.run(8, c.reserve)
	c.waitForAnswers(t, 40)

	postControl(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{
		LoseProbability: 0.2, LateProbability: 0.1, LateDelay: unit.Duration(200 * time.Millisecond)})
	for _, address := range desks {
		postControl(t, address, target.PathFaults, target.Faults{Cut: 0.2})
	}
	c.waitForAnswers(t, 20)
	for round := range 6 { // suspend hosts at different points of requests in progress
		h := hosts[round%len(hosts)]
		h.signal(t, syscall.SIGSTOP)
		c.waitForAnswers(t, 5)
		h.signal(t, syscall.SIGCONT)
		c.waitForAnswers(t, 5)
	}

	hosts[2].signal(t, syscall.SIGSTOP)
	hosts[0].waitForHosts(t, 2) // suspended beyond every lease
	hosts[1].signal(t, syscall.SIGKILL)
	<-hosts[1].ended
	postControl(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{Outage: objectstore.OutageHang})
	before := c.refusalCount()
	waitUntil(t, "refusals during the outage", func() bool { return c.refusalCount() >= before+5 })
	hosts[2].signal(t, syscall.SIGCONT)
	postControl(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{})
	for _, address := range desks {
		postControl(t, address, target.PathFaults, target.Faults{})
	}
	s.hosts[1] = s.replaceHost(t, 1)
	s.hosts[1].untilReady(t, 3)
	c.waitForAnswers(t, 40)
	all := c.finish()
	checkReservations(t, s, all)
	s.repeatEverywhere(t, all)
}

// repeatEverywhere repeats every reservation at every host after all faults have ended: nothing
// may run a second time, and granted reservations must stay granted. A host may shed a repeat,
// which leaves the outcome open; the repeat is then retried until the host answers.
func (s *site) repeatEverywhere(t *testing.T, all []callerResult) {
	t.Helper()
	granted := map[string]bool{}
	for _, r := range all {
		granted[r.reservationID] = granted[r.reservationID] || r.Granted
	}
	again := newCallers(roundRobin(s.everyHost))
	for id, was := range granted {
		for range s.hosts {
			var r callerResult
			waitUntil(t, "a repeat that is not shed", func() bool {
				r = again.reserveOnce(id)
				return !r.NotRun || r.Reason != "overload"
			})
			if was && !r.Granted {
				t.Errorf("reservation %s was granted, but a repeat got %d %s", id, r.status, r.Reason)
			}
		}
	}
	checkReservations(t, s, again.results)
}

// refusalCount returns the number of refusals so far.
func (c *callers) refusalCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.results {
		if r.Reason != "" {
			n++
		}
	}
	return n
}

// deskTargets returns the addresses of the reservation targets.
func (s *site) deskTargets(t *testing.T) []string {
	t.Helper()
	var all []string
	for id, address := range s.addresses {
		if strings.HasPrefix(id, "reservation-desk") {
			all = append(all, address)
		}
	}
	if len(all) == 0 {
		t.Fatal("no target takes reservations")
	}
	return all
}

const balancerLag = 300 * time.Millisecond

// TestRollingStop replaces all hosts one after another under steady searches and reservations,
// through a balancer that notices a stopping host only after its lag. No request may be cut off or
// refused, and no answer may be partial.
func TestRollingStop(t *testing.T) {
	s := startSiteWith(t, 3, 1)
	b := newBalancer(balancerLag, s.hosts)
	defer b.close()
	c := newCallers(b.pick)
	c.run(4, c.search)
	c.run(2, c.reserve)
	c.waitForAnswers(t, 50)
	for i, old := range s.hosts {
		old.signal(t, syscall.SIGTERM)
		if code := old.exitCode(t); code != cli.ExitOK {
			t.Errorf("%s exits with %d:\n%s", old.name, code, old.log.String())
		}
		h := s.replaceHost(t, i)
		h.untilReady(t, 3)
		b.add(h)
		waitUntil(t, "the balancer sends to "+h.name, func() bool { return b.routesTo(h) })
		c.waitForAnswers(t, 50)
	}
	all := c.finish()
	for _, r := range all {
		if r.status != http.StatusOK || (r.reservationID == "" && !r.Coverage.Complete) {
			t.Errorf("request %s at %s: status %d, %s, %v, coverage %+v", r.requestID, r.host, r.status, r.Reason, r.err, r.Coverage)
		}
	}
	t.Logf("%d requests over three stops", len(all))
	checkReservations(t, s, all)
	checkSearches(t, all)
}

// TestStopDuringFreezeDuringOutage stops one host while another is suspended and the platform is
// unavailable: no request to the stopping host may be cut off, no reservation may run twice, and
// every answer must be correct.
func TestStopDuringFreezeDuringOutage(t *testing.T) {
	s := startSiteWith(t, 4, 2)
	b := newBalancer(balancerLag, s.hosts[:3])
	defer b.close()
	c := newCallers(b.pick)
	c.run(4, c.search)
	c.run(2, c.reserve)
	c.waitForAnswers(t, 50)
	postControl(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{Outage: objectstore.OutageCut})
	s.hosts[3].signal(t, syscall.SIGSTOP) // relays for some services, but receives no callers
	c.waitForAnswers(t, 20)
	stopping := s.hosts[0]
	if code := stopping.stop(t); code != cli.ExitOK {
		t.Errorf("%s exits with %d:\n%s", stopping.name, code, stopping.log.String())
	}
	c.waitForAnswers(t, 20)
	postControl(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{})
	s.hosts[3].signal(t, syscall.SIGCONT)
	c.waitForAnswers(t, 50)
	all := c.finish()
	for _, r := range all {
		if r.status == 0 {
			t.Errorf("request %s at %s was cut off: %v", r.requestID, r.host, r.err)
		}
	}
	checkReservations(t, s, all)
	checkSearches(t, all)
}
