package gateway

import (
	"slices"
	"sync"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// gathererIndex caches which hosts gather the queries of each route. It is rebuilt when the
// members, the targets or the configuration change.
type gathererIndex struct {
	self  member.Host
	hosts func() []member.Host // known hosts; may include this one

	mu         sync.Mutex
	builtFrom  []member.Host // members that byRoute was built from
	generation uint64        // generation of the targets and the configuration that byRoute was built from
	// maxLinkMbps is the link rate of the host with the widest link seen by this process. Shares
	// are computed with it, as hosts with such a link may return at any time, or be cut off from
	// this host alone.
	maxLinkMbps uint32
	// byRoute is by the route of one version of the configuration: a query that arrived under an earlier version
	// has other shards, and gatherers refer to shards by their index.
	byRoute map[*routing.Route]*gatherers
	// maxCounts is the maximum of gatherers.count seen by this process, by route; see hostCount.
	maxCounts map[string]int
}

// gatherers describes the hosts that gather the queries of one route.
type gatherers struct {
	shardDomains   []policy.Domains // failure domains with a target, by shard
	answerable     int              // shards with a target
	selfGathers    bool             // this host gathers
	ownDomain      int              // index of this host's failure domain in shardDomains; AnyDomain: it has no targets
	widestLinkMbps float64          // widest link of the current hosts
	hosts          []member.Host    // other hosts that gather, ejected ones included
	hostDomains    []int            // indexes of the failure domains of hosts
	counted        bool             // this host gathers by the widest link ever seen
	count          int              // hosts that gather by the widest link ever seen
}

func newGathererIndex(self member.Host, hosts func() []member.Host) *gathererIndex {
	return &gathererIndex{self: self, hosts: hosts, byRoute: map[*routing.Route]*gatherers{}, maxCounts: map[string]int{}}
}

// forRoute returns the hosts that gather the queries of a route.
func (index *gathererIndex) forRoute(reg *serviceRegistry, route *routing.Route) *gatherers {
	hosts, generation := index.hosts(), reg.generation.Load()
	index.mu.Lock()
	defer index.mu.Unlock()
	if generation != index.generation || !sameSlice(hosts, index.builtFrom) {
		index.builtFrom, index.generation = hosts, generation
		clear(index.byRoute)
	}
	g, ok := index.byRoute[route]
	if !ok {
		g = index.build(reg.cfg.Regions.hostsAtHome(route, hosts), reg.placement(route), reg.cfg.disabled(Locality))
		index.maxCounts[route.Name] = max(index.maxCounts[route.Name], g.count)
		g.count = index.maxCounts[route.Name]
		index.byRoute[route] = g
	}
	return g
}

// sameSlice reports whether two lists are the same slice: the membership makes a new one for each
// change.
func sameSlice(a, b []member.Host) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// build selects the hosts that gather queries over shards with the given placement. The caller
// holds the lock.
func (index *gathererIndex) build(hosts []member.Host, p placement, ignoreLocality bool) *gatherers {
	nearest := 0
	for _, n := range p.shardCounts {
		nearest = max(nearest, n)
	}
	widest := index.self.LinkMbps
	for _, h := range hosts {
		widest = max(widest, h.LinkMbps)
	}
	index.maxLinkMbps = max(index.maxLinkMbps, widest)
	gathers := func(h member.Host, widest uint32) bool {
		near := nearest
		if !ignoreLocality {
			near = p.shardCountIn(h.FailureDomain)
		}
		return policy.Gathers(float64(h.LinkMbps), float64(widest), near, nearest)
	}
	g := &gatherers{
		shardDomains: p.shardDomains, answerable: p.answerable, ownDomain: p.domain(index.self.FailureDomain), widestLinkMbps: float64(widest),
		selfGathers: gathers(index.self, widest), counted: gathers(index.self, index.maxLinkMbps),
	}
	if g.counted {
		g.count++
	}
	for _, h := range hosts {
		if h.ID == index.self.ID {
			continue
		}
		if h.State == member.Alive && gathers(h, widest) {
			g.hosts = append(g.hosts, h)
			g.hostDomains = append(g.hostDomains, p.domain(h.FailureDomain))
		}
		if gathers(h, index.maxLinkMbps) {
			g.count++
		}
	}
	return g
}

// placement tells in which failure domains the shards of a query have targets.
type placement struct {
	domains      []string         // failure domains with a target, at most policy.MostDomains
	shardDomains []policy.Domains // sets of indexes in domains, by shard
	shardCounts  []int            // number of shards with a target, by domain
	answerable   int              // shards with a target
}

// placement returns the placement of a route's shards on targets that may get its requests.
func (reg *serviceRegistry) placement(route *routing.Route) placement {
	p := placement{shardDomains: make([]policy.Domains, len(route.Shards))}
	for i, name := range route.Shards {
		domains := reg.cfg.Regions.domainsAtHome(route, reg.service(name).domains())
		if len(domains) > 0 {
			p.answerable++
		}
		for _, d := range domains {
			p.add(i, d)
		}
	}
	return p
}

// add records that a shard has a target in a failure domain.
func (p *placement) add(shard int, domain string) {
	at := p.domain(domain)
	if at == policy.AnyDomain {
		if len(p.domains) == policy.MostDomains {
			return // its shards are requested from another domain
		}
		at = len(p.domains)
		p.domains, p.shardCounts = append(p.domains, domain), append(p.shardCounts, 0)
	}
	p.shardDomains[shard] |= policy.DomainSet(at)
	p.shardCounts[at]++
}

// domain returns the index of a failure domain, AnyDomain if it has no target.
func (p *placement) domain(name string) int {
	if at := slices.Index(p.domains, name); at >= 0 {
		return at
	}
	return policy.AnyDomain
}

// shardCountIn returns how many shards have a target in a failure domain.
func (p *placement) shardCountIn(domain string) int {
	if at := p.domain(domain); at != policy.AnyDomain {
		return p.shardCounts[at]
	}
	return 0
}

// domains returns the failure domains of the targets that may get new requests.
func (s *service) domains() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for _, t := range s.targets {
		if !t.draining && !t.excluded && !slices.Contains(all, t.info.Domain) {
			all = append(all, t.info.Domain)
		}
	}
	return all
}
