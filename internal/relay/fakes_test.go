package relay

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

func TestMain(m *testing.M) {
	if os.Getenv(benchTargetsEnv) != "" {
		serveBenchTargets()
		return
	}
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		println("goroutines leaked:", err.Error())
		code = 1
	}
	os.Exit(code)
}

// view is a catalog.View of the service "s" of the workload "w" and its
// snapshots.
type view struct {
	mu        sync.Mutex
	service   catalog.Service
	snapshots []catalog.Snapshot
	revision  uint64
}

func (v *view) Service(string) (catalog.Service, bool) { return v.service, true }
func (v *view) Workload(string) []catalog.Service      { return v.Services() }
func (v *view) Services() []catalog.Service {
	v.mu.Lock()
	defer v.mu.Unlock()
	return []catalog.Service{v.service}
}
func (v *view) Snapshots(string) []catalog.Snapshot { return v.snapshots }
func (v *view) Revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

func (v *view) change(f func(*catalog.Service)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.service.Targets = append([]catalog.Target(nil), v.service.Targets...)
	f(&v.service)
	v.revision++
}

// members is a member.View that a test can change.
type members struct {
	mu         sync.Mutex
	self       string
	hosts      []member.Host
	generation uint64
}

func (m *members) Self() member.Host { return member.Host{ID: m.self, FailureDomain: "fd0"} }
func (m *members) Hosts() []member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hosts
}
func (m *members) Count() int { return len(m.Hosts()) }

func (m *members) Generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

func (m *members) set(ids ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts = nil
	for _, id := range ids {
		m.hosts = append(m.hosts, member.Host{ID: id, FailureDomain: "fd0", State: member.Alive})
	}
	m.generation++
}

// fakeTarget implements the target protocol over in-memory connections.
type fakeTarget struct {
	id     string
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
	serve  func(w http.ResponseWriter, r *http.Request, a targetapi.Answer) // if nil, a valid answer after delay
	refuse error                                                            // returned by dials

	mu       sync.Mutex
	delay    time.Duration
	frozen   bool // the status endpoint does not respond
	status   targetapi.Status
	requests []receivedRequest
	dials    int
	open     int
	maxOpen  int
}

// receivedRequest is a shard request that reached the target.
type receivedRequest struct {
	at      time.Time
	attempt string
	kind    string
}

func newFakeTarget(id string) *fakeTarget {
	f := &fakeTarget{
		id: id, conns: make(chan net.Conn), closed: make(chan struct{}), delay: 2 * time.Millisecond,
		status: targetapi.Status{ID: id, State: targetapi.StateReady, Incarnation: 1},
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	f.server = &http.Server{Handler: f, Protocols: protocols, ConnState: f.connState}
	return f
}

func (f *fakeTarget) connState(_ net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case http.StateNew:
		f.open++
		f.maxOpen = max(f.maxOpen, f.open)
	case http.StateClosed, http.StateHijacked:
		f.open--
	}
}

func (f *fakeTarget) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}
func (f *fakeTarget) Close() error   { return nil }
func (f *fakeTarget) Addr() net.Addr { return &net.TCPAddr{} }

func (f *fakeTarget) dial() (net.Conn, error) {
	f.mu.Lock()
	f.dials++
	refuse := f.refuse
	f.mu.Unlock()
	if refuse != nil {
		return nil, refuse
	}
	client, server := net.Pipe()
	f.conns <- server
	return client, nil
}

func (f *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == targetapi.PathStatus {
		f.mu.Lock()
		frozen, status := f.frozen, f.status
		f.mu.Unlock()
		if frozen {
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(status)
		return
	}
	var q targetapi.Request
	_ = json.NewDecoder(r.Body).Decode(&q)
	f.mu.Lock()
	f.requests = append(f.requests, receivedRequest{time.Now(), r.Header.Get(targetapi.HeaderAttempt), q.Kind})
	serve, delay := f.serve, f.delay
	f.mu.Unlock()
	if serve != nil {
		serve(w, r, wholeAnswer(r))
		return
	}
	select {
	case <-time.After(delay):
		_ = json.NewEncoder(w).Encode(wholeAnswer(r))
	case <-r.Context().Done():
	}
}

func (f *fakeTarget) set(change func(*fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeTarget) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

func wholeAnswer(r *http.Request) targetapi.Answer {
	shard, _ := strconv.ParseUint(r.Header.Get(targetapi.HeaderShard), 10, 32)
	snapshot, _ := strconv.ParseUint(r.Header.Get(targetapi.HeaderSnapshot), 10, 64)
	return targetapi.Answer{
		RequestID: r.Header.Get(targetapi.HeaderRequest), AttemptID: r.Header.Get(targetapi.HeaderAttempt),
		Service: r.Header.Get(targetapi.HeaderService), Shard: uint32(shard), Snapshot: snapshot,
		RowCount: 1, TotalRows: 1, Rows: []targetapi.Row{{Key: "k", Value: "v", Score: 1}},
		Granted: true, Text: "kept",
	}
}

func reject(w http.ResponseWriter, r *http.Request, status int, code string) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(targetapi.Rejection{Code: code, AttemptID: r.Header.Get(targetapi.HeaderAttempt)})
}

// fixture is a relay with targets that all hold every shard.
type fixture struct {
	relay   *Relay
	view    *view
	members *members
	targets []*fakeTarget
	servers sync.WaitGroup
}

type option func(*fixture, *Config)

func rules(change func(*catalog.Rules)) option {
	return func(f *fixture, _ *Config) { change(&f.view.service.Rules) }
}

func newFixture(shards, targets int, options ...option) *fixture {
	f := &fixture{members: &members{self: "h0"}, view: &view{revision: 1}}
	f.members.set("h0")
	f.view.service = catalog.Service{Name: "s", Workload: "w", Urgency: query.Interactive, Rules: catalog.Rules{
		Protocol: protocolHTTP1, ConnectionsPerRelay: 2, HedgeQuantile: 0.95, HedgeBudget: -1, RetryBudget: 10,
		QueueWait: unit.Duration(time.Second),
	}}
	ids := make([]string, targets)
	for i := range targets {
		ids[i] = "t" + strconv.Itoa(i)
		t := newFakeTarget(ids[i])
		f.targets = append(f.targets, t)
		f.view.service.Targets = append(f.view.service.Targets, catalog.Target{
			ID: ids[i], Address: ids[i] + ":80", FailureDomain: "fd" + strconv.Itoa(i), Slots: 2, Connections: 25,
		})
	}
	m := catalog.ShardMap{IndexVersion: "1", Shards: make([][]string, shards)}
	for i := range m.Shards {
		m.Shards[i] = ids
	}
	f.view.snapshots = []catalog.Snapshot{{Workload: "w", ID: 7, Services: map[string]catalog.ShardMap{"s": m}}}
	cfg := DefaultConfig()
	for _, o := range options {
		o(f, &cfg)
	}
	f.relay = New(cfg, f.view, f.members, nil, event.Discard(), nil)
	f.relay.dial = f.dial
	for _, t := range f.targets {
		f.servers.Go(func() { _ = t.server.Serve(t) })
	}
	return f
}

func (f *fixture) dial(_ context.Context, _, address string) (net.Conn, error) {
	for _, t := range f.targets {
		if t.id+":80" == address {
			return t.dial()
		}
	}
	return nil, net.ErrClosed
}

// close stops the relay and the targets, and waits for their goroutines.
func (f *fixture) close() {
	_ = f.relay.Stop(context.Background())
	for _, p := range f.relay.table.Load().pools {
		p.close()
	}
	for _, t := range f.targets {
		close(t.closed)
		_ = t.server.Close()
	}
	f.servers.Wait()
}

func batch(shards int, budget time.Duration) query.Batch {
	b := query.Batch{RequestID: "r1", Workload: "w", Snapshot: 7, Urgency: query.Interactive, Budget: budget,
		Parts: []query.ServiceShards{{Service: "s"}}}
	for i := range shards {
		b.Parts[0].Shards = append(b.Parts[0].Shards, uint32(i))
	}
	return b
}

// search runs the batch and returns the results by shard, with the time from
// the start of the search to each.
func (f *fixture) search(ctx context.Context, b query.Batch) (map[uint32]timedResult, error) {
	out := map[uint32]timedResult{}
	begin := time.Now()
	err := f.relay.Search(ctx, b, func(r query.ShardResult) {
		if _, twice := out[r.Key.Shard]; twice {
			panic("shard emitted twice")
		}
		out[r.Key.Shard] = timedResult{r, time.Since(begin)}
	})
	return out, err
}

type timedResult struct {
	query.ShardResult
	after time.Duration
}
