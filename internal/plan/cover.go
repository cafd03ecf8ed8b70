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
	// Relays returns the relays of a service that may be asked.
	Relays func(service string) []member.Host
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
		asks = append(asks, s.take(best, c.Most))
	}
	return asks, s.addRest(asks)
}

type coverState struct {
	services []string
	done     []bool
	left     int
	hosts    []coverHost
	holders  [][]int // of each service, as indexes of hosts
}

type coverHost struct {
	host   member.Host
	weight float64
	open   int   // services that it could still cover
	serves []int // services, as indexes
	used   bool
}

func (c Coverer) state(services []string, rng *rand.Rand) *coverState {
	s := &coverState{
		services: services,
		done:     make([]bool, len(services)),
		left:     len(services),
		holders:  make([][]int, len(services)),
	}
	index := make(map[string]int)
	for i, service := range services {
		for _, h := range c.Relays(service) {
			at, ok := index[h.ID]
			if !ok {
				at = len(s.hosts)
				index[h.ID] = at
				s.hosts = append(s.hosts, coverHost{host: h, weight: c.weight(h, rng)})
			}
			s.hosts[at].open++
			s.hosts[at].serves = append(s.hosts[at].serves, i)
			s.holders[i] = append(s.holders[i], at)
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

func (s *coverState) best(most int) int {
	best, bestGain := -1, -1.0
	for i := range s.hosts {
		h := &s.hosts[i]
		if h.used || h.open == 0 {
			continue
		}
		open := h.open
		if most > 0 {
			open = min(open, most)
		}
		if gain := float64(open) * h.weight; gain > bestGain {
			best, bestGain = i, gain
		}
	}
	return best
}

// take gives host i what it covers. With a bound, it gets first the services
// that fewest other hosts could still take.
func (s *coverState) take(i, most int) Ask {
	h := &s.hosts[i]
	h.used = true
	open := slices.DeleteFunc(slices.Clone(h.serves), func(k int) bool { return s.done[k] })
	if most > 0 && len(open) > most {
		slices.SortStableFunc(open, func(a, b int) int { return s.choices(a) - s.choices(b) })
		open = open[:most]
	}
	ask := Ask{Relay: h.host}
	for _, k := range open {
		ask.Services = append(ask.Services, s.services[k])
		s.finish(k)
	}
	return ask
}

// addRest gives the services whose relays are all at their bound to the least
// of them, and returns those that have no relay.
func (s *coverState) addRest(asks []Ask) []string {
	var uncovered []string
	for i, done := range s.done {
		if done {
			continue
		}
		if at := s.leastAsked(i, asks); at >= 0 {
			asks[at].Services = append(asks[at].Services, s.services[i])
			continue
		}
		uncovered = append(uncovered, s.services[i])
	}
	return uncovered
}

func (s *coverState) leastAsked(service int, asks []Ask) int {
	least := -1
	for _, at := range s.holders[service] {
		for j, ask := range asks {
			if ask.Relay.ID != s.hosts[at].host.ID {
				continue
			}
			if least < 0 || len(ask.Services) < len(asks[least].Services) {
				least = j
			}
		}
	}
	return least
}

func (s *coverState) choices(service int) int {
	n := 0
	for _, at := range s.holders[service] {
		if !s.hosts[at].used {
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
