package gateway

import (
	"slices"
	"sync"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// gathererIndex tells which hosts gather the queries of a route. It is made anew when the
// members, the targets or the configuration change.
type gathererIndex struct {
	self  member.Host
	hosts func() []member.Host // those known, this one may be among them

	mu         sync.Mutex
	builtFrom  []member.Host // that byRoute was made for
	generation uint64        // of the targets and the configuration that it was made for
	// maxLinkMbps is the maxLinkMbps link ever seen: what hosts share is divided by it, as hosts
	// with such a link may be back at any time, or be cut off from this one alone.
	maxLinkMbps uint32
	byRoute     map[string]*gatherers
	// maxCounts is how many hosts were ever seen to gather for a route; see fleet.size.
	maxCounts map[string]int
}

// gatherers are the hosts that gather the queries of one route.
type gatherers struct {
	shardDomains   []policy.Domains // domains with a target, by shard
	answerable     int              // shards with a target
	selfGathers    bool             // this host gathers
	ownDomain      int              // its failure domain, as in holders; AnyDomain: no target stands there
	widestLinkMbps float64          // link of all hosts, in Mbit/s
	hosts          []member.Host    // others that gather; they may be set aside
	hostDomains    []int            // their failure domains
	counted        bool             // this host counts as one that gathers in what hosts share
	count          int              // hosts that do, by the widest link ever seen
}

func newGathererIndex(self member.Host, hosts func() []member.Host) *gathererIndex {
	return &gathererIndex{self: self, hosts: hosts, byRoute: map[string]*gatherers{}, maxCounts: map[string]int{}}
}

// forRoute returns who gathers the queries forRoute a route.
func (r *gathererIndex) forRoute(f *serviceRegistry, route *routing.Route) *gatherers {
	hosts, serial := r.hosts(), f.generation.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	if serial != r.generation || !sameSlice(hosts, r.builtFrom) {
		r.builtFrom, r.generation = hosts, serial
		clear(r.byRoute)
	}
	g, ok := r.byRoute[route.Name]
	if !ok {
		g = r.build(f.cfg.Regions.hostsAtHome(route, hosts), f.placement(route), f.cfg.disabled(Locality))
		r.maxCounts[route.Name] = max(r.maxCounts[route.Name], g.count)
		g.count = r.maxCounts[route.Name]
		r.byRoute[route.Name] = g
	}
	return g
}

// sameSlice reports whether two lists are one: the membership makes a new one with each
// change.
func sameSlice(a, b []member.Host) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// build finds the hosts that build queries over shards so placed. The caller holds the
// lock.
func (r *gathererIndex) build(hosts []member.Host, p placement, ignoreLocality bool) *gatherers {
	nearest := 0
	for _, n := range p.shardCounts {
		nearest = max(nearest, n)
	}
	widest := r.self.LinkMbps
	for _, h := range hosts {
		widest = max(widest, h.LinkMbps)
	}
	r.maxLinkMbps = max(r.maxLinkMbps, widest)
	gathers := func(h member.Host, widest uint32) bool {
		near := nearest
		if !ignoreLocality {
			near = p.shardCountIn(h.FailureDomain)
		}
		return policy.Gathers(float64(h.LinkMbps), float64(widest), near, nearest)
	}
	g := &gatherers{
		shardDomains: p.shardDomains, answerable: p.answerable, ownDomain: p.domain(r.self.FailureDomain), widestLinkMbps: float64(widest),
		selfGathers: gathers(r.self, widest), counted: gathers(r.self, r.maxLinkMbps),
	}
	if g.counted {
		g.count++
	}
	for _, h := range hosts {
		if h.ID == r.self.ID {
			continue
		}
		if h.State == member.Alive && gathers(h, widest) {
			g.hosts = append(g.hosts, h)
			g.hostDomains = append(g.hostDomains, p.domain(h.FailureDomain))
		}
		if gathers(h, r.maxLinkMbps) {
			g.count++
		}
	}
	return g
}

// placement tells in which failure domains the shards of a query have targets.
type placement struct {
	domains      []string         // those with a target, at most policy.MostDomains
	shardDomains []policy.Domains // by shard
	shardCounts  []int            // shards, by domain
	answerable   int              // shards with a target
}

// placement returns where the targets of a route's shards are that may get its requests.
func (f *serviceRegistry) placement(route *routing.Route) placement {
	p := placement{shardDomains: make([]policy.Domains, len(route.Shards))}
	for i, name := range route.Shards {
		domains := f.cfg.Regions.domainsAtHome(route, f.service(name).domains())
		if len(domains) > 0 {
			p.answerable++
		}
		for _, d := range domains {
			p.add(i, d)
		}
	}
	return p
}

// add notes that a shard has a target in a domain.
func (p *placement) add(shard int, domain string) {
	at := p.domain(domain)
	if at == policy.AnyDomain {
		if len(p.domains) == policy.MostDomains {
			return // asked from another one
		}
		at = len(p.domains)
		p.domains, p.shardCounts = append(p.domains, domain), append(p.shardCounts, 0)
	}
	p.shardDomains[shard] |= policy.DomainSet(at)
	p.shardCounts[at]++
}

// domain returns the index of a failure domain, AnyDomain if no target stands there.
func (p *placement) domain(name string) int {
	if at := slices.Index(p.domains, name); at >= 0 {
		return at
	}
	return policy.AnyDomain
}

// shardCountIn returns how many shards have a target in a domain.
func (p *placement) shardCountIn(domain string) int {
	if at := p.domain(domain); at != policy.AnyDomain {
		return p.shardCounts[at]
	}
	return 0
}

// domains returns the failure domains of the targets that may get work.
func (s *service) domains() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for _, t := range s.targets {
		if !t.draining && !slices.Contains(all, t.conf.Domain) {
			all = append(all, t.conf.Domain)
		}
	}
	return all
}
