// Package plan computes which hosts relay a service and which relays an entry
// asks. It is pure: every host computes the same from the same membership,
// and hosts whose views differ waste a connection but break no promise.
package plan

import (
	"sort"

	"github.com/cespare/xxhash/v2"

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
// domain has its first.
func Relays(service string, hosts []member.Host, r int) []member.Host {
	ranked := rank(service, hosts)
	if r >= len(ranked) {
		return ranked
	}
	return spread(ranked, r)
}

type weighted struct {
	host   member.Host
	weight uint64
}

func rank(service string, hosts []member.Host) []member.Host {
	all := make([]weighted, 0, len(hosts))
	for _, h := range hosts {
		if h.Usable() {
			all = append(all, weighted{h, xxhash.Sum64String(service + "\x00" + h.ID)})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].weight != all[j].weight {
			return all[i].weight > all[j].weight
		}
		return all[i].host.ID < all[j].host.ID
	})
	ranked := make([]member.Host, len(all))
	for i, w := range all {
		ranked[i] = w.host
	}
	return ranked
}

func spread(ranked []member.Host, r int) []member.Host {
	chosen := make([]member.Host, 0, r)
	left := ranked
	for len(chosen) < r {
		seen := make(map[string]bool)
		var rest []member.Host
		for _, h := range left {
			if len(chosen) < r && !seen[h.FailureDomain] {
				seen[h.FailureDomain] = true
				chosen = append(chosen, h)
				continue
			}
			rest = append(rest, h)
		}
		left = rest
	}
	return chosen
}

// ForService returns the relays of a service among the hosts, as many as the
// connection limit of its tightest target and its rules allow.
func ForService(s catalog.Service, hosts []member.Host) []member.Host {
	connections := 0
	for _, t := range s.Targets {
		if connections == 0 || t.Connections < connections {
			connections = t.Connections
		}
	}
	usable := 0
	for _, h := range hosts {
		if h.Usable() {
			usable++
		}
	}
	return Relays(s.Name, hosts, RelayCount(usable, connections, s.Rules.ConnectionsPerRelay, s.Rules.Relays))
}
