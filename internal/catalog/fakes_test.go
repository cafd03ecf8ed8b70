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

// fleet is a few hosts with their catalogs. Calls between them take no time
// and fail between hosts that are cut from each other.
type fleet struct {
	reportNothing bool         // the membership tells no revision
	machine       *clock.Clock // of the hosts that are added; nil: never suspended
	t             testing.TB
	platform      *objstoretest.Platform
	mu            sync.Mutex
	nodes         []*node
	apart         func(a, b string) bool // nil: all hosts reach each other
	pulls         atomic.Int64
}

type node struct {
	f       *fleet
	host    member.Host
	client  *objstoretest.Client
	catalog *Catalog
	lowest  uint64 // revision seen last, to notice a step back
}

func newFleet(t testing.TB) *fleet {
	return &fleet{t: t, platform: objstoretest.New()}
}

// add starts a host. Its place in the failure domains follows its number.
func (f *fleet) add(id string, domain string) *node {
	n := &node{f: f, client: f.platform.Client()}
	n.host = member.Host{ID: id, FailureDomain: domain, Peer: id, Incarnation: 1, State: member.Alive}
	n.catalog = New(DefaultConfig(), n.client, n, n, n, event.Discard(), prometheus.NewRegistry())
	n.catalog.GoBy(f.machine)
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
	for _, n := range f.all() {
		if err := n.catalog.Stop(context.Background()); err != nil {
			f.t.Error(err)
		}
	}
}

func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

// isolate cuts the named hosts from all others, but not from one another.
func (f *fleet) isolate(ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apart = func(a, b string) bool { return slices.Contains(ids, a) != slices.Contains(ids, b) }
}

// scatter cuts every host from every other one.
func (f *fleet) scatter() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apart = func(a, b string) bool { return a != b }
}

func (f *fleet) join() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apart = nil
}

// check fails the test if a host went back since the last check.
func (f *fleet) check() {
	for _, n := range f.all() {
		r := n.catalog.Revision()
		if r < n.lowest {
			f.t.Fatalf("%s went back from revision %d to %d", n.host.ID, n.lowest, r)
		}
		n.lowest = r
	}
}

// pass lets virtual time pass, with checks in between.
func (f *fleet) pass(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		time.Sleep(min(d, step))
		synctest.Wait()
		f.check()
	}
}

// Self, Hosts and Generation make a node its own member.View.
func (n *node) Self() member.Host { return n.host }

func (n *node) Hosts() []member.Host {
	var hosts []member.Host
	for _, other := range n.f.all() {
		h := other.host
		if !n.f.reportNothing {
			h.Revision = other.catalog.Revision()
		}
		hosts = append(hosts, h)
	}
	return hosts
}

func (n *node) Count() int { return len(n.Hosts()) }

func (n *node) Generation() uint64 { return 0 }

// Announce hints at the next three hosts that can be reached.
func (n *node) Announce() {
	self := n.host
	self.Revision = n.catalog.Revision()
	peers := n.catalog.randomPeers(3)
	for _, p := range peers {
		if other := n.reach(p.Peer); other != nil {
			other.catalog.Hint(self)
		}
	}
}

var errCut = errors.New("cut off by the test")

// Pull calls the catalog of another host.
func (n *node) Pull(ctx context.Context, address string, in *peerpb.PullRequest) (*peerpb.PullReply, error) {
	n.f.pulls.Add(1)
	other := n.reach(address)
	if other == nil {
		<-ctx.Done()
		return nil, errCut
	}
	return other.catalog.Pull(ctx, in)
}

func (n *node) reach(id string) *node {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	if n.f.apart != nil && n.f.apart(n.host.ID, id) {
		return nil
	}
	i := slices.IndexFunc(n.f.nodes, func(o *node) bool { return o.host.ID == id })
	if i < 0 {
		return nil
	}
	return n.f.nodes[i]
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

// write writes a service past all conditions and returns its revision.
func (f *fleet) write(s Service) uint64 {
	f.t.Helper()
	c := f.platform.Client()
	o, err := c.Get(f.t.Context(), objstore.KindService, s.Name)
	if err != nil && !errors.Is(err, objstore.ErrNotFound) {
		f.t.Fatal(err)
	}
	o, err = c.Put(f.t.Context(), objstore.KindService, s.Name, o.Version, encode(s))
	if conflict := (*objstore.Conflict)(nil); errors.As(err, &conflict) {
		return f.write(s) // a host has written it again meanwhile
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return o.Revision
}
