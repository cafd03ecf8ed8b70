package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const shardDelay = time.Millisecond // of each shard result

// newRemoteCluster returns a cluster with one service of 6 shards and two relays,
// both on hosts other than the entry's.
func newRemoteCluster() (*fakeCluster, []member.Host) {
	cluster := newCluster(3, 2, 6)
	cluster.services[0].Name = serviceWithRemoteRelays(cluster)
	cluster.snapshots[0].Services = map[string]catalog.ShardMap{cluster.services[0].Name: {Shards: make([][]string, 6)}}
	for _, r := range cluster.relays {
		r.delay = shardDelay
	}
	return cluster, cluster.entry().router.candidates(cluster.services[0].Name)
}

// TestFrozenRelayIsHedgedAfterLateThreshold freezes a relay after the entry has
// enough latency samples. A search must wait for the late threshold only, not
// for the HedgeRelayAfter fraction of its budget, and later only one search at a
// time may probe the relay.
func TestFrozenRelayIsHedgedAfterLateThreshold(t *testing.T) {
	is := is.New(t)
	cluster, remote := newRemoteCluster()
	synctest.Test(t, func(t *testing.T) {
		e := cluster.entry()
		q := workloadSearch
		q.Budget = time.Second
		for range 3 * minLatencySamples {
			_, refusal := e.Search(context.Background(), q)
			is.True(refusal == nil)
		}
		cluster.relays[remote[0].ID].frozen = true
		start := time.Now()
		slowSearches := 0
		for range 200 {
			searchStart := time.Now()
			answer, _ := e.Search(context.Background(), q)
			is.True(answer.Coverage.Complete())
			elapsed := time.Since(searchStart)
			is.True(elapsed < 2*minLateThreshold) // HedgeRelayAfter would be 400 ms
			if elapsed > 6*shardDelay {
				slowSearches++
			}
		}
		is.True(time.Since(start) < 2*time.Second)
		is.True(slowSearches >= 1 && slowSearches <= 3) // the first to find it frozen, and the probes
	})
}

// TestSuspectRelaysAreChosenLast checks that a relay in state Suspect is chosen
// only after the other one was tried.
func TestSuspectRelaysAreChosenLast(t *testing.T) {
	is := is.New(t)
	cluster, remote := newRemoteCluster()
	for i := range cluster.hosts {
		if cluster.hosts[i].ID == remote[0].ID {
			cluster.hosts[i].State = member.Suspect
		}
	}
	r := cluster.entry().router
	for range 50 {
		h, ok := r.choose(cluster.services[0].Name, time.Now(), relayChoice{})
		is.True(ok)
		is.Equal(h.ID, remote[1].ID)
	}
	h, ok := r.choose(cluster.services[0].Name, time.Now(), relayChoice{triedHosts: []string{remote[1].ID}})
	is.True(ok) // no other relay is left
	is.Equal(h.ID, remote[0].ID)
}

// TestOneSearchProbesAvoidedRelay checks that one search probes a relay when its
// avoidance expires, and that a lost probe doubles the avoidance.
func TestOneSearchProbesAvoidedRelay(t *testing.T) {
	is := is.New(t)
	cluster, remote := newRemoteCluster()
	r := cluster.entry().router
	now := time.Now()
	r.callLost(remote[0].ID, now)
	is.True(r.avoidUnlessProbing(remote[0].ID, now.Add(minAvoidance-1)))
	now = now.Add(minAvoidance)
	is.True(!r.avoidUnlessProbing(remote[0].ID, now)) // the probe
	is.True(r.avoidUnlessProbing(remote[0].ID, now))
	r.callLost(remote[0].ID, now) // the probe was lost: avoided for twice as long
	is.True(r.avoidUnlessProbing(remote[0].ID, now.Add(2*minAvoidance-1)))
	is.True(!r.avoidUnlessProbing(remote[0].ID, now.Add(2*minAvoidance)))
	r.callAnswered(remote[0].ID)
	is.True(!r.avoidUnlessProbing(remote[0].ID, now))
}

// TestEarlyHedgesAreLimited checks that early hedges stay within their budget,
// and that there are none shortly after an overload refusal.
func TestEarlyHedgesAreLimited(t *testing.T) {
	is := is.New(t)
	latencies := newCallLatencies()
	now := time.Now()
	taken := 0
	for range 1000 {
		latencies.callStarted(now, query.Interactive)
		latencies.observe(query.Interactive, 20*time.Millisecond)
		if latencies.takeEarlyHedge(now, query.Interactive) {
			taken++
		}
	}
	is.True(taken >= 30 && taken <= int(earlyHedgesPerCall*1000))
	threshold, ok := latencies.lateThreshold(query.Interactive)
	is.True(ok)
	is.Equal(threshold, minLateThreshold)
	for range 100 {
		latencies.callStarted(now, query.Interactive)
	}
	latencies.overloadRefused(now, query.Interactive)
	now = now.Add(overloadHedgePause)
	is.True(!latencies.takeEarlyHedge(now, query.Interactive))
	is.True(latencies.takeEarlyHedge(now.Add(1), query.Interactive))
}
