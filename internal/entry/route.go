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
	avoidFirst = 500 * time.Millisecond // after a relay was lost or slow
	avoidMax   = 8 * time.Second
)

// router chooses the relay of a service for a request. It keeps what this
// entry saw of each host: work in flight, and whether calls to it were lost of
// late. It is safe for concurrent use.
type router struct {
	members member.View
	catalog catalog.View

	mu       sync.Mutex
	inflight map[string]int
	avoid    map[string]avoidance
	relays   map[string][]member.Host // by service, of one generation and revision
	gen, rev uint64
}

// avoidance says until when a host is asked only if there is no other. After
// that one request at a time probes it.
type avoidance struct {
	until   time.Time
	span    time.Duration
	probing bool
}

func newRouter(members member.View, cat catalog.View) *router {
	return &router{
		members:  members,
		catalog:  cat,
		inflight: make(map[string]int),
		avoid:    make(map[string]avoidance),
		relays:   make(map[string][]member.Host),
	}
}

// candidates returns the relays of a service in this host's view.
func (r *router) candidates(service string) []member.Host {
	gen, rev := r.members.Generation(), r.catalog.Revision()
	r.mu.Lock()
	if gen != r.gen || rev != r.rev {
		clear(r.relays)
		r.gen, r.rev = gen, rev
	}
	found, ok := r.relays[service]
	r.mu.Unlock()
	if ok {
		return found
	}
	found = r.assign(service)
	r.mu.Lock()
	if gen == r.gen && rev == r.rev {
		r.relays[service] = found
	}
	r.mu.Unlock()
	return found
}

func (r *router) assign(service string) []member.Host {
	s, ok := r.catalog.Service(service)
	if !ok {
		return nil
	}
	return plan.ForService(s, r.members.Hosts())
}

// successors returns the hosts that would relay the service if those tried
// were gone. Every entry computes the same ones, so they take over a lost
// relay's work before the membership has noticed, and a target's connections
// stay few.
func (r *router) successors(service string, tried []string) []member.Host {
	s, ok := r.catalog.Service(service)
	if !ok {
		return nil
	}
	var left []member.Host
	for _, h := range r.members.Hosts() {
		if !slices.Contains(tried, h.ID) {
			left = append(left, h)
		}
	}
	return plan.ForService(s, left)
}

// choice is what one request knows when it chooses a relay.
type choice struct {
	tried  []string        // hosts already asked for these shards
	chosen map[string]bool // hosts that the request asks anyway: one message more costs less than one host more
}

// choose returns a relay for the service that was not tried yet: one of its
// relays, or if all were tried one of their successors.
func (r *router) choose(service string, now time.Time, c choice) (member.Host, bool) {
	if h, ok := r.chooseOf(r.candidates(service), now, c); ok {
		return h, true
	}
	return r.chooseOf(r.successors(service, c.tried), now, c)
}

// chooseOf returns this host if it is among the relays, else one that the
// request asks anyway, else the less loaded of two, own failure domain first.
func (r *router) chooseOf(relays []member.Host, now time.Time, c choice) (member.Host, bool) {
	self := r.members.Self()
	var fresh, avoided []member.Host
	for _, h := range relays {
		switch {
		case slices.Contains(c.tried, h.ID):
		case h.ID == self.ID:
			return h, true
		case h.State == member.Suspect || r.spared(h.ID, now):
			avoided = append(avoided, h)
		default:
			fresh = append(fresh, h)
		}
	}
	if len(fresh) == 0 {
		fresh = avoided
	}
	if len(fresh) == 0 {
		return member.Host{}, false
	}
	for _, h := range fresh {
		if c.chosen[h.ID] {
			return h, true
		}
	}
	return r.lessLoaded(inDomain(fresh, self.FailureDomain)), true
}

// inDomain returns the hosts of the failure domain, or all if it has none.
func inDomain(hosts []member.Host, domain string) []member.Host {
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

func (r *router) lessLoaded(hosts []member.Host) member.Host {
	a := hosts[rand.IntN(len(hosts))]
	b := hosts[rand.IntN(len(hosts))]
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inflight[b.ID] < r.inflight[a.ID] {
		return b
	}
	return a
}

func (r *router) begin(host string) {
	r.mu.Lock()
	r.inflight[host]++
	r.mu.Unlock()
}

func (r *router) end(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inflight[host]--; r.inflight[host] <= 0 {
		delete(r.inflight, host)
	}
}

// avoided reports whether the host is asked only if there is no other.
func (r *router) avoided(host string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.avoid[host].until)
}

// spared is avoided for searches. When the time of a host is over, one search
// probes it, and the others spare it until that one has ended or taken long.
func (r *router) spared(host string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.avoid[host]
	if !ok || now.Before(a.until) {
		return ok
	}
	a.until, a.probing = now.Add(avoidFirst), true
	r.avoid[host] = a
	return false
}

// lost notes that a call to the host was lost or late: it is avoided for a
// time that doubles with each such call.
func (r *router) lost(host string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.avoid[host]
	if now.Before(a.until) && !a.probing {
		return
	}
	a.probing = false
	a.span = min(max(2*a.span, avoidFirst), avoidMax)
	a.until = now.Add(a.span)
	r.avoid[host] = a
}

// answered notes that the host answered a call.
func (r *router) answered(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoid, host)
}
