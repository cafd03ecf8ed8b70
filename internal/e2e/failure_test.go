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

// judgeReservations holds what callers were told against the targets' own
// logs: no reservation ran twice, what was told as not run did not run, and
// what was told as granted ran.
func judgeReservations(t *testing.T, s *site, all []told) {
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
				t.Errorf("request %s was told as not run (%s) but ran", r.requestID, r.Reason)
			}
		case r.status != http.StatusOK:
			counts["unknown: "+r.Reason]++
		default:
			counts["answered"]++
			if r.Granted && len(ran[r.reservationID]) != 1 {
				t.Errorf("reservation %s is told as granted, but ran %d times", r.reservationID, len(ran[r.reservationID]))
			}
		}
	}
	t.Logf("reservations: %d ran; requests: %v", len(ran), counts)
}

// judgeSearches checks that each answer's rows are those of the shards that
// it tells as answered.
func judgeSearches(t *testing.T, all []told) {
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
			t.Errorf("request %s has rows of %d shards and tells %+v", r.requestID, len(shards), r.Coverage)
		}
	}
}

// rotate picks one host after another.
func rotate(hosts func() []*host) func() string {
	var n atomic.Int64
	return func() string {
		all := hosts()
		return all[int(n.Add(1))%len(all)].callers
	}
}

func (s *site) everyHost() []*host { return s.hosts }

// knowsAlive waits until the host counts this many hosts as alive.
func (h *host) knowsAlive(t *testing.T, n int) {
	t.Helper()
	want := fmt.Sprintf("rhubarbwood_member_hosts{state=\"alive\"} %d\n", n)
	until(t, fmt.Sprintf("%s counts %d hosts alive", h.name, n), func() bool { return strings.Contains(h.metrics(t), want) })
}

// TestReservationsUnderFaults makes reservations through three hosts while
// hosts are killed and frozen past every lease, the platform loses answers of
// writes that took effect, applies writes late and is away, targets run and
// drop the answer, and callers repeat at other hosts at once.
func TestReservationsUnderFaults(t *testing.T) {
	s := startSiteWith(t, 3, 1)
	hosts := s.hosts
	desks := s.deskTargets(t)
	c := newCallers(rotate(func() []*host { return hosts }))
	c.run(8, c.reserve)
	c.reach(t, 40)

	control(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{
		LoseProbability: 0.2, LateProbability: 0.1, LateDelay: unit.Duration(200 * time.Millisecond)})
	for _, address := range desks {
		control(t, address, target.PathFaults, target.Faults{Cut: 0.2})
	}
	c.reach(t, 20)
	for round := range 6 { // freezes that catch requests at whatever step they are
		h := hosts[round%len(hosts)]
		h.signal(t, syscall.SIGSTOP)
		c.reach(t, 5)
		h.signal(t, syscall.SIGCONT)
		c.reach(t, 5)
	}

	hosts[2].signal(t, syscall.SIGSTOP)
	hosts[0].knowsAlive(t, 2) // frozen past every lease
	hosts[1].signal(t, syscall.SIGKILL)
	<-hosts[1].ended
	control(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{Outage: objectstore.OutageHang})
	before := c.refused()
	until(t, "the outage is told", func() bool { return c.refused() >= before+5 })
	hosts[2].signal(t, syscall.SIGCONT)
	control(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{})
	for _, address := range desks {
		control(t, address, target.PathFaults, target.Faults{})
	}
	s.hosts[1] = s.replaceHost(t, 1)
	s.hosts[1].untilReady(t, 3)
	c.reach(t, 40)
	all := c.finish()
	judgeReservations(t, s, all)
	s.repeatEverywhere(t, all)
}

// repeatEverywhere repeats every reservation at every host after all faults
// are over: nothing runs a second time, and what was granted stays granted. A
// host may shed a repeat, which says nothing of the reservation; it is then
// repeated until the host answers.
func (s *site) repeatEverywhere(t *testing.T, all []told) {
	t.Helper()
	granted := map[string]bool{}
	for _, r := range all {
		granted[r.reservationID] = granted[r.reservationID] || r.Granted
	}
	again := newCallers(rotate(s.everyHost))
	for id, was := range granted {
		for range s.hosts {
			var r told
			until(t, "a repeat that is not shed", func() bool {
				r = again.reserveOnce(id)
				return !r.NotRun || r.Reason != "overload"
			})
			if was && !r.Granted {
				t.Errorf("reservation %s was granted, and a repeat is told %d %s", id, r.status, r.Reason)
			}
		}
	}
	judgeReservations(t, s, again.all)
}

// refused counts the refusals so far.
func (c *callers) refused() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.all {
		if r.Reason != "" {
			n++
		}
	}
	return n
}

// deskTargets returns the addresses of the targets that take reservations.
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

// TestRollingStop replaces every host, one after another, under steady
// searches and reservations through a balancer that goes on sending for its
// lag. No request is cut off, refused or answered in part.
func TestRollingStop(t *testing.T) {
	s := startSiteWith(t, 3, 1)
	b := newBalancer(balancerLag, s.hosts)
	defer b.close()
	c := newCallers(b.pick)
	c.run(4, c.search)
	c.run(2, c.reserve)
	c.reach(t, 50)
	for i, old := range s.hosts {
		old.signal(t, syscall.SIGTERM)
		if code := old.exitCode(t); code != cli.ExitOK {
			t.Errorf("%s exits with %d:\n%s", old.name, code, old.log.String())
		}
		h := s.replaceHost(t, i)
		h.untilReady(t, 3)
		b.add(h)
		until(t, "the balancer sends to "+h.name, func() bool { return b.sends(h) })
		c.reach(t, 50)
	}
	all := c.finish()
	for _, r := range all {
		if r.status != http.StatusOK || (r.reservationID == "" && !r.Coverage.Complete) {
			t.Errorf("request %s at %s: status %d, %s, %v, coverage %+v", r.requestID, r.host, r.status, r.Reason, r.err, r.Coverage)
		}
	}
	t.Logf("%d requests over three stops", len(all))
	judgeReservations(t, s, all)
	judgeSearches(t, all)
}

// TestStopDuringFreezeDuringOutage stops one host while another is frozen and
// the platform is away: the stop cuts nothing off that was sent to the
// stopping host, no reservation runs twice, and each answer is true.
func TestStopDuringFreezeDuringOutage(t *testing.T) {
	s := startSiteWith(t, 4, 2)
	b := newBalancer(balancerLag, s.hosts[:3])
	defer b.close()
	c := newCallers(b.pick)
	c.run(4, c.search)
	c.run(2, c.reserve)
	c.reach(t, 50)
	control(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{Outage: objectstore.OutageCut})
	s.hosts[3].signal(t, syscall.SIGSTOP) // a relay of some services, and of no caller
	c.reach(t, 20)
	stopping := s.hosts[0]
	if code := stopping.stop(t); code != cli.ExitOK {
		t.Errorf("%s exits with %d:\n%s", stopping.name, code, stopping.log.String())
	}
	c.reach(t, 20)
	control(t, s.platformAddress, objectstore.PathFaults, objectstore.Faults{})
	s.hosts[3].signal(t, syscall.SIGCONT)
	c.reach(t, 50)
	all := c.finish()
	for _, r := range all {
		if r.status == 0 {
			t.Errorf("request %s at %s was cut off: %v", r.requestID, r.host, r.err)
		}
	}
	judgeReservations(t, s, all)
	judgeSearches(t, all)
}
