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

// BenchmarkSearch measures an entry's processor time for searches of several
// widths, over relays in process. The processor time of the whole process is
// reported, as wall time tells little on a busy machine.
func BenchmarkSearch(b *testing.B) {
	for _, width := range []int{51, 102, 249, 501} {
		b.Run(fmt.Sprint(width), func(b *testing.B) {
			shards := make([]int, width/benchServiceShards)
			for i := range shards {
				shards[i] = benchServiceShards
			}
			w := newWorld(benchHosts, benchRelays, shards...)
			e := w.entry()
			e.relays = newReadyRelays(w)
			q := query.Search{RequestID: "r", Workload: testWorkload, MinCoverage: 1, Limit: 20, Budget: time.Minute}
			b.ReportAllocs()
			before := processorTime()
			for b.Loop() {
				if _, refusal := e.Search(context.Background(), q); refusal != nil {
					b.Fatal(refusal)
				}
			}
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// readyRelays answers with results made beforehand, so that the measurement
// holds the entry's own work and little else.
type readyRelays struct {
	*world
	results map[query.ShardKey]query.ShardResult
}

func (r readyRelays) Searcher(member.Host) relay.Searcher { return r }

func (r readyRelays) Search(_ context.Context, b query.Batch, emit func(query.ShardResult)) error {
	for _, p := range b.Parts {
		for _, s := range p.Shards {
			emit(r.results[query.ShardKey{Service: p.Service, Shard: s}])
		}
	}
	return nil
}

func newReadyRelays(w *world) readyRelays {
	r := readyRelays{w, make(map[query.ShardKey]query.ShardResult)}
	for name, m := range w.snapshots[0].Services {
		for s := range m.Shards {
			k := query.ShardKey{Service: name, Shard: uint32(s)}
			r.results[k] = answerOf(k, w.snapshots[0].ID)
		}
	}
	return r
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
