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
	return Relays(s.Name, hosts, setOf(s, usable(hosts)).Relays)
}

// ForServices returns the relays of all services, with the load of the hosts
// bounded. While every host relays every service it tells the same as
// ForService.
func ForServices(services []catalog.Service, hosts []member.Host) *Assignment {
	n := usable(hosts)
	sets := make([]ReplicaSet, len(services))
	for i, s := range services {
		sets[i] = setOf(s, n)
	}
	return Assign(sets, hosts)
}

func setOf(s catalog.Service, hosts int) ReplicaSet {
	relays := hosts
	for _, t := range s.Targets {
		relays = min(relays, RelayCount(hosts, t.Connections, s.Rules.ConnectionsPerRelay, s.Rules.Relays))
	}
	return ReplicaSet{Service: s.Name, Targets: len(s.Targets), Relays: relays}
}

func usable(hosts []member.Host) int {
	n := 0
	for _, h := range hosts {
		if h.Usable() {
			n++
		}
	}
	return n
}
