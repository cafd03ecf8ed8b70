package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/plan"
)

const (
	minAvoidance = 500 * time.Millisecond // after a relay was lost or slow; doubles up to maxAvoidance
	maxAvoidance = 8 * time.Second
)

// router chooses the relay of a service for a request. It tracks, for each host,
// the calls in flight from this entry and whether recent calls were lost. It is
// safe for concurrent use.
type router struct {
	members member.View
	catalog catalog.View

	mu                   sync.Mutex
	inFlight             map[string]int           // calls by host id
	avoid                map[string]avoidance     // by host id
	relays               map[string][]member.Host // by service; cache for the generation and revision below
	generation, revision uint64
}

// avoidance is the period in which a host is chosen only if there is no other.
// Afterwards one request at a time probes it.
type avoidance struct {
	until    time.Time
	duration time.Duration // of the newest avoidance
	probing  bool          // a probe is in flight
}

func newRouter(members member.View, cat catalog.View) *router {
	return &router{
		members:  members,
		catalog:  cat,
		inFlight: make(map[string]int),
		avoid:    make(map[string]avoidance),
		relays:   make(map[string][]member.Host),
	}
}

// candidates returns the relays of a service by this host's membership and
// catalog.
func (r *router) candidates(service string) []member.Host {
	gen, rev := r.members.Generation(), r.catalog.Revision()
	r.mu.Lock()
	if gen != r.generation || rev != r.revision {
		clear(r.relays)
		r.generation, r.revision = gen, rev
	}
	found, ok := r.relays[service]
	r.mu.Unlock()
	if ok {
		return found
	}
	found = r.computeRelays(service)
	r.mu.Lock()
	if gen == r.generation && rev == r.revision {
		r.relays[service] = found
	}
	r.mu.Unlock()
	return found
}

func (r *router) computeRelays(service string) []member.Host {
	s, ok := r.catalog.Service(service)
	if !ok {
		return nil
	}
	return plan.ForService(s, r.members.Hosts())
}

// successors returns the hosts that would relay the service if those tried were
// not members. Every entry computes the same ones, so they can take over from a
// lost relay before the membership detects its death, and a target gets
// connections from few hosts.
func (r *router) successors(service string, tried []string) []member.Host {
	s, ok := r.catalog.Service(service)
	if !ok {
		return nil
	}
	var untried []member.Host
	for _, h := range r.members.Hosts() {
		if !slices.Contains(tried, h.ID) {
			untried = append(untried, h)
		}
	}
	return plan.ForService(s, untried)
}

// relayChoice is the state of a request that affects the choice of a relay.
type relayChoice struct {
	triedHosts []string        // hosts that were already sent these shards
	contacted  map[string]bool // hosts that the request uses already: another message to one costs less than another host
}

// choose returns a relay for the service that was not tried yet: one of its
// relays or, if all were tried, one of their successors.
func (r *router) choose(service string, now time.Time, c relayChoice) (member.Host, bool) {
	if h, ok := r.chooseFrom(r.candidates(service), now, c); ok {
		return h, true
	}
	return r.chooseFrom(r.successors(service, c.triedHosts), now, c)
}

// chooseFrom returns this host if it is among the relays; otherwise one that the
// request uses already; otherwise the less loaded of two random ones, from the
// same failure domain if it has any.
func (r *router) chooseFrom(relays []member.Host, now time.Time, c relayChoice) (member.Host, bool) {
	self := r.members.Self()
	var preferred, avoided []member.Host
	for _, h := range relays {
		switch {
		case slices.Contains(c.triedHosts, h.ID):
		case h.ID == self.ID:
			return h, true
		case h.State == member.Suspect || r.avoidUnlessProbing(h.ID, now):
			avoided = append(avoided, h)
		default:
			preferred = append(preferred, h)
		}
	}
	if len(preferred) == 0 {
		preferred = avoided
	}
	if len(preferred) == 0 {
		return member.Host{}, false
	}
	for _, h := range preferred {
		if c.contacted[h.ID] {
			return h, true
		}
	}
	return r.lessLoaded(sameDomainOrAll(preferred, self.FailureDomain)), true
}

// sameDomainOrAll returns the hosts in the failure domain, or all if there are
// none in it.
func sameDomainOrAll(hosts []member.Host, domain string) []member.Host {
	var own []member.Host
	for _, h := range hosts {
		if h.FailureDomain == domain {
			own = append(own, h)
		}
	}
	if len(own) == 0 {
		return hosts
	}
	return own
}

// lessLoaded picks two hosts at random and returns the one with fewer calls in
// flight from this entry.
func (r *router) lessLoaded(hosts []member.Host) member.Host {
	a := hosts[rand.IntN(len(hosts))]
	b := hosts[rand.IntN(len(hosts))]
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[b.ID] < r.inFlight[a.ID] {
		return b
	}
	return a
}

func (r *router) callStarted(host string) {
	r.mu.Lock()
	r.inFlight[host]++
	r.mu.Unlock()
}

func (r *router) callEnded(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[host]--; r.inFlight[host] <= 0 {
		delete(r.inFlight, host)
	}
}

// avoided reports whether the host is to be chosen only if there is no other.
func (r *router) avoided(host string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.avoid[host].until)
}

// avoidUnlessProbing reports whether a search should avoid the host. When the
// avoidance of a host has expired, it returns false once, and that search
// probes the host. It then returns true until the probe ends or minAvoidance has
// passed.
func (r *router) avoidUnlessProbing(host string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.avoid[host]
	if !ok || now.Before(a.until) {
		return ok
	}
	a.until, a.probing = now.Add(minAvoidance), true
	r.avoid[host] = a
	return false
}

// callLost records that a call to the host was lost or late. The host is avoided
// for a time that doubles with each such call, up to maxAvoidance; further
// calls lost during that time do not extend it.
func (r *router) callLost(host string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.avoid[host]
	if now.Before(a.until) && !a.probing {
		return
	}
	a.probing = false
	a.duration = min(max(2*a.duration, minAvoidance), maxAvoidance)
	a.until = now.Add(a.duration)
	r.avoid[host] = a
}

// callAnswered records that the host answered a call, which ends its avoidance.
func (r *router) callAnswered(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoid, host)
}
