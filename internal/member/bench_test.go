package member

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/peer"
)

// socketHost is a host that uses real drpc connections on loopback.
type socketHost struct {
	server  *peer.Server
	pool    *peer.Pool
	members *Members
}

func startSocketHost(tb testing.TB, i int, seed string, m *peer.Metrics, reg prometheus.Registerer) *socketHost {
	tb.Helper()
	h := &socketHost{server: peer.NewServer("", peer.WithMetrics(m)), pool: peer.NewPool(peer.WithMetrics(m))}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	h.server.UseListener(ln)
	cfg := DefaultConfig()
	if seed != "" {
		cfg.Seeds = []string{seed}
	}
	self := Host{ID: fmt.Sprintf("kolkata-entry-%03d", i), FailureDomain: "park-circus", PeerAddress: h.server.Addr(), APIAddress: h.server.Addr()}
	h.members = New(cfg, self, downStore{}, DRPCProber{h.pool}, event.Discard(), reg)
	err = errors.Join(h.members.Register(h.server), h.server.Start(context.Background()), h.members.Start(context.Background()))
	if err != nil {
		tb.Fatal(err)
	}
	return h
}

func (h *socketHost) stop() {
	h.members.cancel()
	h.members.goroutines.Wait()
	done, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.server.Stop(done)
	_ = h.pool.Stop(done)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// counterTotal sums a counter over all its labels.
func counterTotal(reg *prometheus.Registry, name string) float64 {
	families, _ := reg.Gather()
	sum := 0.0
	for _, f := range families {
		if f.GetName() == name {
			for _, m := range f.Metric {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// BenchmarkFleet measures what the membership costs a host, for
// docs/design/membership.md. Run it alone:
//
//	go test ./internal/member -run '^$' -bench Fleet -benchtime 1x
func BenchmarkFleet(b *testing.B) {
	const warmUp, measured = 12 * time.Second, 20 * time.Second
	for _, n := range []int{3, 6, 12, 24, 48, 96, 240, 400} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			reg := prometheus.NewRegistry()
			m := peer.NewMetrics(reg)
			seed := ""
			for i := range n {
				h := startSocketHost(b, i, seed, m, nil)
				defer h.stop()
				seed = h.server.Addr()
			}
			for b.Loop() {
				time.Sleep(warmUp)
				cpu, calls, bytes := cpuTime(), counterTotal(reg, "rhubarbwood_peer_calls_total"), counterTotal(reg, "rhubarbwood_peer_bytes_total")
				dials := counterTotal(reg, "rhubarbwood_peer_dials_total")
				time.Sleep(measured)
				per := float64(n) * measured.Seconds()
				b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/per, "cpu-us/host/s")
				b.ReportMetric((counterTotal(reg, "rhubarbwood_peer_calls_total")-calls)/per, "calls/host/s")
				b.ReportMetric((counterTotal(reg, "rhubarbwood_peer_bytes_total")-bytes)/per, "bytes/host/s")
				b.ReportMetric((counterTotal(reg, "rhubarbwood_peer_dials_total")-dials)/per, "dials/host/s")
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				b.ReportMetric(float64(mem.HeapInuse+mem.StackInuse)/1024/float64(n), "KB/host")
			}
		})
	}
}

// BenchmarkTable measures the operations whose cost grows with the number of
// hosts in the table.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{9, 48, 720} {
		table := tableOf(n)
		b.Run(fmt.Sprintf("message/hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				table.piggybackUpdates(8, "")
			}
		})
		b.Run(fmt.Sprintf("view/hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				table.hosts(Host{ID: "self"})
				table.digest(update{})
			}
		})
		b.Run(fmt.Sprintf("expire/hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				table.expire(time.Time{}, time.Second, time.Hour, 3)
			}
		})
	}
}
