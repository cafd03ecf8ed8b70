package plan

import (
	"math/rand/v2"
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// RelayRequest is one message of a query: the services requested from one relay.
type RelayRequest struct {
	Relay    member.Host
	Services []string
}

// Coverer selects few relays that together cover the services of a query: a
// greedy weighted set cover.
type Coverer struct {
	Assignment *Assignment
	// Weight returns a factor on the number of services that a host covers:
	// 1 is neutral, less is for loaded or distant hosts, and a host with 0 is
	// selected only if no other is left. Nil means 1 for every host.
	Weight func(h member.Host) float64
	// MaxServices bounds the services of one message; 0 means no bound. It
	// prevents the work of a query from concentrating on one relay.
	MaxServices int
}

// Cover returns the messages of a query over the services, and the services
// that have no relay. It selects the relay that covers most services first and
// breaks ties at random, so that different entries load different hosts.
func (c Coverer) Cover(services []string, rng *rand.Rand) (requests []RelayRequest, uncovered []string) {
	s := c.newState(services, rng)
	for s.uncovered > 0 {
		best := s.bestHost(c.MaxServices)
		if best < 0 {
			break
		}
		services := s.assign(best, len(requests), c.MaxServices)
		requests = append(requests, RelayRequest{Relay: c.Assignment.hosts[best], Services: services})
	}
	return requests, s.assignRest(requests)
}

// coverState is the progress of one call of Cover.
type coverState struct {
	services     []string
	covered      []bool
	uncovered    int
	hosts        []coverHost // by index in the assignment
	candidates   []int       // indexes of the hosts that relay any of the services
	relayIndexes [][]int     // relays of each service, as host indexes
}

// coverHost is the state of one host in a call of Cover.
type coverHost struct {
	weight    float64
	uncovered int   // number of its services that are not covered yet
	services  []int // services that it relays, as indexes
	request   int   // index of its RelayRequest; -1 if it has none
}

func (c Coverer) newState(services []string, rng *rand.Rand) *coverState {
	s := &coverState{
		services:     services,
		covered:      make([]bool, len(services)),
		uncovered:    len(services),
		hosts:        make([]coverHost, len(c.Assignment.hosts)),
		relayIndexes: make([][]int, len(services)),
	}
	for i, service := range services {
		s.relayIndexes[i] = c.Assignment.relayIndexes[service]
		for _, index := range s.relayIndexes[i] {
			h := &s.hosts[index]
			if len(h.services) == 0 {
				s.candidates = append(s.candidates, index)
				h.weight, h.request = c.weight(c.Assignment.hosts[index], rng), -1
			}
			h.uncovered++
			h.services = append(h.services, i)
		}
	}
	return s
}

// tieBreakJitter is the range of the random factor on weights. It is too small
// to outweigh a difference of one service.
const tieBreakJitter = 1e-3

func (c Coverer) weight(h member.Host, rng *rand.Rand) float64 {
	jitter := 1 + tieBreakJitter*rng.Float64()
	if c.Weight == nil {
		return jitter
	}
	return c.Weight(h) * jitter
}

// bestHost returns the index of the host without a message that covers most
// services by weight; -1 if there is none.
func (s *coverState) bestHost(maxServices int) int {
	best, bestGain := -1, -1.0
	for _, index := range s.candidates {
		h := &s.hosts[index]
		if h.request >= 0 || h.uncovered == 0 {
			continue
		}
		if gain := float64(capped(h.uncovered, maxServices)) * h.weight; gain > bestGain {
			best, bestGain = index, gain
		}
	}
	return best
}

// capped returns n, at most limit; a limit of 0 means no bound.
func capped(n, limit int) int {
	if limit > 0 {
		return min(n, limit)
	}
	return n
}

// assign marks the services that the host covers as covered by the request and
// returns them. If maxServices is exceeded, it keeps the services that the
// fewest hosts without a message relay.
func (s *coverState) assign(index, request, maxServices int) []string {
	h := &s.hosts[index]
	h.request = request
	uncovered := make([]int, 0, h.uncovered)
	for _, k := range h.services {
		if !s.covered[k] {
			uncovered = append(uncovered, k)
		}
	}
	if len(uncovered) > capped(len(uncovered), maxServices) {
		slices.SortStableFunc(uncovered, func(a, b int) int { return s.freeRelays(a) - s.freeRelays(b) })
		uncovered = uncovered[:maxServices]
	}
	assigned := make([]string, len(uncovered))
	for i, k := range uncovered {
		assigned[i] = s.services[k]
		s.markCovered(k)
	}
	return assigned
}

// freeRelays returns how many relays of the service have no message yet.
func (s *coverState) freeRelays(service int) int {
	n := 0
	for _, index := range s.relayIndexes[service] {
		if s.hosts[index].request < 0 {
			n++
		}
	}
	return n
}

func (s *coverState) markCovered(service int) {
	s.covered[service] = true
	s.uncovered--
	for _, index := range s.relayIndexes[service] {
		s.hosts[index].uncovered--
	}
}

// assignRest adds each service whose relays all reached MaxServices to the
// smallest message among its relays, and returns the services without a relay.
func (s *coverState) assignRest(requests []RelayRequest) []string {
	var uncovered []string
	for i, covered := range s.covered {
		if covered {
			continue
		}
		if k := s.smallestRequest(i, requests); k >= 0 {
			requests[k].Services = append(requests[k].Services, s.services[i])
			continue
		}
		uncovered = append(uncovered, s.services[i])
	}
	return uncovered
}

// smallestRequest returns the index of the smallest message to a relay of the
// service; -1 if it has no relay.
func (s *coverState) smallestRequest(service int, requests []RelayRequest) int {
	smallest := -1
	for _, index := range s.relayIndexes[service] {
		k := s.hosts[index].request
		if smallest < 0 || len(requests[k].Services) < len(requests[smallest].Services) {
			smallest = k
		}
	}
	return smallest
}
