package catalog

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

var measure = flag.Bool("measure", false, "print the measurements of docs/design/configuration.md")

// stateWith returns a state with the given number of services, in workloads of
// at most 167 services. Each workload has three snapshots with three shards per
// service.
func stateWith(services int) *state {
	const workload, snapshots, shards = 167, 3, 3
	b := batch{full: true}
	add := func(kind, name string, v any) {
		b.complete++
		b.objects = append(b.objects, objstore.Object{Kind: kind, Name: name, Version: 1, Revision: b.complete, Value: encode(v)})
	}
	var group []Service
	for i := range services {
		s := testService(fmt.Sprintf("guest-portal-%04d", i))
		s.Workload = fmt.Sprintf("workload-%d", i/workload)
		s.Change = Change{ID: "01KBFQ3Z5N8W0T9Y6J4X2V7M1C", Operator: "operator", Reason: "ticket 1234"}
		add(objstore.KindService, s.Name, s)
		group = append(group, s)
		if len(group) == workload || i == services-1 {
			for id := range snapshots {
				snap := testSnapshot(uint64(id+1), shards, group...)
				snap.Workload = s.Workload
				add(objstore.KindSnapshot, snap.ObjectName(), snap)
			}
			group = nil
		}
	}
	s, _, err := emptyState().apply(b)
	if err != nil {
		panic(err)
	}
	return s
}

var sizes = []int{100, 350, 700, 1400}

func BenchmarkApplyOneChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := stateWith(n)
			value := encode(s.view.services[0])
			b.ReportAllocs()
			for b.Loop() {
				o := objstore.Object{Kind: objstore.KindService, Name: s.view.services[0].Name, Revision: s.complete + 1, Value: value}
				s, _, _ = s.apply(batch{after: s.complete, complete: s.complete + 1, objects: []objstore.Object{o}})
			}
			b.ReportMetric(float64(len(value)), "value-B")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkMemory(b *testing.B) {
	measureHeap := func(b *testing.B, build func() *state) {
		before := heapBytes()
		s := build()
		grown, values := heapBytes()-before, 0
		for _, e := range s.entries {
			values += len(e.object.Value)
		}
		for b.Loop() {
			runtime.KeepAlive(s)
		}
		b.ReportMetric(float64(grown), "heap-B")
		b.ReportMetric(float64(values), "value-B")
	}
	for _, n := range sizes {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) { measureHeap(b, func() *state { return stateWith(n) }) })
	}
	for _, shards := range []int{500, 5000, 20000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			measureHeap(b, func() *state {
				snap := testSnapshot(1, shards, testService("guest-portal-0001"))
				o := objstore.Object{Kind: objstore.KindSnapshot, Name: snap.ObjectName(), Revision: 1, Value: encode(snap)}
				s, _, _ := emptyState().apply(batch{complete: 1, full: true, objects: []objstore.Object{o}})
				return s
			})
		})
	}
}

// BenchmarkPull pulls over drpc on loopback. wire-B counts both directions,
// without TCP and IP headers.
func BenchmarkPull(b *testing.B) {
	reg := prometheus.NewRegistry()
	metrics := peer.NewMetrics(reg)
	server, pool := peer.NewServer("127.0.0.1:0", peer.WithMetrics(metrics)), peer.NewPool()
	f := newFleet(b)
	n := &node{fleet: f, client: f.platform.Client()}
	from := New(DefaultConfig(), n.client, n, n, n, event.Discard(), nil)
	before := stateWith(1400)
	changed := before.entries[key{objstore.KindService, "guest-portal-0700"}].object
	changed.Revision = before.complete + 1
	s, _, err := before.apply(batch{after: before.complete, complete: changed.Revision, objects: []objstore.Object{changed}})
	if err != nil {
		b.Fatal(err)
	}
	if err := peerpb.DRPCRegisterConfiguration(server, from); err != nil {
		b.Fatal(err)
	}
	if err := server.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Stop(context.Background()) }()
	cases := map[string]*peerpb.PullRequest{
		"nothing": {AfterRevision: s.complete},
		"service": {AfterRevision: before.complete},
		"page":    {},
		"names":   {AfterRevision: s.complete},
		"dialed":  {AfterRevision: s.complete},
	}
	for name, in := range cases {
		b.Run(name, func(b *testing.B) {
			copied := *s
			if name == "names" {
				copied.floor = s.complete + 1
			}
			from.state.Store(&copied)
			before, pulls := wireBytes(b, reg), 0
			for b.Loop() {
				if name == "dialed" {
					_ = pool.Stop(b.Context())
					pool = peer.NewPool()
				}
				if _, err := NewPeerPuller(pool).Pull(b.Context(), server.Addr(), in); err != nil {
					b.Fatal(err)
				}
				pulls++
			}
			b.ReportMetric((wireBytes(b, reg)-before)/float64(pulls), "wire-B")
		})
	}
}

func wireBytes(b *testing.B, reg *prometheus.Registry) float64 {
	families, err := reg.Gather()
	if err != nil {
		b.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() != "rhubarbwood_peer_bytes_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue()
		}
	}
	return sum
}

// TestMeasureSpread prints for fleets of several sizes: the calls per host when
// nothing changes, the time until a change is in force on all hosts (calls take
// no time), and the additional pulls that a change causes.
func TestMeasureSpread(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	const changes = 10
	for _, hosts := range []int{12, 24, 60, 120, 240, 720} {
		inFleet(t, hosts, 5, func(_ *is.I, f *fleet) {
			reads := f.platform.Calls("watch")
			pulls := f.pulls.Load()
			f.advance(time.Minute)
			quietReads, quietPulls := f.platform.Calls("watch")-reads, f.pulls.Load()-pulls
			pulls = f.pulls.Load()
			var slowest time.Duration
			for range changes {
				slowest = max(slowest, f.propagationTime())
			}
			extra := float64(f.pulls.Load()-pulls)/changes - float64(quietPulls)/60*maxPropagationTime.Seconds()
			perMinute := float64(hosts) * time.Minute.Seconds()
			t.Logf("hosts %d: platform reads %.1f/s, pulls %.2f/s a host; a change is in force everywhere after at most %s and costs %.2f pulls a host",
				hosts, float64(quietReads)/60, float64(quietPulls)/perMinute, slowest, extra/float64(hosts))
		})
	}
}

// propagationTime makes a change and returns the time until it is in force on
// all hosts.
func (f *fleet) propagationTime() time.Duration {
	revision, start, took := f.write(testService("a")), time.Now(), time.Duration(0)
	for time.Since(start) < maxPropagationTime {
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		if took == 0 && f.countInForce(revision) == len(f.nodes) {
			took = time.Since(start)
		}
	}
	return took
}
