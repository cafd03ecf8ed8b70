package entry

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/relay"
)

const (
	benchServiceShards = 3
	benchHosts         = 24
	benchRelays        = 3
)

// BenchmarkSearch measures the CPU time of an entry for searches over different
// numbers of shards, with in-process relays. It reports the CPU time of the
// whole process, as wall time is unreliable on a busy machine.
func BenchmarkSearch(b *testing.B) {
	for _, width := range []int{51, 102, 249, 501} {
		b.Run(fmt.Sprint(width), func(b *testing.B) {
			shards := make([]int, width/benchServiceShards)
			for i := range shards {
				shards[i] = benchServiceShards
			}
			cluster := newCluster(benchHosts, benchRelays, shards...)
			e := cluster.entry()
			e.relays = newPrecomputedRelays(cluster)
			q := query.SearchRequest{RequestID: "r", Workload: testWorkload, MinCoverage: 1, Limit: 20, Budget: time.Minute}
			b.ReportAllocs()
			before := cpuTime()
			for b.Loop() {
				if _, refusal := e.Search(context.Background(), q); refusal != nil {
					b.Fatal(refusal)
				}
			}
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// precomputedRelays returns results computed before the benchmark, so that the
// measurement covers little else than the entry.
type precomputedRelays struct {
	*fakeCluster
	results map[query.ShardKey]query.ShardResult
}

func (r precomputedRelays) Searcher(member.Host) relay.Searcher { return r }

func (r precomputedRelays) Search(_ context.Context, b query.Batch, emit func(query.ShardResult)) error {
	for _, p := range b.Parts {
		for _, s := range p.Shards {
			emit(r.results[query.ShardKey{Service: p.Service, Shard: s}])
		}
	}
	return nil
}

func newPrecomputedRelays(cluster *fakeCluster) precomputedRelays {
	r := precomputedRelays{cluster, make(map[query.ShardKey]query.ShardResult)}
	for name, m := range cluster.snapshots[0].Services {
		for s := range m.Shards {
			k := query.ShardKey{Service: name, Shard: uint32(s)}
			r.results[k] = answerFor(k, cluster.snapshots[0].ID)
		}
	}
	return r
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
