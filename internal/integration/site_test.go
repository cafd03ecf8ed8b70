package integration

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/entry"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/relay"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", strconv.Itoa(totalHistories/parallelRuns))
	flag.Parse()
	os.Exit(m.Run())
}

// errStreamBroke ends a relay call that is lost after some results.
var errStreamBroke = errors.New("stream broke")

// site is a set of hosts and the targets that they share.
type site struct {
	hosts         []*host
	targets       map[string]*target.Target
	servers       []*http.Server
	network       *standin.Network
	wrongSnapshot map[string]bool // targets that answer from a different snapshot
}

// host is one host with its own view of the configuration, its relay and its entry.
type host struct {
	site            *site
	self            member.Host
	services        []catalog.Service
	relay           *relay.Relay
	entry           *entry.Entry
	breakRelayAfter int // number of results after which calls to this host's relay break; -1: never

	mu        sync.Mutex
	revision  uint64
	snapshots []catalog.Snapshot // newest first
}

func (h *host) Service(name string) (catalog.Service, bool) {
	i := slices.IndexFunc(h.services, func(s catalog.Service) bool { return s.Name == name })
	if i < 0 {
		return catalog.Service{}, false
	}
	return h.services[i], true
}
func (h *host) Workload(string) []catalog.Service { return h.services }
func (h *host) Services() []catalog.Service       { return h.services }
func (h *host) Self() member.Host                 { return h.self }
func (h *host) Count() int                        { return len(h.Hosts()) }

func (h *host) Generation() uint64       { return 1 }
func (h *host) Stale() bool              { return false }
func (h *host) Record(delivery.Delivery) {}

func (h *host) Snapshots(string) []catalog.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshots
}

func (h *host) Revision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision
}

func (h *host) Hosts() []member.Host {
	var all []member.Host
	for _, o := range h.site.hosts {
		all = append(all, o.self)
	}
	return all
}

// publish makes a snapshot visible to the host.
func (h *host) publish(s catalog.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision++
	h.snapshots = append(slices.Clone(h.snapshots), s)
	slices.SortFunc(h.snapshots, func(a, b catalog.Snapshot) int { return int(b.ID) - int(a.ID) })
}

// retire removes a snapshot from the host's view.
func (h *host) retire(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision++
	h.snapshots = slices.DeleteFunc(slices.Clone(h.snapshots), func(s catalog.Snapshot) bool { return s.ID == id })
}

func (h *host) Reserver(member.Host) claim.Reserver { return nil }

func (h *host) Searcher(to member.Host) relay.Searcher {
	for _, o := range h.site.hosts {
		if o.self.ID == to.ID {
			return breakingSearcher{o.relay, o.breakRelayAfter}
		}
	}
	return nil
}

// breakingSearcher breaks a relay call after a number of results.
type breakingSearcher struct {
	relay.Searcher
	resultLimit int
}

func (l breakingSearcher) Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	if l.resultLimit < 0 {
		return l.Searcher.Search(ctx, b, emit)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := 0
	err := l.Searcher.Search(ctx, b, func(r query.ShardResult) {
		if sent < l.resultLimit {
			emit(r)
		}
		if sent++; sent == l.resultLimit {
			cancel()
		}
	})
	return errors.Join(err, errStreamBroke)
}

// newSite starts the hosts and targets. The services hold no snapshot yet.
func newSite(hosts, relays int, services []catalog.Service, configs []target.Config) *site {
	s := &site{targets: make(map[string]*target.Target), network: standin.NewNetwork()}
	for _, c := range configs {
		s.startTarget(c)
	}
	for i := range services {
		services[i].Rules.Relays = relays
	}
	for i := range hosts {
		s.hosts = append(s.hosts, &host{
			site: s, services: services, breakRelayAfter: -1,
			self: member.Host{ID: fmt.Sprintf("host-%d", i), FailureDomain: "salt-lake", State: member.Alive},
		})
	}
	for _, h := range s.hosts {
		h.relay = relay.New(relay.DefaultConfig(), h, h, nil, event.Discard(), prometheus.NewRegistry())
		h.relay.DialWith(s.network.Dial)
		_ = h.relay.Start(context.Background())
		h.entry = entry.New(entry.DefaultConfig(), h, h, h, h, h, prometheus.NewRegistry())
	}
	return s
}

func (s *site) startTarget(c target.Config) {
	t := target.New(c)
	l, _ := s.network.Listen(c.Listen) // never fails in memory
	server := &http.Server{Handler: s.withWrongSnapshot(c.ID, t.Handler())}
	s.targets[c.ID] = t
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
}

// withWrongSnapshot makes a target in wrongSnapshot run every third request in the snapshot before the
// requested one, and name that snapshot in its answer.
func (s *site) withWrongSnapshot(id string, next http.Handler) http.Handler {
	var count atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		snapshot, err := strconv.Atoi(r.Header.Get(targetapi.HeaderSnapshot))
		if s.wrongSnapshot[id] && err == nil && count.Add(1)%3 == 0 {
			r.Header.Set(targetapi.HeaderSnapshot, strconv.Itoa(snapshot-1))
		}
		next.ServeHTTP(w, r)
	})
}

// stop shuts down everything that newSite started.
func (s *site) stop() {
	for _, t := range s.targets {
		t.SetFaults(target.Faults{})
	}
	for _, h := range s.hosts {
		_ = h.relay.Stop(context.Background())
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
