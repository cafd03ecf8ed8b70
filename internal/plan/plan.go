package plan

import (
	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/member"
)

// connectionShare is the part of a target's connection limit that its relays
// may use. The rest is left for the time in which hosts see different
// memberships and two sets of relays overlap.
const connectionShare = 0.8

// RelayCount returns how many relays a target may have: no more than there
// are hosts, than its connection limit allows, and than limit (0: no bound).
// It is at least 1 while there is a host.
func RelayCount(hosts, connections, perRelay, limit int) int {
	n := hosts
	if perRelay > 0 && connections > 0 {
		n = min(n, int(connectionShare*float64(connections))/perRelay)
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return min(max(n, 1), hosts)
}

// Relays returns the r hosts that relay a service, by rendezvous hashing,
// spread over failure domains: a domain gets its second relay only when every
// domain has its first. Hosts that are not usable get none.
func Relays(service string, hosts []member.Host, r int) []member.Host {
	p := newPlacer(hosts)
	return p.at(p.place(service, r, 1, unbounded))
}

// ForService returns the relays of a service among the hosts, as many as the
// connection limit of its tightest target and its rules allow.
func ForService(s catalog.Service, hosts []member.Host) []member.Host {
	return Relays(s.Name, hosts, setOf(s, sizeOf(hosts)).Relays)
}

// ForServices returns the relays of all services, with the load of the hosts
// bounded. Where the bound does not bind it tells the same as ForService.
func ForServices(services []catalog.Service, hosts []member.Host) *Assignment {
	size := sizeOf(hosts)
	sets := make([]ReplicaSet, len(services))
	for i, s := range services {
		sets[i] = setOf(s, size)
	}
	return Assign(sets, hosts)
}

// setOf tells how many relays the targets of a service have: the rules' bound,
// or, if they name none, one for each slot of the smallest target and no fewer
// than failure domains. More would give the target more requests at once than
// it runs, as each relay needs at least one in flight.
func setOf(s catalog.Service, f fleetSize) ReplicaSet {
	relays := f.hosts
	for _, t := range s.Targets {
		limit := s.Rules.Relays
		if limit == 0 {
			limit = max(t.Slots, f.domains)
		}
		relays = min(relays, RelayCount(f.hosts, t.Connections, s.Rules.ConnectionsPerRelay, limit))
	}
	return ReplicaSet{Service: s.Name, Targets: len(s.Targets), Relays: relays}
}

// fleetSize counts the usable hosts and their failure domains.
type fleetSize struct{ hosts, domains int }

func sizeOf(hosts []member.Host) fleetSize {
	domains := make(map[string]bool)
	n := 0
	for _, h := range hosts {
		if h.Usable() {
			n++
			domains[h.FailureDomain] = true
		}
	}
	return fleetSize{n, len(domains)}
}
