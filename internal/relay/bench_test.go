package relay

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	standintarget "rhubarbwood.example/rhubarbwood/internal/standin/target"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// benchTargetsEnv makes the test binary serve targets, so that their CPU time
// is not attributed to the relay.
const benchTargetsEnv = "RELAY_BENCH_TARGETS"

const (
	benchTargets  = 12
	benchShards   = 500
	benchReplicas = 3
	benchRows     = 10
)

func benchConfig(i int) standintarget.Config {
	c := standintarget.DefaultConfig()
	c.ID = fmt.Sprintf("t%d", i)
	shards := make([]uint32, benchShards)
	for s := range shards {
		shards[s] = uint32(s)
	}
	c.Services = map[string]standintarget.Holdings{"s": {Shards: shards, Snapshots: []uint64{7}}}
	c.RowsPerShard = benchRows
	return c
}

// serveBenchTargets prints the addresses of its targets and serves until
// standard input is closed.
func serveBenchTargets() {
	for i := range benchTargets {
		c := benchConfig(i)
		c.Slots, c.ServiceTime = 64, standin.Latency{}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		fmt.Println(ln.Addr())
		go func() { _ = standintarget.NewServer(standintarget.New(c)).Serve(ln) }()
	}
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// startBenchTargets starts the process of the targets and returns their
// addresses.
func startBenchTargets(b *testing.B) []string {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), benchTargetsEnv+"=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = in.Close(); _ = cmd.Wait() })
	addresses := make([]string, benchTargets)
	for i := range addresses {
		if _, err := fmt.Fscanln(out, &addresses[i]); err != nil {
			b.Fatal(err)
		}
	}
	return addresses
}

// benchRelay returns a relay of targets that hold each shard benchReplicas
// times.
func benchRelay(addresses []string, slots int, change func(*catalog.Rules)) *fixture {
	f := &fixture{members: &members{self: "h0"}, view: &view{revision: 1}}
	f.members.set("h0")
	f.view.service = catalog.Service{Name: "s", Workload: "w", Urgency: query.Interactive, Rules: catalog.Rules{
		Protocol: protocolHTTP1, ConnectionsPerRelay: 2, HedgeQuantile: 0.95, HedgeBudget: -1, RetryBudget: -1,
	}}
	change(&f.view.service.Rules)
	for i, a := range addresses {
		f.view.service.Targets = append(f.view.service.Targets, catalog.Target{
			ID: fmt.Sprintf("t%d", i), Address: a, FailureDomain: fmt.Sprintf("fd%d", i%3), Slots: slots, Connections: 100,
		})
	}
	m := catalog.ShardMap{IndexVersion: "1", Shards: make([][]string, benchShards)}
	for i := range m.Shards {
		for j := range min(benchReplicas, len(addresses)) {
			m.Shards[i] = append(m.Shards[i], fmt.Sprintf("t%d", (i+j)%len(addresses)))
		}
	}
	f.view.snapshots = []catalog.Snapshot{{Workload: "w", ID: 7, Services: map[string]catalog.ShardMap{"s": m}}}
	f.relay = New(DefaultConfig(), f.view, f.members, nil, event.Discard(), nil)
	return f
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkShardRequest measures the CPU time of the relay per shard request
// for several batch widths. The targets run in another process.
func BenchmarkShardRequest(b *testing.B) {
	addresses := startBenchTargets(b)
	for _, protocol := range []string{protocolHTTP1, protocolH2C} {
		for _, width := range []int{1, 8, 64, 500} {
			b.Run(fmt.Sprintf("%s/width=%d", protocol, width), func(b *testing.B) {
				f := benchRelay(addresses, 8, func(r *catalog.Rules) { r.Protocol = protocol })
				defer func() { _ = f.relay.Stop(context.Background()) }()
				q := batch(width, time.Minute)
				run := func() {
					if err := f.relay.Search(b.Context(), q, mustBeDone); err != nil {
						b.Fatal(err)
					}
				}
				for range 20 {
					run()
				}
				b.ReportAllocs()
				b.ResetTimer()
				begin := cpuTime()
				for b.Loop() {
					run()
				}
				shards := float64(b.N * width)
				b.ReportMetric(float64((cpuTime()-begin).Microseconds())/shards, "cpu-us/shard")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/shards, "us/shard")
			})
		}
	}
}

func mustBeDone(r query.ShardResult) {
	if r.Outcome != outcome.Done {
		panic(fmt.Sprintf("%s: %s %s", r.Key, r.Outcome, r.Reason))
	}
}

// BenchmarkCancellation measures the cost of cancelling slower attempts after
// a hedge, with targets that charge for new connections and are sometimes
// slow.
func BenchmarkCancellation(b *testing.B) {
	for _, protocol := range []string{protocolHTTP1, protocolH2C} {
		for _, rate := range []int{100, 300} {
			b.Run(fmt.Sprintf("%s/rate=%d", protocol, rate), func(b *testing.B) {
				benchCancellation(b, protocol, rate)
			})
		}
	}
}

func benchCancellation(b *testing.B, protocol string, rate int) {
	var addresses []string
	var targets []*standintarget.Target
	for i := range 3 {
		c := benchConfig(i)
		c.ConnectionCost = unit.Duration(6 * time.Millisecond)
		c.Faults = standintarget.Faults{LatencyFactor: 10, LatencyShare: 0.05}
		c.Seed = uint64(i + 1)
		t := standintarget.New(c)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := standintarget.NewServer(t)
		go func() { _ = s.Serve(ln) }()
		defer func() { _ = s.Shutdown(context.Background()) }()
		addresses, targets = append(addresses, ln.Addr().String()), append(targets, t)
	}
	f := benchRelay(addresses, 2, func(r *catalog.Rules) {
		r.Protocol, r.HedgeBudget = protocol, 0.1
	})
	defer func() { _ = f.relay.Stop(context.Background()) }()
	hist := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	lost := 0
	var work sync.WaitGroup
	begin := time.Now()
	n := 0
	for b.Loop() {
		// Open workload: latency is measured from when the request was due.
		due := begin.Add(time.Duration(n) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		shard := uint32(n % benchShards)
		n++
		work.Go(func() {
			q := query.Batch{RequestID: fmt.Sprint("r", n), Workload: "w", Snapshot: 7, Budget: 110 * time.Millisecond,
				Urgency: query.Interactive, Parts: []query.ServiceShards{{Service: "s", Shards: []uint32{shard}}}}
			_ = f.relay.Search(b.Context(), q, func(r query.ShardResult) {
				mu.Lock()
				defer mu.Unlock()
				if r.Outcome != outcome.Done {
					lost++
				}
				_ = hist.RecordValue(time.Since(due).Microseconds())
			})
		})
	}
	work.Wait()
	opened, cancelled, received := uint64(0), uint64(0), uint64(0)
	for _, t := range targets {
		c := t.Counters()
		opened += c.ConnectionsOpened
		received += c.Received
		cancelled += c.Count(standintarget.ResultCancelled)
	}
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99.9))/1000, "p99.9-ms")
	b.ReportMetric(float64(opened)/float64(n)*1000, "opened/1000")
	b.ReportMetric(float64(cancelled)/float64(n)*1000, "cancelled/1000")
	b.ReportMetric(float64(received)/float64(n), "attempts/request")
	b.ReportMetric(float64(lost)/float64(n)*1000, "lost/1000")
}
