package plan

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/member"
)

func TestRelayCountStaysUnderTheConnectionLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 800).Draw(t, "hosts")
		connections := rapid.IntRange(1, 200).Draw(t, "connections")
		perRelay := rapid.IntRange(1, 8).Draw(t, "per relay")
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		n := RelayCount(hosts, connections, perRelay, limit)
		if n < 1 || n > hosts {
			t.Fatalf("%d relays of %d hosts", n, hosts)
		}
		if n > 1 && float64(n*perRelay) > relayConnectionShare*float64(connections) {
			t.Fatalf("%d relays with %d connections each exceed the limit %d", n, perRelay, connections)
		}
		if limit > 0 && n > limit {
			t.Fatalf("%d relays, want at most %d", n, limit)
		}
	})
}

func TestAssignmentIsBoundedAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 60).Draw(t, "hosts")
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		all := testSpecs(rapid.IntRange(1, 120).Draw(t, "sets"), 3, rapid.IntRange(1, 6).Draw(t, "relays"))
		hosts := fleet(n, domains)
		a := Assign(all, hosts)
		total, maxLoad := 0, 0
		for _, h := range hosts {
			total += a.Load(h.ID)
			maxLoad = max(maxLoad, a.Load(h.ID))
		}
		mean := float64(total) / float64(n)
		bound := max(math.Ceil(1.25*mean), 3*math.Ceil(mean/3)) // whole services of 3 targets
		for _, s := range all {
			relays := a.Relays(s.Service)
			if len(relays) != min(s.Relays, n) || len(distinct(relays)) != len(relays) {
				t.Fatalf("%s has relays %v", s.Service, relays)
			}
		}
		// With few more hosts than relays, the last services find only full hosts.
		if float64(maxLoad) > bound && all[0].Relays*4 < n {
			t.Fatalf("%d targets on one host, bound %.0f", maxLoad, bound)
		}
	})
}

func TestRelaysSpreadOverDomainsFirst(t *testing.T) {
	is := is.New(t)
	for _, s := range testSpecs(50, 3, 4) {
		relays := Relays(s.Service, fleet(20, 4), 4)
		domains := make(map[string]bool)
		for _, h := range relays {
			domains[h.FailureDomain] = true
		}
		is.Equal(len(domains), 4) // one relay in each domain
	}
}

func TestAssignmentIsIndependentOfInputOrder(t *testing.T) {
	is := is.New(t)
	all, hosts := testSpecs(80, 3, 3), fleet(24, 4)
	a := Assign(all, hosts)
	slices.Reverse(all)
	shuffled := slices.Clone(hosts)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) {
		shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
	})
	b := Assign(all, shuffled)
	for _, s := range all {
		is.Equal(ids(a.Relays(s.Service)), ids(b.Relays(s.Service)))
	}
}

func TestLeavingHostsGetNoRelays(t *testing.T) {
	is := is.New(t)
	hosts := fleet(6, 3)
	hosts[2].State = member.Leaving
	a := Assign(testSpecs(40, 3, 6), hosts)
	is.Equal(a.Load(hosts[2].ID), 0)
	is.Equal(len(a.Relays("service-0001")), 5)
}

func TestRelaysFollowTheSlotsUnlessRulesSayOtherwise(t *testing.T) {
	is := is.New(t)
	s := catalog.Service{Name: "guest-portal-01", Targets: []catalog.Target{
		{ID: "a", Connections: 25, Slots: 2}, {ID: "b", Connections: 25, Slots: 2},
	}}
	s.Rules.ConnectionsPerRelay = 2
	is.Equal(len(ForService(s, fleet(9, 3))), 3) // one in each failure domain
	is.Equal(len(ForService(s, fleet(2, 2))), 2) // every host
	s.Targets[0].Slots, s.Targets[1].Slots = 6, 6
	is.Equal(len(ForService(s, fleet(9, 3))), 6)
	s.Rules.Relays = 9
	is.Equal(len(ForService(s, fleet(9, 3))), 9)
	is.Equal(ids(ForService(s, fleet(9, 3))), ids(ForServices([]catalog.Service{s}, fleet(9, 3)).Relays(s.Name)))
	s.Targets[0].Connections = 5
	is.Equal(len(ForService(s, fleet(9, 3))), 2) // 80% of 5 connections, 2 per relay
}

func TestCoverAssignsEachServiceToOneOfItsRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(rapid.IntRange(2, 30).Draw(t, "hosts"), 3)
		all := testSpecs(rapid.IntRange(1, 40).Draw(t, "sets"), 3, rapid.IntRange(1, 4).Draw(t, "relays"))
		maxServices := rapid.IntRange(0, 6).Draw(t, "most")
		a := Assign(all, hosts)
		c := Coverer{Assignment: a, MaxServices: maxServices}
		requests, uncovered := c.Cover(names(all), rand.New(rand.NewPCG(1, 2)))
		if len(uncovered) > 0 {
			t.Fatalf("no relay for %v", uncovered)
		}
		requested := make(map[string]int)
		for _, request := range requests {
			for _, s := range request.Services {
				requested[s]++
				if !a.IsRelay(s, request.Relay.ID) {
					t.Fatalf("%s is not a relay of %s", request.Relay.ID, s)
				}
			}
		}
		for _, s := range all {
			if requested[s.Service] != 1 {
				t.Fatalf("%s requested %d times", s.Service, requested[s.Service])
			}
		}
	})
}

func TestCoverReturnsServicesWithoutRelay(t *testing.T) {
	is := is.New(t)
	c := Coverer{Assignment: Assign(nil, fleet(3, 3))}
	requests, uncovered := c.Cover([]string{"a", "b"}, rand.New(rand.NewPCG(1, 2)))
	is.Equal(len(requests), 0)
	is.Equal(uncovered, []string{"a", "b"})
}

func distinct(hosts []member.Host) map[string]bool {
	seen := make(map[string]bool)
	for _, h := range hosts {
		seen[h.ID] = true
	}
	return seen
}

func ids(hosts []member.Host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.ID)
	}
	return out
}

func names(all []ServiceSpec) []string {
	var out []string
	for _, s := range all {
		out = append(out, s.Service)
	}
	return out
}
