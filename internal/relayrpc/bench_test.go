package relayrpc

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const benchRows = 10

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRelayedResult measures the CPU time of both hosts together per
// result sent from one to the other, for several batch widths.
func BenchmarkRelayedResult(b *testing.B) {
	rows := make([]query.Row, benchRows)
	for i := range rows {
		rows[i] = query.Row{Key: fmt.Sprintf("s/1/%d", i), Value: "Tant sari, red border (snapshot 7)", Score: 0.5}
	}
	answer := func(_ context.Context, q query.Batch, emit func(query.ShardResult)) error {
		for _, shard := range q.Parts[0].Shards {
			emit(query.ShardResult{Key: query.ShardKey{Service: "s", Shard: shard}, Snapshot: q.Snapshot,
				Outcome: outcome.Done, Rows: rows, TotalRows: len(rows), Attempts: 1})
		}
		return nil
	}
	mux, pool := drpcmux.New(), peer.NewPool()
	if err := peerpb.DRPCRegisterRelay(mux, NewServer(&stub{search: answer}, nil)); err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { defer close(served); _ = drpcserver.New(mux).Serve(ctx, ln) }()
	defer func() { _ = pool.Stop(ctx); cancel(); <-served }()
	client := NewClient(pool, ln.Addr().String(), "h0")
	for _, width := range []int{1, 8, 64, 500} {
		b.Run(fmt.Sprintf("width=%d", width), func(b *testing.B) {
			q := batch()
			q.Parts[0].Shards = make([]uint32, width)
			for i := range width {
				q.Parts[0].Shards[i] = uint32(i)
			}
			b.ReportAllocs()
			begin := cpuTime()
			for b.Loop() {
				if err := client.Search(ctx, q, func(query.ShardResult) {}); err != nil {
					b.Fatal(err)
				}
			}
			results := float64(b.N * width)
			b.ReportMetric(float64((cpuTime()-begin).Microseconds())/results, "cpu-us/result")
		})
	}
}
