package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// loadBound is how many times the mean number of targets one host may relay.
const loadBound = 1.25

// unbounded is the capacity of a host whose load does not matter.
const unbounded = math.MaxInt

// ReplicaSet is one service as an assignment sees it.
type ReplicaSet struct {
	Service string
	Targets int // load that each of its relays takes
	Relays  int // wanted; see RelayCount
}

// Assignment tells the relays of every service. It is computed once for a
// generation of the membership and the catalog, and is then only read.
type Assignment struct {
	hosts  []member.Host // usable, in the order of the membership
	places map[string][]int
	relays map[string][]member.Host
	load   map[string]int
}

// Assign computes the relays of all services. No host relays more than 1.25
// times the mean of targets, as far as the sizes of the sets allow. All hosts
// that see the same sets and the same membership compute the same.
func Assign(sets []ReplicaSet, hosts []member.Host) *Assignment {
	p := newPlacer(hosts)
	return p.assign(inOrder(sets), capacity(sets, len(p.hosts)))
}

// Relays returns the relays of a service, the preferred first; none if the
// service is not part of the assignment.
func (a *Assignment) Relays(service string) []member.Host { return a.relays[service] }

// Load returns the number of targets that a host relays.
func (a *Assignment) Load(hostID string) int { return a.load[hostID] }

// IsRelay reports whether the host is a relay of the service.
func (a *Assignment) IsRelay(service, hostID string) bool {
	return slices.ContainsFunc(a.relays[service], func(h member.Host) bool { return h.ID == hostID })
}

// inOrder sorts the sets by hash, so that the place of a service among its
// neighbours in name does not tell which host is full when its turn comes.
func inOrder(sets []ReplicaSet) []ReplicaSet {
	sorted := slices.Clone(sets)
	slices.SortFunc(sorted, func(a, b ReplicaSet) int {
		byHash := cmp.Compare(xxhash.Sum64String(a.Service), xxhash.Sum64String(b.Service))
		return cmp.Or(byHash, cmp.Compare(a.Service, b.Service))
	})
	return sorted
}

func capacity(sets []ReplicaSet, hosts int) int {
	total, largest := 0, 0
	for _, s := range sets {
		total += s.Targets * min(s.Relays, hosts)
		largest = max(largest, s.Targets)
	}
	if hosts == 0 {
		return 0
	}
	mean := float64(total) / float64(hosts)
	if largest == 0 {
		return 0
	}
	whole := largest * int(math.Ceil(mean/float64(largest)))
	return max(int(math.Ceil(loadBound*mean)), whole)
}

// placer gives hosts to services one after another.
type placer struct {
	hosts   []member.Host // usable, by id
	hashes  []uint64
	domains []int // of each host, as an index
	count   int   // of domains
	load    []int
}

func newPlacer(hosts []member.Host) *placer {
	p := &placer{}
	names := make(map[string]int)
	for _, h := range hosts {
		if !h.Usable() {
			continue
		}
		if _, ok := names[h.FailureDomain]; !ok {
			names[h.FailureDomain] = len(names)
		}
		p.hosts = append(p.hosts, h)
		p.hashes = append(p.hashes, xxhash.Sum64String(h.ID))
		p.domains = append(p.domains, names[h.FailureDomain])
	}
	p.count = len(names)
	p.load = make([]int, len(p.hosts))
	return p
}

func (p *placer) assign(sets []ReplicaSet, bound int) *Assignment {
	a := &Assignment{
		hosts:  p.hosts,
		places: make(map[string][]int, len(sets)),
		relays: make(map[string][]member.Host, len(sets)),
		load:   make(map[string]int, len(p.hosts)),
	}
	for _, s := range sets {
		places := p.place(s.Service, s.Relays, s.Targets, bound)
		a.places[s.Service] = places
		a.relays[s.Service] = p.at(places)
	}
	for i, h := range p.hosts {
		a.load[h.ID] = p.load[i]
	}
	return a
}

func (p *placer) at(places []int) []member.Host {
	hosts := make([]member.Host, len(places))
	for i, at := range places {
		hosts[i] = p.hosts[at]
	}
	return hosts
}

// place gives a service its r relays and adds its targets to their load. A
// host that would pass the bound is left out unless too few others are left.
func (p *placer) place(service string, r, targets, bound int) []int {
	weights := p.weigh(service)
	taken := make([]bool, len(p.hosts))
	perDomain := make([]int, p.count)
	chosen := make([]int, 0, min(r, len(p.hosts)))
	for len(chosen) < min(r, len(p.hosts)) {
		i := p.best(weights, taken, perDomain, targets, bound)
		if i < 0 {
			i = p.best(weights, taken, perDomain, targets, unbounded)
		}
		taken[i] = true
		perDomain[p.domains[i]]++
		p.load[i] += targets
		chosen = append(chosen, i)
	}
	return chosen
}

// best returns the free host with the greatest weight among the domains that
// have the fewest relays so far; -1 if every host is full or taken.
func (p *placer) best(weights []uint64, taken []bool, perDomain []int, targets, bound int) int {
	best := -1
	for i := range p.hosts {
		if taken[i] || p.load[i] > bound-targets {
			continue
		}
		if best < 0 || p.before(i, best, weights, perDomain) {
			best = i
		}
	}
	return best
}

func (p *placer) before(i, j int, weights []uint64, perDomain []int) bool {
	if di, dj := perDomain[p.domains[i]], perDomain[p.domains[j]]; di != dj {
		return di < dj
	}
	if weights[i] != weights[j] {
		return weights[i] > weights[j]
	}
	return p.hosts[i].ID < p.hosts[j].ID
}

func (p *placer) weigh(service string) []uint64 {
	key := xxhash.Sum64String(service)
	weights := make([]uint64, len(p.hashes))
	for i, h := range p.hashes {
		weights[i] = mix(h ^ key)
	}
	return weights
}

// mix is the finalizer of SplitMix64: it spreads every bit of x over the
// whole result, and costs much less than hashing both names for each pair.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
