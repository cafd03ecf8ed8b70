package plan

import (
	"math/rand/v2"
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// Ask is one message of a query: the services that one relay is asked for.
type Ask struct {
	Relay    member.Host
	Services []string
}

// Coverer chooses the relays of a query so that few are asked.
type Coverer struct {
	Assignment *Assignment
	// Weight says how welcome a host is, as a factor on the services that it
	// covers: 1 is neutral, less is loaded or far, 0 only when nothing else
	// is left. Nil is neutral.
	Weight func(h member.Host) float64
	// Most bounds the services of one message; 0 is no bound. It keeps the
	// work of a query from gathering on one relay.
	Most int
}

// Cover returns the messages of a query over the services, and the services
// that have no relay. The relay that covers most is taken first, ties at
// random so that the entries do not all lean on the same hosts.
func (c Coverer) Cover(services []string, rng *rand.Rand) (asks []Ask, uncovered []string) {
	s := c.state(services, rng)
	for s.left > 0 {
		best := s.best(c.Most)
		if best < 0 {
			break
		}
		services := s.take(best, len(asks), c.Most)
		asks = append(asks, Ask{Relay: c.Assignment.hosts[best], Services: services})
	}
	return asks, s.addRest(asks)
}

type coverState struct {
	services []string
	done     []bool
	left     int
	hosts    []coverHost // by place in the assignment
	asked    []int       // places of the hosts that some service has
	holders  [][]int     // of each service, as places
}

type coverHost struct {
	weight float64
	open   int   // services that it could still cover
	serves []int // services, as indexes
	ask    int   // index of its message; -1 without one
}

func (c Coverer) state(services []string, rng *rand.Rand) *coverState {
	s := &coverState{
		services: services,
		done:     make([]bool, len(services)),
		left:     len(services),
		hosts:    make([]coverHost, len(c.Assignment.hosts)),
		holders:  make([][]int, len(services)),
	}
	for i, service := range services {
		s.holders[i] = c.Assignment.places[service]
		for _, at := range s.holders[i] {
			h := &s.hosts[at]
			if len(h.serves) == 0 {
				s.asked = append(s.asked, at)
				h.weight, h.ask = c.weight(c.Assignment.hosts[at], rng), -1
			}
			h.open++
			h.serves = append(h.serves, i)
		}
	}
	return s
}

// tieBreak is the spread of the random factor; too small to outweigh one
// service more.
const tieBreak = 1e-3

func (c Coverer) weight(h member.Host, rng *rand.Rand) float64 {
	jitter := 1 + tieBreak*rng.Float64()
	if c.Weight == nil {
		return jitter
	}
	return c.Weight(h) * jitter
}

// best returns the place of the host without a message that covers most; -1 if
// there is none.
func (s *coverState) best(most int) int {
	best, bestGain := -1, -1.0
	for _, at := range s.asked {
		h := &s.hosts[at]
		if h.ask >= 0 || h.open == 0 {
			continue
		}
		if gain := float64(bounded(h.open, most)) * h.weight; gain > bestGain {
			best, bestGain = at, gain
		}
	}
	return best
}

func bounded(n, most int) int {
	if most > 0 {
		return min(n, most)
	}
	return n
}

// take gives a host what it covers. With a bound, it gets first the services
// that fewest other hosts could still take.
func (s *coverState) take(at, ask, most int) []string {
	h := &s.hosts[at]
	h.ask = ask
	open := make([]int, 0, h.open)
	for _, k := range h.serves {
		if !s.done[k] {
			open = append(open, k)
		}
	}
	if len(open) > bounded(len(open), most) {
		slices.SortStableFunc(open, func(a, b int) int { return s.choices(a) - s.choices(b) })
		open = open[:most]
	}
	taken := make([]string, len(open))
	for i, k := range open {
		taken[i] = s.services[k]
		s.finish(k)
	}
	return taken
}

func (s *coverState) choices(service int) int {
	n := 0
	for _, at := range s.holders[service] {
		if s.hosts[at].ask < 0 {
			n++
		}
	}
	return n
}

func (s *coverState) finish(service int) {
	s.done[service] = true
	s.left--
	for _, at := range s.holders[service] {
		s.hosts[at].open--
	}
}

// addRest gives the services whose relays are all at their bound to the relay
// with the smallest message, and returns those that have no relay.
func (s *coverState) addRest(asks []Ask) []string {
	var uncovered []string
	for i, done := range s.done {
		if done {
			continue
		}
		if k := s.smallest(i, asks); k >= 0 {
			asks[k].Services = append(asks[k].Services, s.services[i])
			continue
		}
		uncovered = append(uncovered, s.services[i])
	}
	return uncovered
}

func (s *coverState) smallest(service int, asks []Ask) int {
	least := -1
	for _, at := range s.holders[service] {
		k := s.hosts[at].ask
		if least < 0 || len(asks[k].Services) < len(asks[least].Services) {
			least = k
		}
	}
	return least
}
