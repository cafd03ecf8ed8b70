package plan

import (
	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/member"
)

// relayConnectionShare is the fraction of a target's connection limit that its
// relays may use. The rest is reserved for periods in which hosts have
// different memberships and two sets of relays connect at once.
const relayConnectionShare = 0.8

// RelayCount returns how many relays a target may have: at most the number of
// hosts, what its connection limit allows, and limit (0: no bound). It is at
// least 1 while there is a host.
func RelayCount(hosts, connections, perRelay, limit int) int {
	n := hosts
	if perRelay > 0 && connections > 0 {
		n = min(n, int(relayConnectionShare*float64(connections))/perRelay)
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return min(max(n, 1), hosts)
}

// Relays returns the r hosts that relay a service, chosen by rendezvous hashing
// and spread over failure domains: a domain gets a second relay only after
// every domain has one. Hosts that are not usable are never chosen.
func Relays(service string, hosts []member.Host, r int) []member.Host {
	p := newPlacer(hosts)
	return p.hostsAt(p.chooseRelays(service, r, 1, unlimitedLoad))
}

// ForService returns the relays of a service among the hosts, as many as its
// rules and the lowest connection limit among its targets allow.
func ForService(s catalog.Service, hosts []member.Host) []member.Host {
	return Relays(s.Name, hosts, serviceSpec(s, countHosts(hosts)).Relays)
}

// ForServices returns the relays of all services, with a bound on the load of
// each host. Where the bound has no effect it returns the same as ForService.
func ForServices(services []catalog.Service, hosts []member.Host) *Assignment {
	size := countHosts(hosts)
	specs := make([]ServiceSpec, len(services))
	for i, s := range services {
		specs[i] = serviceSpec(s, size)
	}
	return Assign(specs, hosts)
}

// serviceSpec computes the number of relays of a service: the limit set in its
// rules or, if there is none, one for each slot of the smallest target, but no
// fewer than there are failure domains. With more relays the target would get
// more concurrent requests than it runs, as each relay needs at least one in
// flight.
func serviceSpec(s catalog.Service, size fleetSize) ServiceSpec {
	relays := size.hosts
	for _, t := range s.Targets {
		limit := s.Rules.Relays
		if limit == 0 {
			limit = max(t.Slots, size.domains)
		}
		relays = min(relays, RelayCount(size.hosts, t.Connections, s.Rules.ConnectionsPerRelay, limit))
	}
	return ServiceSpec{Service: s.Name, Targets: len(s.Targets), Relays: relays}
}

// fleetSize counts the usable hosts and their failure domains.
type fleetSize struct{ hosts, domains int }

func countHosts(hosts []member.Host) fleetSize {
	domains := make(map[string]bool)
	usable := 0
	for _, h := range hosts {
		if h.Usable() {
			usable++
			domains[h.FailureDomain] = true
		}
	}
	return fleetSize{usable, len(domains)}
}
