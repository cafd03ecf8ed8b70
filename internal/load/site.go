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
	shardsPerService = 3
	meanServiceTime  = 20 * time.Millisecond // long enough that targets, not the CPU of the machine, are the bottleneck
	serviceTimeSigma = 0.3                   // of the log-normal distribution of service times
	hostRoundTrip    = 2 * time.Millisecond  // network round trip between hosts
	stopTimeout      = 5 * time.Second
)

// siteKind is a layout with the workload that is searched: 10 services with 3
// targets each.
type siteKind struct {
	workload string
	slots    int // per target
	layout   func(fixture.Options) fixture.Layout
}

var (
	guestPortalSite = siteKind{"guest-portal", 2, fixture.Kolkata}
	vitrineSite     = siteKind{"vitrine", 3, fixture.Nordeste}
)

// capacity returns the queries per second that the slots of all targets can run.
func (p siteKind) capacity() float64 {
	const services, targets = 10, 3
	perSecond := float64(services*targets*p.slots) * float64(time.Second) / float64(meanServiceTime)
	return perSecond / (services * shardsPerService)
}

// siteConfig is the configuration of a site in this process: the real entries
// and relays of some hosts, over stand-ins for the targets of one workload.
type siteConfig struct {
	kind        siteKind
	hosts       int
	rules       catalog.Rules
	direct      bool    // hosts call targets without the policies of a relay: see directSearcher
	connections int     // with direct: maximum from one host to one target; 0: no limit
	retries     int     // with direct: after a failed attempt
	queue       int     // queue length of a target; 0: the default of the stand-in
	network     network // nil: loopback
}

// network connects hosts and targets.
type network interface {
	listen(targetID string) (net.Listener, error)
	dial(ctx context.Context, network, address string) (net.Conn, error)
}

// loopback is the loopback interface of the machine.
type loopback struct{}

func (loopback) listen(string) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (loopback) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// site is a running site. It is started by newSite and stopped by close.
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
	direct  *directSearcher
	metrics *prometheus.Registry
}

func newSite(ctx context.Context, c siteConfig) (*site, error) {
	if c.network == nil {
		c.network = loopback{}
	}
	s := &site{
		listeners: make(map[string]net.Listener),
		searchers: make(map[string]relay.Searcher),
		workload:  c.kind.workload,
	}
	layout, err := s.layout(c)
	if err != nil {
		return nil, err
	}
	s.catalog = newFixedCatalog(layout, s.workload, c.rules)
	s.startTargets(layout)
	hosts := newHosts(c.hosts, layout.Domains)
	for i := range hosts {
		if err := s.startHost(ctx, c, &fixedMembers{self: i, hosts: hosts}); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// layout creates the layout and a listener for each of its targets.
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
		t.ServiceTime = standin.Latency{Mean: unit.Duration(meanServiceTime), Sigma: serviceTimeSigma}
		if c.queue > 0 {
			t.QueueLength = c.queue
		}
	}
	return c.kind.layout(fixture.Options{Address: address, Shards: shardsPerService, Edit: edit}), failed
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
		go func() { _ = server.Serve(ln) }() // returns after Shutdown
		s.targets = append(s.targets, t)
		s.servers = append(s.servers, server)
	}
}

func (s *site) startHost(ctx context.Context, c siteConfig, members *fixedMembers) error {
	h := &siteHost{metrics: prometheus.NewRegistry()}
	id := members.Self().ID
	if c.direct {
		h.direct = newDirectSearcher(s.catalog, c.network, c.connections, c.retries)
		s.searchers[id] = h.direct
	} else {
		h.relay = relay.New(relayConfig(), s.catalog, members, nil, event.Discard(), h.metrics)
		h.relay.DialWith(c.network.dial)
		if err := h.relay.Start(ctx); err != nil {
			return Error.New("start relay of %s: %w", id, err)
		}
		s.searchers[id] = h.relay
	}
	access := &siteRelays{site: s, self: id, direct: c.direct}
	h.entry = entry.New(entry.DefaultConfig(), s.catalog, members, access, neverStale{}, discardRecorder{}, h.metrics)
	s.hosts = append(s.hosts, h)
	return nil
}

// relayConfig returns the default configuration without the ramp-up of new
// targets, as the runs measure the steady state.
func relayConfig() relay.Config {
	c := relay.DefaultConfig()
	c.ColdRamp = 0
	return c
}

func (s *site) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, t := range s.targets {
		t.SetFaults(target.Faults{}) // releases frozen requests
	}
	for _, h := range s.hosts {
		h.close(ctx)
	}
	for _, server := range s.servers {
		_ = server.Shutdown(ctx) // the run is over, aborted requests don't count
	}
}

func (h *siteHost) close(ctx context.Context) {
	if h.direct != nil {
		h.direct.close()
		return
	}
	_ = h.relay.Stop(ctx) // the run is over
}

// setFaults injects faults into the targets that pick selects.
func (s *site) setFaults(f target.Faults, pick func(t *target.Target) bool) {
	for _, t := range s.targets {
		if pick(t) {
			t.SetFaults(f)
		}
	}
}

// searchFunc returns a function that distributes the requests over the hosts as
// a load balancer does.
func (s *site) searchFunc(seed uint64, budget time.Duration) searchFunc {
	return func(ctx context.Context, index int) result {
		e := s.hosts[index%len(s.hosts)].entry
		answer, refusal := e.Search(ctx, query.SearchRequest{
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
			needed:   answer.NeededAnswers,
		}
	}
}

// siteRelays implements entry.RelayClients for one host. Relays on other hosts are a
// round trip away.
type siteRelays struct {
	site   *site
	self   string
	direct bool
}

// Searcher implements entry.RelayClients. With direct, a host always uses its own
// searcher.
func (a *siteRelays) Searcher(h member.Host) relay.Searcher {
	if a.direct {
		return a.site.searchers[a.self]
	}
	if h.ID == a.self {
		return a.site.searchers[h.ID]
	}
	return &remoteRelay{a.site.searchers[h.ID]}
}

// Reserver implements entry.RelayClients. It is unused, as the runs reserve nothing.
func (a *siteRelays) Reserver(member.Host) claim.Reserver { return nil }

// remoteRelay is a relay on another host. It sleeps for the whole round trip
// before the search: results are emitted one by one, and a delay for each of
// them would add up.
type remoteRelay struct{ relay.Searcher }

// Search implements relay.Searcher.
func (d *remoteRelay) Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	if err := sleepUntil(ctx, time.Now().Add(hostRoundTrip)); err != nil {
		return fmt.Errorf("send search to remote relay: %w", err)
	}
	b.Budget -= hostRoundTrip
	return d.Searcher.Search(ctx, b, emit)
}
