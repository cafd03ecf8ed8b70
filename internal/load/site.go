package load

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/entry"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/relay"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/fixture"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

const (
	siteShards   = 3
	serviceMean  = 20 * time.Millisecond // long, so that the machine is not what binds
	serviceSigma = 0.3
	hop          = 2 * time.Millisecond // there and back between hosts
	stopWait     = 5 * time.Second
)

// place is a workload of 10 services of 3 targets.
type place struct {
	workload string
	slots    int // of a target
	layout   func(fixture.Options) fixture.Layout
}

var (
	kolkata  = place{"guest-portal", 2, fixture.Kolkata}
	nordeste = place{"vitrine", 3, fixture.Nordeste}
)

// capacity returns the queries a second that the slots of the place can run.
func (p place) capacity() float64 {
	const services, targets = 10, 3
	perSecond := float64(services*targets*p.slots) * float64(time.Second) / float64(serviceMean)
	return perSecond / (services * siteShards)
}

// siteConfig is one workload in this process: the real entries and relays of
// some hosts over target stand-ins.
type siteConfig struct {
	place       place
	hosts       int
	rules       catalog.Rules
	direct      bool    // every decision off: see direct
	connections int     // direct: to one target from one host, 0 for no limit
	retries     int     // direct
	queue       int     // of a target; 0 is the stand-in's default
	network     network // nil: loopback
}

// network connects hosts and targets.
type network interface {
	listen(targetID string) (net.Listener, error)
	dial(ctx context.Context, network, address string) (net.Conn, error)
}

// loopback is the network of the machine.
type loopback struct{}

func (loopback) listen(string) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (loopback) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// site is started by newSite and ended by close.
type site struct {
	listeners map[string]net.Listener
	targets   []*target.Target
	servers   []*target.Server
	hosts     []*siteHost
	searchers map[string]relay.Searcher
	catalog   *fixedCatalog
	workload  string
}

type siteHost struct {
	entry   *entry.Entry
	relay   *relay.Relay
	direct  *direct
	metrics *prometheus.Registry
}

func newSite(ctx context.Context, c siteConfig) (*site, error) {
	if c.network == nil {
		c.network = loopback{}
	}
	s := &site{
		listeners: make(map[string]net.Listener),
		searchers: make(map[string]relay.Searcher),
		workload:  c.place.workload,
	}
	layout, err := s.layout(c)
	if err != nil {
		return nil, err
	}
	s.catalog = newFixedCatalog(layout, s.workload, c.rules)
	s.startTargets(layout)
	hosts := hostsOf(c.hosts, layout.Domains)
	for i := range hosts {
		if err := s.startHost(ctx, c, &fixedMembers{self: i, hosts: hosts}); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// layout makes the layout and listens for every target of it.
func (s *site) layout(c siteConfig) (fixture.Layout, error) {
	var failed error
	address := func(id string) string {
		ln, err := c.network.listen(id)
		if err != nil {
			failed = Error.New("listen for target %s: %w", id, err)
			return ""
		}
		s.listeners[id] = ln
		return ln.Addr().String()
	}
	edit := func(t *target.Config) {
		t.ServiceTime = standin.Latency{Mean: unit.Duration(serviceMean), Sigma: serviceSigma}
		if c.queue > 0 {
			t.QueueLength = c.queue
		}
	}
	return c.place.layout(fixture.Options{Address: address, Shards: siteShards, Edit: edit}), failed
}

func (s *site) startTargets(l fixture.Layout) {
	for _, c := range l.Targets {
		ln := s.listeners[c.ID]
		if !strings.HasPrefix(c.ID, s.workload) {
			_ = ln.Close() // of another workload
			continue
		}
		t := target.New(c)
		server := target.NewServer(t)
		go func() { _ = server.Serve(ln) }() // ends with Shutdown
		s.targets = append(s.targets, t)
		s.servers = append(s.servers, server)
	}
}

func (s *site) startHost(ctx context.Context, c siteConfig, members *fixedMembers) error {
	h := &siteHost{metrics: prometheus.NewRegistry()}
	id := members.Self().ID
	if c.direct {
		h.direct = newDirect(s.catalog, c.network, c.connections, c.retries)
		s.searchers[id] = h.direct
	} else {
		h.relay = relay.New(relayConfig(), s.catalog, members, nil, event.Discard(), h.metrics)
		h.relay.DialWith(c.network.dial)
		if err := h.relay.Start(ctx); err != nil {
			return Error.New("start relay of %s: %w", id, err)
		}
		s.searchers[id] = h.relay
	}
	access := &access{site: s, self: id, direct: c.direct}
	h.entry = entry.New(entry.DefaultConfig(), s.catalog, members, access, alwaysFresh{}, noRecords{}, h.metrics)
	s.hosts = append(s.hosts, h)
	return nil
}

// relayConfig is the default but for the ramp of targets newly seen: the runs
// measure the steady state.
func relayConfig() relay.Config {
	c := relay.DefaultConfig()
	c.ColdRamp = 0
	return c
}

func (s *site) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopWait)
	defer cancel()
	for _, t := range s.targets {
		t.SetFaults(target.Faults{}) // lets frozen requests end
	}
	for _, h := range s.hosts {
		h.close(ctx)
	}
	for _, server := range s.servers {
		_ = server.Shutdown(ctx) // what is cut here belongs to no run
	}
}

func (h *siteHost) close(ctx context.Context) {
	if h.direct != nil {
		h.direct.close()
		return
	}
	_ = h.relay.Stop(ctx) // the run is over
}

// fault puts faults in force at some targets.
func (s *site) fault(f target.Faults, pick func(t *target.Target) bool) {
	for _, t := range s.targets {
		if pick(t) {
			t.SetFaults(f)
		}
	}
}

// asker spreads the requests over the hosts as a balancer would.
func (s *site) asker(seed uint64, budget time.Duration) asker {
	return func(ctx context.Context, index int) result {
		e := s.hosts[index%len(s.hosts)].entry
		answer, refusal := e.Search(ctx, query.Search{
			RequestID:   requestID(seed, index),
			Caller:      "load",
			Workload:    s.workload,
			Limit:       10,
			MinCoverage: 1,
			Budget:      budget,
		})
		if refusal != nil {
			return result{reason: refusal.Reason}
		}
		return result{
			answered: true,
			coverage: answer.Coverage.Fraction(),
			attempts: answer.Attempts,
			needed:   answer.Needed,
		}
	}
}

// access gives an entry the relays of the site; those of other hosts are a
// round trip away.
type access struct {
	site   *site
	self   string
	direct bool
}

// Searcher implements entry.Relays. Direct hosts ask no other.
func (a *access) Searcher(h member.Host) relay.Searcher {
	if a.direct {
		return a.site.searchers[a.self]
	}
	if h.ID == a.self {
		return a.site.searchers[h.ID]
	}
	return &distant{a.site.searchers[h.ID]}
}

// Reserver implements entry.Relays; the runs reserve nothing.
func (a *access) Reserver(member.Host) claim.Reserver { return nil }

// distant is a relay on another host. The whole round trip is waited for
// before the work: results come back one by one and must not wait in a row.
type distant struct{ relay.Searcher }

// Search implements relay.Searcher.
func (d *distant) Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	if err := sleepUntil(ctx, time.Now().Add(hop)); err != nil {
		return fmt.Errorf("reach relay: %w", err)
	}
	b.Budget -= hop
	return d.Searcher.Search(ctx, b, emit)
}
