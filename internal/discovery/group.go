package discovery

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

const (
	// minOwnGroupHosts is the number of hosts from which a failure domain has watching hosts of its
	// own, so that updates do not cross domains: a host that polls another domain's watcher fetches
	// configuration and targets over links whose traffic is billed. In a smaller domain a watch
	// costs more store calls than this traffic is worth.
	minOwnGroupHosts = 12
	// maxWatchers limits the watching hosts of a group, so that the load on the store does not grow
	// with the fleet.
	maxWatchers = 8
	// maxDomainWatchers is the same limit for a group that is one failure domain.
	maxDomainWatchers = 2
	// minWatcherLinkRatio is the link bandwidth that a watching host should have, relative to the
	// greatest of its group, as it sends updates to all others.
	minWatcherLinkRatio = 0.5
)

// group is a set of hosts that share a few watching hosts: those of one large failure domain, or
// those of all small ones together. Hosts with the same list of members compute the same groups.
type group struct {
	ranked       []member.Host // usable hosts; the first watcherCount of them watch the store
	watcherCount int
}

// groups is the division of a fleet into groups.
type groups struct {
	byDomain     map[string]*group
	smallDomains *group // all domains below minOwnGroupHosts together
}

// groupHosts divides hosts into groups, with one watching host for each perWatcher hosts.
func groupHosts(hosts []member.Host, perWatcher int) *groups {
	domains := map[string][]member.Host{}
	for _, h := range hosts {
		if h.Usable() {
			domains[h.FailureDomain] = append(domains[h.FailureDomain], h)
		}
	}
	g := &groups{byDomain: map[string]*group{}}
	var small []member.Host
	for domain, list := range domains {
		if len(list) < minOwnGroupHosts {
			small = append(small, list...)
			continue
		}
		g.byDomain[domain] = newGroup(list, perWatcher, maxDomainWatchers)
	}
	g.smallDomains = newGroup(small, perWatcher, maxWatchers)
	return g
}

func newGroup(hosts []member.Host, perWatcher, maxCount int) *group {
	maxMbps := uint32(0)
	for _, h := range hosts {
		maxMbps = max(maxMbps, h.LinkMbps)
	}
	isNarrow := func(h member.Host) int {
		if float64(h.LinkMbps) < minWatcherLinkRatio*float64(maxMbps) {
			return 1
		}
		return 0
	}
	slices.SortFunc(hosts, func(a, b member.Host) int {
		return cmp.Or(cmp.Compare(isNarrow(a), isNarrow(b)),
			cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return &group{ranked: hosts, watcherCount: min((len(hosts)+perWatcher-1)/perWatcher, maxCount)}
}

// groupOf returns the group of a host.
func (g *groups) groupOf(h member.Host) *group {
	if own, ok := g.byDomain[h.FailureDomain]; ok {
		return own
	}
	return g.smallDomains
}

// allWatchers returns the watching hosts of all groups.
func (g *groups) allWatchers() []member.Host {
	return g.watchersExcept(nil)
}

// watchersExcept returns the watching hosts of all groups but one.
func (g *groups) watchersExcept(own *group) []member.Host {
	var all []member.Host
	for _, other := range g.byDomain {
		if other != own {
			all = append(all, other.watchers()...)
		}
	}
	if g.smallDomains != own {
		all = append(all, g.smallDomains.watchers()...)
	}
	return all
}

// watchers returns the watching hosts of the group.
func (g *group) watchers() []member.Host { return g.ranked[:g.watcherCount] }

// isWatcher reports whether the host with the id is one of them.
func (g *group) isWatcher(id string) bool {
	return slices.ContainsFunc(g.watchers(), func(h member.Host) bool { return h.ID == id })
}

// rank returns how many hosts of the group come before the one with the id in reading the store
// when none has any state.
func (g *group) rank(id string) int {
	if i := slices.IndexFunc(g.ranked, func(h member.Host) bool { return h.ID == id }); i >= 0 {
		return i
	}
	return len(g.ranked)
}
