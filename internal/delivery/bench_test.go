package delivery

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// traffic returns deliveries of random callers and services with lognormal
// latency. One in a hundred is partial.
func traffic(n, callers, services int) []Delivery { return trafficOf(1, n, callers, services) }

func trafficOf(seed uint64, n, callers, services int) []Delivery {
	rng := rand.New(rand.NewPCG(seed, 1))
	all := make([]Delivery, n)
	for i := range all {
		d := Delivery{
			RequestID: fmt.Sprintf("01HZX%021d", i), Outcome: outcome.Done, Coverage: 1, Snapshot: 4711, Attempts: 505, Needed: 500,
			Caller:  fmt.Sprintf("caller-%03d", rng.IntN(callers)),
			Service: fmt.Sprintf("guest-portal-%02d", rng.IntN(services)),
			Latency: time.Duration(30e6 * math.Exp(0.6*rng.NormFloat64())),
		}
		if rng.IntN(100) == 0 {
			d.Coverage = 0.99
		}
		all[i] = d
	}
	return all
}

// sizes are numbers of callers, services and deliveries in one window. 6,336 is
// the number of deliveries of one host of 720 in 48 s.
var sizes = []struct{ callers, services, deliveries int }{
	{1, 1, 6336}, {10, 5, 6336}, {50, 10, 6336}, {200, 10, 6336}, {500, 20, 6336}, {50, 10, 63360},
}

func forSizes(b *testing.B, run func(b *testing.B, all []Delivery)) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("callers=%d/services=%d/deliveries=%d", s.callers, s.services, s.deliveries), func(b *testing.B) {
			run(b, traffic(s.deliveries, s.callers, s.services))
		})
	}
}

func windowOf(all []Delivery) *Window {
	w := newWindow(Incarnation{Host: "host-123", Number: 1764691973})
	cfg := DefaultConfig()
	for _, d := range all {
		w.Rows.record(d, cfg.MaxKeys)
		w.Records.record(d, cfg)
	}
	return w
}

// BenchmarkRecord measures the time of one Record, and the memory of a window.
func BenchmarkRecord(b *testing.B) {
	forSizes(b, func(b *testing.B, all []Delivery) {
		cfg := DefaultConfig()
		before := heap()
		kept := windowOf(all)
		memory := heap() - before
		keys := float64(len(kept.Rows.byKey))
		i := 0
		for b.Loop() {
			d := all[i%len(all)]
			kept.Rows.record(d, cfg.MaxKeys)
			kept.Records.record(d, cfg)
			i++
		}
		b.ReportMetric(keys, "keys")
		b.ReportMetric(memory, "B/window")
		b.ReportMetric(memory/keys, "B/key")
	})
}

// heap returns the number of heap bytes in use.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkEncode measures the time to encode a window and the size of its
// object.
func BenchmarkEncode(b *testing.B) {
	forSizes(b, func(b *testing.B, all []Delivery) {
		w := windowOf(all)
		var value []byte
		for b.Loop() {
			value, _ = encodeWindow(w)
		}
		b.ReportMetric(float64(len(value)), "B/object")
	})
}

// BenchmarkDecode measures the time that a report or an aggregation takes per
// window.
func BenchmarkDecode(b *testing.B) {
	forSizes(b, func(b *testing.B, all []Delivery) {
		value, _ := encodeWindow(windowOf(all))
		total := newRows()
		for b.Loop() {
			_, rows, err := decodeWindow(value)
			if err != nil {
				b.Fatal(err)
			}
			total.addMessage(rows, maxAggregateKeys)
		}
	})
}

// benchPlatform is a platform with the windows of a fleet, which are written
// and aggregated minute by minute.
type benchPlatform struct {
	cfg       Config
	platform  *objstoretest.Platform
	compactor *Compactor
	now       time.Time
	hosts     int
	minutes   int
}

func newBenchPlatform(hosts int) *benchPlatform {
	s := &benchPlatform{cfg: DefaultConfig(), platform: objstoretest.New(), hosts: hosts, now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)}
	s.cfg.WritesPerSecond = 1e9 // removals are not rate limited in this benchmark
	s.platform.SetClock(func() time.Time { return s.now })
	none := func() []Objective { return nil }
	s.compactor = NewCompactor(s.cfg, s.platform.Client(), view{f: &fleet{}}, none, event.Discard(), nil)
	return s
}

// variants is the number of hosts with different deliveries; further hosts
// repeat them.
const variants = 9

// windowsOf returns the windows of the variants, each with the deliveries of 60
// s to callers of ten services.
func windowsOf(callers int) []*Window {
	var all []*Window
	for i := range variants {
		all = append(all, windowOf(trafficOf(uint64(i), 132*60, callers, 10)))
	}
	return all
}

// writeMinute writes a window of each host and returns the number of bytes
// written.
func (s *benchPlatform) writeMinute(b *testing.B, windows []*Window) (bytes int) {
	for h := range s.hosts {
		w := windows[h%variants]
		w.Incarnation = Incarnation{Host: fmt.Sprintf("host-%03d", h), Number: 1764691973}
		w.Number, w.Start, w.End = uint64(s.minutes), s.now, s.now.Add(time.Minute)
		value, err := encodeWindow(w)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.platform.Client().Put(b.Context(), objstore.KindWindow, w.name(), 0, value); err != nil {
			b.Fatal(err)
		}
		bytes += len(value)
	}
	s.minutes++
	s.now = s.now.Add(time.Minute)
	return bytes
}

// round aggregates what is due.
func (s *benchPlatform) round(b *testing.B) {
	if err := s.compactor.round(b.Context(), s.now.Add(slotGrace), 0); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRound measures the time of one round on one shard with callers of
// ten services, and the sizes of its windows and of the aggregate.
func BenchmarkRound(b *testing.B) {
	for _, hosts := range []int{3, 9, 45, 90} {
		for _, callers := range []int{50, 200} {
			b.Run(fmt.Sprintf("hosts=%d/callers=%d", hosts, callers), func(b *testing.B) {
				s, all, in := newBenchPlatform(hosts), windowsOf(callers), 0
				b.ResetTimer()
				for range b.N {
					b.StopTimer()
					in = s.writeMinute(b, all)
					b.StartTimer()
					s.round(b)
				}
				out := 0
				for _, o := range s.platform.Objects(levels[0].kind) {
					out = max(out, len(o.Value))
				}
				b.ReportMetric(float64(in), "windows-B")
				b.ReportMetric(float64(out), "sum-B")
			})
		}
	}
}

// BenchmarkReport measures the time of a report on one hour, and the bytes that
// the platform stores for it.
func BenchmarkReport(b *testing.B) {
	for _, hosts := range []int{3, 9, 45} {
		s, all := newBenchPlatform(hosts), windowsOf(50)
		for range 90 {
			s.writeMinute(b, all)
			s.round(b)
		}
		s.writeMinute(b, all)
		storedBytes := 0
		for _, kind := range []string{objstore.KindWindow, kindIndex, levels[0].kind, levels[1].kind} {
			for _, o := range s.platform.Objects(kind) {
				storedBytes += len(o.Value)
			}
		}
		r := NewReporter(s.cfg, s.platform.Client(), view{f: &fleet{}}, event.Discard())
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				if _, err := r.Report(b.Context(), Query{GroupBy: []Field{FieldCaller}}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(storedBytes), "held-B")
		})
	}
}

// BenchmarkBurn measures the time of the burn over three days of one shard with
// 45 hosts, 50 callers and ten services.
func BenchmarkBurn(b *testing.B) {
	s, windows := newBenchPlatform(45), windowsOf(50)
	end := s.now.Add(3 * 24 * time.Hour)
	hour := end.Add(-levels[1].mergeDelay).Truncate(time.Hour)
	s.writeAggregates(b, levels[2], s.now, hour, windows)
	s.writeAggregates(b, levels[1], hour, end, windows)
	storedBytes := 0
	for _, kind := range []string{kindIndex, levels[1].kind, levels[2].kind} {
		for _, o := range s.platform.Objects(kind) {
			storedBytes += len(o.Value)
		}
	}
	s.now = end
	r := NewReporter(s.cfg, s.platform.Client(), view{f: &fleet{}}, event.Discard())
	for b.Loop() {
		if _, err := r.Burn(b.Context(), Objectives(services)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(storedBytes), "held-B")
}

// writeAggregates writes one aggregate per slot.
func (s *benchPlatform) writeAggregates(b *testing.B, l level, from, to time.Time, windows []*Window) {
	for slot := from; slot.Before(to); slot = slot.Add(l.slot) {
		agg := newAggregate(l, 0, slot, nil)
		for h := range s.hosts {
			w := *windows[h%variants]
			w.Incarnation = Incarnation{Host: fmt.Sprintf("host-%03d", h), Number: 1764691973}
			w.Number, w.Start, w.End = uint64(slot.Unix()/60), slot, slot.Add(l.slot)
			agg.addWindow(&w, w.End, w.Rows.message(w.Rows.sorted()))
		}
		if err := s.compactor.writeAggregate(b.Context(), agg); err != nil {
			b.Fatal(err)
		}
	}
}
