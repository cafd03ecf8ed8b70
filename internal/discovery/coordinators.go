package discovery

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

const (
	// maxCoordinators is the largest number of hosts that Exchange.Coordinators returns.
	maxCoordinators = 4
	// maxCachedCoordinators bounds the keys whose coordinators are cached.
	maxCachedCoordinators = 1024
)

// coordinatorCache is the coordinators by key, for one division of the fleet into groups.
type coordinatorCache struct {
	groups *groups
	byKey  map[string][]member.Host
}

// Coordinators returns up to n hosts that coordinate what belongs to a key, the first in turn first:
// the watching hosts in the order of TurnFor, and, since a small fleet has only one of them, then the
// other hosts, those with the widest links first. n is at most maxCoordinators. The result must not be
// modified. Hosts with the same list of members return the same hosts.
func (s *Exchange) Coordinators(key string, n int) []member.Host {
	g := s.currentGroups()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coordinators.groups != g || len(s.coordinators.byKey) >= maxCachedCoordinators {
		s.coordinators = coordinatorCache{groups: g, byKey: map[string][]member.Host{}}
	}
	hosts, ok := s.coordinators.byKey[key]
	if !ok {
		hosts = g.coordinators(key)
		s.coordinators.byKey[key] = hosts
	}
	return hosts[:min(n, len(hosts))]
}

// coordinators returns the first maxCoordinators hosts in turn for a key.
func (g *groups) coordinators(key string) []member.Host {
	byTurn := func(a, b member.Host) int {
		return cmp.Or(cmp.Compare(turnHash(key, a.ID), turnHash(key, b.ID)), cmp.Compare(a.ID, b.ID))
	}
	hosts := g.allWatchers()
	slices.SortFunc(hosts, byTurn)
	if len(hosts) < maxCoordinators {
		others := g.notWatching()
		slices.SortFunc(others, func(a, b member.Host) int {
			return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), byTurn(a, b))
		})
		hosts = append(hosts, others...)
	}
	return slices.Clip(hosts[:min(maxCoordinators, len(hosts))])
}

// notWatching returns the usable hosts that do not watch the store.
func (g *groups) notWatching() []member.Host {
	all := slices.Clone(g.smallDomains.ranked[g.smallDomains.watcherCount:])
	for _, domain := range g.byDomain {
		all = append(all, domain.ranked[domain.watcherCount:]...)
	}
	return all
}

// turnHash returns the hash by which watching hosts are ranked for a key.
func turnHash(key, id string) uint64 { return xxhash.Sum64String(key + "/" + id) }
