package entry

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "10000")
	os.Exit(m.Run())
}

var workloadSearch = query.SearchRequest{RequestID: "r1", Caller: "shop", Workload: testWorkload, MinCoverage: 1}

// TestSearchHistories runs searches over relays that are slow, frozen, refusing,
// lost during the answer, or send duplicate and foreign results, with several
// snapshots of different shard maps, some no longer held. Each row contains its
// snapshot, so that rows of two snapshots in one answer are detected.
func TestSearchHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cluster, q := drawScenario(rt)
		var answer *query.Answer
		var refusal *query.Refusal
		var elapsed time.Duration
		synctest.Test(t, func(*testing.T) {
			start := time.Now()
			answer, refusal = cluster.entry().Search(context.Background(), q)
			elapsed = time.Since(start)
			synctest.Wait()
		})
		if elapsed > testBudget {
			rt.Fatalf("took %v of a budget of %v", elapsed, testBudget)
		}
		if answer != nil {
			checkAnswer(rt, cluster, q, answer)
			return
		}
		if refusal.Outcome.NotRun() && len(cluster.executions) > 0 {
			rt.Fatalf("refused as not run, but shards ran: %v", cluster.executions)
		}
	})
}

func drawScenario(rt *rapid.T) (*fakeCluster, query.SearchRequest) {
	hosts := rapid.IntRange(1, 4).Draw(rt, "hosts")
	relays := rapid.IntRange(1, 3).Draw(rt, "relays")
	services := rapid.IntRange(1, 3).Draw(rt, "services")
	cluster := newCluster(hosts, relays, make([]int, services)...)
	cluster.snapshots = nil
	for id := rapid.IntRange(1, 3).Draw(rt, "snapshots"); id > 0; id-- {
		snap := catalog.Snapshot{Workload: testWorkload, ID: uint64(id), Services: make(map[string]catalog.ShardMap)}
		for _, s := range cluster.services {
			shards := rapid.IntRange(1, 4).Draw(rt, "shards")
			snap.Services[s.Name] = catalog.ShardMap{Shards: make([][]string, shards)}
		}
		cluster.snapshots = append(cluster.snapshots, snap)
	}
	for _, h := range cluster.hosts {
		drawRelay(rt, cluster.relays[h.ID], len(cluster.snapshots))
	}
	q := workloadSearch
	q.MinCoverage = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "min_coverage")
	return cluster, q
}

func drawRelay(rt *rapid.T, f *fakeRelay, snapshots int) {
	f.delay = time.Duration(rapid.SampledFrom([]int{0, 1, 30}).Draw(rt, "delay_ms")) * time.Millisecond
	f.frozen = rapid.IntRange(0, 5).Draw(rt, "frozen") == 0
	f.breakAfter = rapid.SampledFrom([]int{-1, -1, -1, 0, 1, 3}).Draw(rt, "lose_at")
	f.duplicate = rapid.Bool().Draw(rt, "double")
	f.foreignShards = rapid.Bool().Draw(rt, "crossed")
	f.otherSnapshot = rapid.IntRange(0, 5).Draw(rt, "other") == 0
	f.refuse = rapid.SampledFrom([]query.Reason{"", "", "", query.ReasonOverload, query.ReasonDraining}).Draw(rt, "refuse")
	f.fail = rapid.SampledFrom([]query.Reason{"", "", "", query.ReasonBadAnswer}).Draw(rt, "fail")
	for id := range snapshots {
		f.notHeld[uint64(id+1)] = rapid.IntRange(0, 3).Draw(rt, "unheld") == 0
	}
}

// checkAnswer verifies an answer: its rows are from one snapshot and from whole
// shards only, and its coverage lists exactly the shards without rows as missing.
func checkAnswer(rt *rapid.T, cluster *fakeCluster, q query.SearchRequest, a *query.Answer) {
	var snap catalog.Snapshot
	for _, s := range cluster.snapshots {
		if s.ID == a.Snapshot {
			snap = s
		}
	}
	shards := 0
	for _, m := range snap.Services {
		shards += len(m.Shards)
	}
	rows := make(map[query.ShardKey]int)
	for _, r := range a.Rows {
		rows[query.ShardKey{Service: r.Service, Shard: r.Shard}]++
		if want := answerFor(query.ShardKey{}, a.Snapshot).Rows[0].Value; r.Value != want {
			rt.Fatalf("row of snapshot %s in an answer from %s", r.Value, want)
		}
	}
	for k, n := range rows {
		if n != rowsPerShard || int(k.Shard) >= len(snap.Services[k.Service].Shards) {
			rt.Fatalf("shard %s has %d rows", k, n)
		}
	}
	for _, k := range a.Coverage.Missing {
		if rows[k] != 0 {
			rt.Fatalf("shard %s is reported as missing but has rows", k)
		}
	}
	c := a.Coverage
	if c.Shards != shards || c.Answered != len(rows) || len(c.Missing) != shards-len(rows) || c.Complete() != (len(rows) == shards) {
		rt.Fatalf("coverage %+v, but %d of %d shards have rows", c, len(rows), shards)
	}
	if c.Fraction() < q.MinCoverage || a.RequestID != q.RequestID || a.TotalRows != rowsPerShard*len(rows) {
		rt.Fatalf("answer %+v", a)
	}
}

// searchImmediately runs a search in virtual time and fails the test if virtual
// time passed.
func searchImmediately(t *testing.T, cluster *fakeCluster, q query.SearchRequest) (*query.Answer, *query.Refusal) {
	t.Helper()
	var answer *query.Answer
	var refusal *query.Refusal
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		answer, refusal = cluster.entry().Search(context.Background(), q)
		if elapsed := time.Since(start); elapsed != 0 {
			t.Errorf("search returned after %v of virtual time, want 0", elapsed)
		}
	})
	return answer, refusal
}

func TestRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(3, 1, 4, 4)
	for _, r := range cluster.relays {
		r.refuse = query.ReasonOverload
	}
	_, refusal := searchImmediately(t, cluster, workloadSearch)
	is.Equal(refusal.Reason, query.ReasonOverload)
	is.Equal(refusal.RetryAfter, time.Second) // from the relay
	is.Equal(len(cluster.executions), 0)
}

// TestUnreachableMinimumRefusedAtOnce has one relay refuse its shards while the
// other is frozen: the minimum coverage is out of reach, so the entry must not
// wait for the frozen relay.
func TestUnreachableMinimumRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(2, 1, 1, 1, 1, 1, 1, 1)
	cluster.relays["host-0"].refuse = query.ReasonOverload
	cluster.relays["host-1"].frozen = true
	_, refusal := searchImmediately(t, cluster, workloadSearch)
	is.Equal(refusal.Reason, query.ReasonOverload)
	is.True(!refusal.Outcome.NotRun()) // the frozen relay may have run its shards
}

func TestStaleHostRefuses(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(1, 1, 1)
	cluster.stale = true
	_, refusal := searchImmediately(t, cluster, workloadSearch)
	is.Equal(refusal.Reason, query.ReasonStale)
	is.True(refusal.Outcome.NotRun())
	is.Equal(cluster.recorded[0].Reason, query.ReasonStale)
}

func TestExpiredBudgetIsRefused(t *testing.T) {
	is := is.New(t)
	q := workloadSearch
	q.Budget = -1
	_, refusal := searchImmediately(t, newCluster(1, 1, 1), q)
	is.Equal(refusal.Reason, query.ReasonBudget)
	is.Equal(refusal.Outcome, outcome.NotSent)
}

// TestRelayLostInMidAnswer breaks the stream of a relay after two shards: the
// entry must request the others from the second relay, without duplicate rows.
func TestRelayLostInMidAnswer(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(3, 2, 6)
	cluster.services[0].Name = serviceWithRemoteRelays(cluster)
	cluster.snapshots[0].Services = map[string]catalog.ShardMap{cluster.services[0].Name: {Shards: make([][]string, 6)}}
	remote := cluster.entry().router.candidates(cluster.services[0].Name)
	cluster.relays[remote[0].ID].breakAfter = 2
	synctest.Test(t, func(t *testing.T) {
		e := cluster.entry()
		e.router.callStarted(remote[1].ID) // makes the relay that breaks the less loaded one
		for range 40 {                     // both random choices may be the other relay
			answer, _ := e.Search(context.Background(), workloadSearch)
			is.True(answer.Coverage.Complete())
			is.Equal(len(answer.Rows), 6*rowsPerShard)
		}
		is.True(counterValue(e.metrics.relaysLost) > 0)
	})
}

// serviceWithRemoteRelays renames the first service until its relays do not
// include this host, and returns the name.
func serviceWithRemoteRelays(cluster *fakeCluster) string {
	for c := 'a'; ; c++ {
		cluster.services[0].Name = "service-" + string(c)
		own := false
		for _, h := range cluster.entry().router.candidates(cluster.services[0].Name) {
			own = own || h.ID == cluster.hosts[0].ID
		}
		if !own {
			return cluster.services[0].Name
		}
	}
}

// TestFrozenRelayIsHedged freezes a remote relay: after the HedgeRelayAfter
// fraction of the budget the entry must hedge to the other one and answer.
func TestFrozenRelayIsHedged(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(3, 2, 6)
	cluster.services[0].Name = serviceWithRemoteRelays(cluster)
	cluster.snapshots[0].Services = map[string]catalog.ShardMap{cluster.services[0].Name: {Shards: make([][]string, 6)}}
	remote := cluster.entry().router.candidates(cluster.services[0].Name)
	cluster.relays[remote[0].ID].frozen = true
	synctest.Test(t, func(t *testing.T) {
		e := cluster.entry()
		e.router.callStarted(remote[1].ID) // makes the frozen relay the less loaded one
		for range 20 {
			start := time.Now()
			answer, refusal := e.Search(context.Background(), workloadSearch)
			is.True(refusal == nil)
			is.True(answer.Coverage.Complete())
			is.True(time.Since(start) <= time.Duration(0.4*float64(testBudget)))
		}
		is.True(counterValue(e.metrics.relayHedges) <= 2) // afterwards the frozen relay is avoided
	})
}

// TestSnapshotDropped has every target drop the newest snapshot: the search must
// restart on the older one, and the next searches must start there.
func TestSnapshotDropped(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(1, 1, 3)
	newer := cluster.snapshots[0]
	newer.ID = 2
	cluster.snapshots = []catalog.Snapshot{newer, cluster.snapshots[0]}
	cluster.relays["host-0"].notHeld[2] = true
	synctest.Test(t, func(t *testing.T) {
		e := cluster.entry()
		for range 3 {
			answer, _ := e.Search(context.Background(), workloadSearch)
			is.Equal(answer.Snapshot, uint64(1))
			is.True(answer.Coverage.Complete())
		}
		is.Equal(counterValue(e.metrics.snapshotRestarts), 1.0)
	})
}
