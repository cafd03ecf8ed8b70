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

// lossSite is a site whose hosts and targets can be lost. Its hosts see a loss
// with the delays of the real membership.
type lossSite struct {
	*site
	cfg         siteConfig
	blackhole   *blackholeNetwork
	rng         *rand.Rand // for the delays of membership changes
	shardLayout fixture.Layout

	mu          sync.Mutex
	lossHosts   []*lossHost
	byID        map[string]*lossHost
	lostTargets map[string]time.Time // by target id: the time of the loss
}

func newLossSite(ctx context.Context, c siteConfig, seed uint64) (*lossSite, error) {
	if c.network == nil {
		c.network = loopback{}
	}
	lossy := &blackholeNetwork{network: c.network, blackholed: make(map[string]bool)}
	c.network = lossy
	s := &lossSite{
		site:        &site{listeners: make(map[string]net.Listener), workload: c.kind.workload},
		cfg:         c,
		blackhole:   lossy,
		rng:         rand.New(rand.NewPCG(seed, seed)),
		byID:        make(map[string]*lossHost),
		lostTargets: make(map[string]time.Time),
	}
	layout, err := s.layout(c)
	if err != nil {
		return nil, err
	}
	s.shardLayout = layout
	s.catalog = newFixedCatalog(layout, s.workload, c.rules)
	for i := range s.catalog.services[1:] {
		s.catalog.services[i+1].Urgency = query.Deferrable // see lossSearchFunc
	}
	s.startTargets(layout)
	hosts := newHosts(c.hosts, layout.Domains)
	for _, h := range hosts {
		if err := s.startHost(ctx, h, hosts); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// startHost starts the entry and the relay of a host whose membership view
// begins with the given hosts.
func (s *lossSite) startHost(ctx context.Context, h member.Host, known []member.Host) error {
	members := newDelayedMembers(h.ID, known)
	host := &lossHost{
		siteHost: &siteHost{metrics: prometheus.NewRegistry()},
		member:   h, members: members, receivesRequests: true, unresponsive: make(chan struct{}),
	}
	host.relay = relay.New(relayConfig(), s.catalog, members, nil, event.Discard(), host.metrics)
	host.relay.DialWith(s.cfg.network.dial)
	if err := host.relay.Start(ctx); err != nil {
		return Error.New("start relay of %s: %w", h.ID, err)
	}
	access := &lossSiteRelays{site: s, self: h.ID}
	host.entry = entry.New(entry.DefaultConfig(), s.catalog, members, access, neverStale{}, discardRecorder{}, host.metrics)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossHosts = append(s.lossHosts, host)
	s.byID[h.ID] = host
	s.hosts = append(s.hosts, host.siteHost)
	return nil
}

func (s *lossSite) host(id string) *lossHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// runningHostsExcept returns the hosts that are neither killed nor frozen,
// without the one with the given id.
func (s *lossSite) runningHostsExcept(id string) []*lossHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*lossHost
	for _, h := range s.lossHosts {
		if f := h.currentFault(); h.member.ID != id && f != hostKilled && f != hostFrozen {
			out = append(out, h)
		}
	}
	return out
}

// busiestRelay returns the host that relays the most services.
func (s *lossSite) busiestRelay() *lossHost {
	var most *lossHost
	count := -1
	for _, h := range s.runningHostsExcept("") {
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

// removeFromBalancer stops sending requests of callers to the hosts.
func (s *lossSite) removeFromBalancer(hosts ...*lossHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		h.receivesRequests = false
	}
}

// hostsInDomain returns the running hosts of a failure domain.
func (s *lossSite) hostsInDomain(domain string) []*lossHost {
	var in []*lossHost
	for _, h := range s.runningHostsExcept("") {
		if h.member.FailureDomain == domain {
			in = append(in, h)
		}
	}
	return in
}

// injectHostFault injects a fault into hosts. Unless the fault is hostSlow, the
// other hosts detect it as a death.
func (s *lossSite) injectHostFault(f hostFault, hosts ...*lossHost) {
	for _, h := range hosts {
		h.setFault(f)
	}
	if f == hostSlow {
		return
	}
	for _, h := range hosts {
		for _, o := range s.runningHostsExcept(h.member.ID) {
			o.members.scheduleDeath(s.rng, h.member)
		}
	}
}

// loseTargets kills or freezes the targets of a failure domain. The connections of
// killed targets are closed and new ones refused; frozen targets accept no
// connection and answer no request.
func (s *lossSite) loseTargets(f hostFault, domain string) {
	cut, cancel := context.WithCancel(context.Background())
	cancel()
	for i, t := range s.targets {
		conf := s.targetByID(t.ID())
		if conf.FailureDomain != domain {
			continue
		}
		s.mu.Lock()
		s.lostTargets[t.ID()] = time.Now()
		s.mu.Unlock()
		if f == hostKilled {
			_ = s.servers[i].Shutdown(cut) // returns an error, as the context has ended
			continue
		}
		s.blackhole.dropAddress(conf.Address)
		t.SetFaults(target.Faults{Freeze: target.FreezeBefore, FreezeStatus: true})
	}
}

// blackholeNetwork is a network in which connection attempts to some addresses
// hang until the context ends.
type blackholeNetwork struct {
	network
	mu         sync.Mutex
	blackholed map[string]bool
}

func (n *blackholeNetwork) dropAddress(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blackholed[address] = true
}

func (n *blackholeNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	blackholed := n.blackholed[address]
	n.mu.Unlock()
	if blackholed {
		<-ctx.Done()
		return nil, Error.New("dial %s: %w", address, ctx.Err())
	}
	return n.network.dial(ctx, network, address)
}
