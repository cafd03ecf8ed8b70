package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// maxLoadFactor bounds the targets that one host relays, as a multiple of the
// mean over all hosts.
const maxLoadFactor = 1.25

// unlimitedLoad is the host capacity for an assignment without a load bound.
const unlimitedLoad = math.MaxInt

// ServiceSpec states what one service needs of an assignment.
type ServiceSpec struct {
	Service string
	Targets int // load that the service adds to each of its relays
	Relays  int // desired number of relays; see RelayCount
}

// Assignment maps every service to its relays. It is computed once per
// membership generation and catalog revision and is immutable afterwards.
type Assignment struct {
	hosts        []member.Host            // usable hosts, in membership order
	relayIndexes map[string][]int         // by service, indexes into hosts
	relays       map[string][]member.Host // by service
	load         map[string]int           // targets relayed, by host id
}

// Assign computes the relays of all services. No host relays more than 1.25
// times the mean number of targets, as far as the target counts of the services
// allow. All hosts with the same input compute the same assignment.
func Assign(specs []ServiceSpec, hosts []member.Host) *Assignment {
	p := newPlacer(hosts)
	return p.assign(sortedByHash(specs), hostCapacity(specs, len(p.hosts)))
}

// Relays returns the relays of a service in order of preference; none if the
// service is not part of the assignment.
func (a *Assignment) Relays(service string) []member.Host { return a.relays[service] }

// Load returns the number of targets that a host relays.
func (a *Assignment) Load(hostID string) int { return a.load[hostID] }

// IsRelay reports whether the host is a relay of the service.
func (a *Assignment) IsRelay(service, hostID string) bool {
	return slices.ContainsFunc(a.relays[service], func(h member.Host) bool { return h.ID == hostID })
}

// sortedByHash sorts the specs by the hash of the service name. Hosts fill up in
// this order, so the order of the names has no influence on which services
// find a host full.
func sortedByHash(specs []ServiceSpec) []ServiceSpec {
	sorted := slices.Clone(specs)
	slices.SortFunc(sorted, func(a, b ServiceSpec) int {
		byHash := cmp.Compare(xxhash.Sum64String(a.Service), xxhash.Sum64String(b.Service))
		return cmp.Or(byHash, cmp.Compare(a.Service, b.Service))
	})
	return sorted
}

// hostCapacity returns how many targets one host may relay: maxLoadFactor times
// the mean, but at least the mean rounded up to whole services of the largest
// target count.
func hostCapacity(specs []ServiceSpec, hosts int) int {
	total, largest := 0, 0
	for _, s := range specs {
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
	wholeServices := largest * int(math.Ceil(mean/float64(largest)))
	return max(int(math.Ceil(maxLoadFactor*mean)), wholeServices)
}

// placer assigns hosts to services, one service after another.
type placer struct {
	hosts       []member.Host // usable hosts; the index is used throughout the placer
	hashes      []uint64      // of the host ids
	domainOf    []int         // failure domain of each host, as an index
	domainCount int
	load        []int // targets relayed so far
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
		p.domainOf = append(p.domainOf, names[h.FailureDomain])
	}
	p.domainCount = len(names)
	p.load = make([]int, len(p.hosts))
	return p
}

func (p *placer) assign(specs []ServiceSpec, capacity int) *Assignment {
	a := &Assignment{
		hosts:        p.hosts,
		relayIndexes: make(map[string][]int, len(specs)),
		relays:       make(map[string][]member.Host, len(specs)),
		load:         make(map[string]int, len(p.hosts)),
	}
	for _, s := range specs {
		indexes := p.chooseRelays(s.Service, s.Relays, s.Targets, capacity)
		a.relayIndexes[s.Service] = indexes
		a.relays[s.Service] = p.hostsAt(indexes)
	}
	for i, h := range p.hosts {
		a.load[h.ID] = p.load[i]
	}
	return a
}

func (p *placer) hostsAt(indexes []int) []member.Host {
	hosts := make([]member.Host, len(indexes))
	for i, index := range indexes {
		hosts[i] = p.hosts[index]
	}
	return hosts
}

// chooseRelays returns the indexes of the relays of a service and adds its
// targets to their load. A host that would exceed the capacity is chosen only
// if too few others remain.
func (p *placer) chooseRelays(service string, relays, targets, capacity int) []int {
	weights := p.rendezvousWeights(service)
	taken := make([]bool, len(p.hosts))
	relaysPerDomain := make([]int, p.domainCount)
	chosen := make([]int, 0, min(relays, len(p.hosts)))
	for len(chosen) < min(relays, len(p.hosts)) {
		i := p.bestHost(weights, taken, relaysPerDomain, targets, capacity)
		if i < 0 {
			i = p.bestHost(weights, taken, relaysPerDomain, targets, unlimitedLoad)
		}
		taken[i] = true
		relaysPerDomain[p.domainOf[i]]++
		p.load[i] += targets
		chosen = append(chosen, i)
	}
	return chosen
}

// bestHost returns the host with the greatest weight among the failure domains
// that have the fewest relays of the service so far; -1 if every host is taken
// or has no capacity left.
func (p *placer) bestHost(weights []uint64, taken []bool, relaysPerDomain []int, targets, capacity int) int {
	best := -1
	for i := range p.hosts {
		if taken[i] || p.load[i] > capacity-targets {
			continue
		}
		if best < 0 || p.preferred(i, best, weights, relaysPerDomain) {
			best = i
		}
	}
	return best
}

// preferred reports whether host i precedes host j: by fewer relays in its
// failure domain, then by weight, then by id.
func (p *placer) preferred(i, j int, weights []uint64, relaysPerDomain []int) bool {
	if di, dj := relaysPerDomain[p.domainOf[i]], relaysPerDomain[p.domainOf[j]]; di != dj {
		return di < dj
	}
	if weights[i] != weights[j] {
		return weights[i] > weights[j]
	}
	return p.hosts[i].ID < p.hosts[j].ID
}

// rendezvousWeights returns the weight of each host for the service.
func (p *placer) rendezvousWeights(service string) []uint64 {
	key := xxhash.Sum64String(service)
	weights := make([]uint64, len(p.hashes))
	for i, h := range p.hashes {
		weights[i] = mix64(h ^ key)
	}
	return weights
}

// mix64 is the finalizer of SplitMix64: every bit of x affects the whole
// result. It costs much less than hashing both names for each pair.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
