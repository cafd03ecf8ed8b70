package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/relay"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

const (
	testWorkload = "guest-portal"
	rowsPerShard = 2
	testBudget   = 100 * time.Millisecond
)

// fakeCluster implements the catalog, membership, relays, freshness and recorder
// of an entry, and counts the executions of shard requests.
type fakeCluster struct {
	mu         sync.Mutex
	services   []catalog.Service
	snapshots  []catalog.Snapshot // newest first
	hosts      []member.Host
	relays     map[string]*fakeRelay
	stale      bool
	executions map[query.ShardKey]int // shard requests that ran, by shard
	recorded   []delivery.Delivery
}

func (c *fakeCluster) Service(name string) (catalog.Service, bool) {
	for _, s := range c.services {
		if s.Name == name {
			return s, true
		}
	}
	return catalog.Service{}, false
}
func (c *fakeCluster) Workload(string) []catalog.Service   { return c.services }
func (c *fakeCluster) Services() []catalog.Service         { return c.services }
func (c *fakeCluster) Snapshots(string) []catalog.Snapshot { return c.snapshots }
func (c *fakeCluster) Revision() uint64                    { return 1 }
func (c *fakeCluster) Self() member.Host                   { return c.hosts[0] }
func (c *fakeCluster) Hosts() []member.Host                { return c.hosts }
func (c *fakeCluster) Count() int                          { return len(c.Hosts()) }

func (c *fakeCluster) Generation() uint64                    { return 1 }
func (c *fakeCluster) Stale() bool                           { return c.stale }
func (c *fakeCluster) Record(d delivery.Delivery)            { c.recorded = append(c.recorded, d) }
func (c *fakeCluster) Searcher(h member.Host) relay.Searcher { return c.relays[h.ID] }
func (c *fakeCluster) Reserver(h member.Host) claim.Reserver { return c.relays[h.ID] }

func (c *fakeCluster) countExecution(k query.ShardKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[k]++
}

// fakeRelay returns results by its settings. Each row contains the snapshot that
// it was read from, so that tests can detect rows of another snapshot.
type fakeRelay struct {
	cluster       *fakeCluster
	delay         time.Duration
	frozen        bool            // never responds
	breakAfter    int             // number of results after which the stream breaks; -1: never
	refuse        query.Reason    // if set, every shard is rejected without running
	fail          query.Reason    // if set, every shard runs and has an unknown outcome
	duplicate     bool            // every result is sent twice
	foreignShards bool            // a result of a shard that was not requested is sent first
	otherSnapshot bool            // answers are from another snapshot
	notHeld       map[uint64]bool // snapshots that the targets do not hold
	reserve       func() query.Reservation
}

func (f *fakeRelay) Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	if f.frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	sent := 0
	for _, p := range b.Parts {
		for _, shard := range p.Shards {
			if f.breakAfter >= 0 && sent >= f.breakAfter {
				return fmt.Errorf("stream broke")
			}
			sent++
			if err := sleep(ctx, f.delay); err != nil {
				return err
			}
			for _, r := range f.results(b, query.ShardKey{Service: p.Service, Shard: shard}) {
				emit(r)
			}
		}
	}
	return nil
}

func (f *fakeRelay) results(b query.Batch, k query.ShardKey) []query.ShardResult {
	switch {
	case f.refuse != "":
		return []query.ShardResult{{Key: k, Snapshot: b.Snapshot, Outcome: outcome.Rejected, Reason: f.refuse, RetryAfter: time.Second}}
	case f.notHeld[b.Snapshot]:
		return []query.ShardResult{{Key: k, Snapshot: b.Snapshot, Outcome: outcome.Rejected, Reason: query.ReasonSnapshotNotHeld}}
	case f.fail != "":
		f.cluster.countExecution(k)
		return []query.ShardResult{{Key: k, Snapshot: b.Snapshot, Outcome: outcome.Unknown, Reason: f.fail, Attempts: 1}}
	}
	f.cluster.countExecution(k)
	if f.otherSnapshot {
		return []query.ShardResult{answerFor(k, b.Snapshot+1)}
	}
	good := answerFor(k, b.Snapshot)
	var all []query.ShardResult
	if f.foreignShards {
		all = append(all, answerFor(query.ShardKey{Service: k.Service, Shard: 99}, b.Snapshot))
	}
	all = append(all, good)
	if f.duplicate {
		all = append(all, good)
	}
	return all
}

func answerFor(k query.ShardKey, snapshot uint64) query.ShardResult {
	r := query.ShardResult{Key: k, Snapshot: snapshot, Outcome: outcome.Done, TotalRows: rowsPerShard, Attempts: 1}
	for n := range rowsPerShard {
		r.Rows = append(r.Rows, query.Row{
			Service: k.Service, Shard: k.Shard, Key: fmt.Sprintf("%s/%d", k, n), Value: fmt.Sprint(snapshot), Score: float64(n),
		})
	}
	return r
}

func (f *fakeRelay) Reserve(ctx context.Context, r query.ReserveRequest) query.Reservation {
	if f.frozen {
		<-ctx.Done()
		return query.Reservation{Outcome: outcome.Unknown, Reason: query.ReasonConnection}
	}
	return f.reserve()
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newCluster returns a cluster with one service for each of the given shard
// counts, one snapshot, and the given number of hosts and of relays per service.
func newCluster(hosts, relays int, shards ...int) *fakeCluster {
	cluster := &fakeCluster{relays: make(map[string]*fakeRelay), executions: make(map[query.ShardKey]int)}
	for i := range hosts {
		id := fmt.Sprintf("host-%d", i)
		cluster.hosts = append(cluster.hosts, member.Host{ID: id, FailureDomain: "salt-lake", State: member.Alive})
		cluster.relays[id] = &fakeRelay{cluster: cluster, breakAfter: -1, notHeld: make(map[uint64]bool)}
	}
	snap := catalog.Snapshot{Workload: testWorkload, ID: 1, Services: make(map[string]catalog.ShardMap)}
	for i, n := range shards {
		name := fmt.Sprintf("guest-portal-%02d", i)
		cluster.services = append(cluster.services, catalog.Service{
			Name: name, Workload: testWorkload, Urgency: query.Interactive,
			Targets: []catalog.Target{{ID: name + "-a", Connections: 100}},
			Rules:   catalog.Rules{Relays: relays, ConnectionsPerRelay: 2, DefaultBudget: unit.Duration(testBudget)},
		})
		snap.Services[name] = catalog.ShardMap{Shards: make([][]string, n)}
	}
	cluster.snapshots = []catalog.Snapshot{snap}
	return cluster
}

func (c *fakeCluster) entry() *Entry {
	return New(DefaultConfig(), c, c, c, c, c, prometheus.NewRegistry())
}
