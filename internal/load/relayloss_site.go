package load

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/entry"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/relay"
	"rhubarbwood.example/rhubarbwood/internal/standin/fixture"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

// lossSite is a site whose hosts and targets can be lost, and whose hosts
// learn of it as late as the real membership tells them.
type lossSite struct {
	*site
	cfg  siteConfig
	net  *lossyNetwork
	rng  *rand.Rand // of the membership's delays
	maps fixture.Layout

	mu    sync.Mutex
	fleet []*lossHost
	byID  map[string]*lossHost
	lost  map[string]time.Time // targets, since when
}

func newLossSite(ctx context.Context, c siteConfig, seed uint64) (*lossSite, error) {
	if c.network == nil {
		c.network = loopback{}
	}
	lossy := &lossyNetwork{network: c.network, silent: make(map[string]bool)}
	c.network = lossy
	s := &lossSite{
		site: &site{listeners: make(map[string]net.Listener), workload: c.place.workload},
		cfg:  c,
		net:  lossy,
		rng:  rand.New(rand.NewPCG(seed, seed)),
		byID: make(map[string]*lossHost),
		lost: make(map[string]time.Time),
	}
	layout, err := s.layout(c)
	if err != nil {
		return nil, err
	}
	s.maps = layout
	s.catalog = newFixedCatalog(layout, s.workload, c.rules)
	for i := range s.catalog.services[1:] {
		s.catalog.services[i+1].Urgency = query.Deferrable // see asker
	}
	s.startTargets(layout)
	hosts := hostsOf(c.hosts, layout.Domains)
	for _, h := range hosts {
		if err := s.startHost(ctx, h, hosts); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// startHost starts the entry and the relay of a host that knows the others.
func (s *lossSite) startHost(ctx context.Context, h member.Host, known []member.Host) error {
	members := newChangingMembers(h.ID, known)
	host := &lossHost{
		siteHost: &siteHost{metrics: prometheus.NewRegistry()},
		member:   h, members: members, asked: true, gone: make(chan struct{}),
	}
	host.relay = relay.New(relayConfig(), s.catalog, members, nil, event.Discard(), host.metrics)
	host.relay.DialWith(s.cfg.network.dial)
	if err := host.relay.Start(ctx); err != nil {
		return Error.New("start relay of %s: %w", h.ID, err)
	}
	access := &lossAccess{site: s, self: h.ID}
	host.entry = entry.New(entry.DefaultConfig(), s.catalog, members, access, alwaysFresh{}, noRecords{}, host.metrics)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = append(s.fleet, host)
	s.byID[h.ID] = host
	s.hosts = append(s.hosts, host.siteHost)
	return nil
}

func (s *lossSite) host(id string) *lossHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// others returns the hosts that are not lost, but for one.
func (s *lossSite) others(id string) []*lossHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*lossHost
	for _, h := range s.fleet {
		if f := h.state(); h.member.ID != id && f != hostKilled && f != hostFrozen {
			out = append(out, h)
		}
	}
	return out
}

// busiest returns the host that relays most services.
func (s *lossSite) busiest() *lossHost {
	var most *lossHost
	count := -1
	for _, h := range s.others("") {
		n := 0
		for _, c := range s.catalog.services {
			if h.relay.Assigned(c.Name) {
				n++
			}
		}
		if n > count {
			most, count = h, n
		}
	}
	return most
}

// spare takes the hosts out of those that get callers' requests.
func (s *lossSite) spare(hosts ...*lossHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		h.asked = false
	}
}

// inDomain returns the hosts of a failure domain.
func (s *lossSite) inDomain(domain string) []*lossHost {
	var in []*lossHost
	for _, h := range s.others("") {
		if h.member.FailureDomain == domain {
			in = append(in, h)
		}
	}
	return in
}

// lose puts a fault in force at hosts; if it silences them, the others learn
// of it as of a death.
func (s *lossSite) lose(f hostFault, hosts ...*lossHost) {
	for _, h := range hosts {
		h.suffer(f)
	}
	if f == hostSlow {
		return
	}
	for _, h := range hosts {
		for _, o := range s.others(h.member.ID) {
			o.members.learnDeath(s.rng, h.member)
		}
	}
}

// loseTargets makes the targets of a failure domain go: killed, their
// connections are cut and new ones refused; frozen, they are never answered.
func (s *lossSite) loseTargets(f hostFault, domain string) {
	cut, cancel := context.WithCancel(context.Background())
	cancel()
	for i, t := range s.targets {
		conf := s.target(t.ID())
		if conf.FailureDomain != domain {
			continue
		}
		s.mu.Lock()
		s.lost[t.ID()] = time.Now()
		s.mu.Unlock()
		if f == hostKilled {
			_ = s.servers[i].Shutdown(cut) // ends with an error, as it is cut
			continue
		}
		s.net.silence(conf.Address)
		t.SetFaults(target.Faults{Freeze: target.FreezeBefore, FreezeStatus: true})
	}
}

// lossyNetwork is a network in which some addresses never answer.
type lossyNetwork struct {
	network
	mu     sync.Mutex
	silent map[string]bool
}

func (n *lossyNetwork) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = true
}

func (n *lossyNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	silent := n.silent[address]
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, Error.New("dial %s: %w", address, ctx.Err())
	}
	return n.network.dial(ctx, network, address)
}
