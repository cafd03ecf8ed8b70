package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

// fleet is a set of hosts with their catalogs. Calls between them take no time
// and fail between hosts that are disconnected from each other.
type fleet struct {
	omitRevisions bool         // the membership reports no revisions
	hostClock     *clock.Clock // clock of the hosts added next; nil: never suspended
	t             testing.TB
	platform      *objstoretest.Platform
	mu            sync.Mutex
	nodes         []*node
	disconnected  func(a, b string) bool // nil: all hosts are connected
	pulls         atomic.Int64
}

type node struct {
	fleet        *fleet
	host         member.Host
	client       *objstoretest.Client
	catalog      *Catalog
	lastRevision uint64 // revision at the last check; it must not decrease
}

func newFleet(t testing.TB) *fleet {
	return &fleet{t: t, platform: objstoretest.New()}
}

// add starts a host in the failure domain.
func (f *fleet) add(id string, domain string) *node {
	n := &node{fleet: f, client: f.platform.Client()}
	n.host = member.Host{ID: id, FailureDomain: domain, PeerAddress: id, Incarnation: 1, State: member.Alive}
	n.catalog = New(DefaultConfig(), n.client, n, n, n, event.Discard(), prometheus.NewRegistry())
	n.catalog.SetClock(f.hostClock)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	go func() { _ = n.catalog.Start(f.t.Context()) }()
	return n
}

func (f *fleet) addAll(n, domains int) {
	for i := range n {
		f.add(fmt.Sprintf("host-%02d", i), fmt.Sprintf("domain-%d", i%domains))
	}
}

func (f *fleet) stop() {
	for _, n := range f.allNodes() {
		if err := n.catalog.Stop(context.Background()); err != nil {
			f.t.Error(err)
		}
	}
}

func (f *fleet) allNodes() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

// isolate disconnects the named hosts from all others, but not from one another.
func (f *fleet) isolate(ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected = func(a, b string) bool { return slices.Contains(ids, a) != slices.Contains(ids, b) }
}

// isolateAll disconnects every host from every other one.
func (f *fleet) isolateAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected = func(a, b string) bool { return a != b }
}

func (f *fleet) reconnect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected = nil
}

// checkRevisions fails the test if a host's revision decreased since the last check.
func (f *fleet) checkRevisions() {
	for _, n := range f.allNodes() {
		r := n.catalog.Revision()
		if r < n.lastRevision {
			f.t.Fatalf("revision of %s decreased from %d to %d", n.host.ID, n.lastRevision, r)
		}
		n.lastRevision = r
	}
}

// advance lets virtual time elapse, and checks the revisions at each step.
func (f *fleet) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		time.Sleep(min(d, step))
		synctest.Wait()
		f.checkRevisions()
	}
}

// Self, Hosts, Count and Generation implement member.View, so that a node is its own membership.
func (n *node) Self() member.Host { return n.host }

func (n *node) Hosts() []member.Host {
	var hosts []member.Host
	for _, other := range n.fleet.allNodes() {
		h := other.host
		if !n.fleet.omitRevisions {
			h.Revision = other.catalog.Revision()
		}
		hosts = append(hosts, h)
	}
	return hosts
}

func (n *node) Count() int { return len(n.Hosts()) }

func (n *node) Generation() uint64 { return 0 }

// Announce sends a hint to up to three random peers that are reachable.
func (n *node) Announce() {
	self := n.host
	self.Revision = n.catalog.Revision()
	peers := n.catalog.randomPeers(3)
	for _, p := range peers {
		if other := n.reachableNode(p.PeerAddress); other != nil {
			other.catalog.Hint(self)
		}
	}
}

var errDisconnected = errors.New("disconnected by the test")

// Pull calls the catalog of another host.
func (n *node) Pull(ctx context.Context, address string, in *peerpb.PullRequest) (*peerpb.PullReply, error) {
	n.fleet.pulls.Add(1)
	other := n.reachableNode(address)
	if other == nil {
		<-ctx.Done()
		return nil, errDisconnected
	}
	return other.catalog.Pull(ctx, in)
}

func (n *node) reachableNode(id string) *node {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.fleet.disconnected != nil && n.fleet.disconnected(n.host.ID, id) {
		return nil
	}
	i := slices.IndexFunc(n.fleet.nodes, func(o *node) bool { return o.host.ID == id })
	if i < 0 {
		return nil
	}
	return n.fleet.nodes[i]
}

// testService returns a valid service with three targets.
func testService(name string) Service {
	s := Service{Name: name, Workload: "portal", Urgency: query.Interactive}
	for i := range 3 {
		s.Targets = append(s.Targets, Target{
			ID: fmt.Sprintf("%s-t%d", name, i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			FailureDomain: fmt.Sprintf("domain-%d", i), Slots: 2, Connections: 25,
		})
	}
	return s
}

// testSnapshot returns a valid snapshot of the services.
func testSnapshot(id uint64, shards int, services ...Service) Snapshot {
	s := Snapshot{Workload: "portal", ID: id, Services: map[string]ShardMap{}}
	for _, svc := range services {
		m := ShardMap{IndexVersion: fmt.Sprintf("%s@%d", svc.Name, id)}
		for i := range shards {
			a, b := svc.Targets[i%3].ID, svc.Targets[(i+1)%3].ID
			m.Shards = append(m.Shards, []string{a, b})
		}
		s.Services[svc.Name] = m
	}
	return s
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// write writes a service whatever its current version is, and returns the revision.
func (f *fleet) write(s Service) uint64 {
	f.t.Helper()
	c := f.platform.Client()
	o, err := c.Get(f.t.Context(), objstore.KindService, s.Name)
	if err != nil && !errors.Is(err, objstore.ErrNotFound) {
		f.t.Fatal(err)
	}
	o, err = c.Put(f.t.Context(), objstore.KindService, s.Name, o.Version, encode(s))
	if conflict := (*objstore.Conflict)(nil); errors.As(err, &conflict) {
		return f.write(s) // a host wrote a lost change again meanwhile
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return o.Revision
}
