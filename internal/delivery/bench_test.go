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

// traffic is deliveries of callers that ask services, with lognormal latency;
// one in a hundred is in part.
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

// sizes of callers, services and deliveries in one window. 6,336 is what a
// host of 720 serves in 48 s.
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

// BenchmarkRecord tells the time of one Record, and the memory of a window.
func BenchmarkRecord(b *testing.B) {
	forSizes(b, func(b *testing.B, all []Delivery) {
		cfg := DefaultConfig()
		before := heap()
		kept := windowOf(all)
		memory := heap() - before
		keys := float64(len(kept.Rows.sums))
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

// heap returns the bytes that are in use.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkEncode tells the time and the bytes of a window's object.
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

// BenchmarkDecode tells the time that a report or a sum takes for each window.
func BenchmarkDecode(b *testing.B) {
	forSizes(b, func(b *testing.B, all []Delivery) {
		value, _ := encodeWindow(windowOf(all))
		total := newRows()
		for b.Loop() {
			_, rows, err := decodeWindow(value)
			if err != nil {
				b.Fatal(err)
			}
			total.addMessage(rows, maxSumKeys)
		}
	})
}

// site is a platform that holds the windows of a fleet, written minute by
// minute and summed up.
type site struct {
	cfg       Config
	platform  *objstoretest.Platform
	compactor *Compactor
	now       time.Time
	hosts     int
	minutes   int
}

func newSite(hosts int) *site {
	s := &site{cfg: DefaultConfig(), platform: objstoretest.New(), hosts: hosts, now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)}
	s.cfg.WritesPerSecond = 1e9 // removals are not paced here
	s.platform.SetClock(func() time.Time { return s.now })
	none := func() []Objective { return nil }
	s.compactor = NewCompactor(s.cfg, s.platform.Client(), view{f: &fleet{}}, none, event.Discard(), nil)
	return s
}

// variants is how many hosts differ in what they deliver.
const variants = 9

// windowsOf returns what some hosts deliver in 60 s to callers of ten services.
func windowsOf(callers int) []*Window {
	var all []*Window
	for i := range variants {
		all = append(all, windowOf(trafficOf(uint64(i), 132*60, callers, 10)))
	}
	return all
}

// minute writes a window of each host and returns the bytes written.
func (s *site) minute(b *testing.B, windows []*Window) (bytes int) {
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

// round sums up what is due.
func (s *site) round(b *testing.B) {
	if err := s.compactor.round(b.Context(), s.now.Add(slotGrace), 0); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRound tells the time of one round on one shard, with callers that
// ask ten services, and the bytes of its windows and of the sum.
func BenchmarkRound(b *testing.B) {
	for _, hosts := range []int{3, 9, 45, 90} {
		for _, callers := range []int{50, 200} {
			b.Run(fmt.Sprintf("hosts=%d/callers=%d", hosts, callers), func(b *testing.B) {
				s, all, in := newSite(hosts), windowsOf(callers), 0
				b.ResetTimer()
				for range b.N {
					b.StopTimer()
					in = s.minute(b, all)
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

// BenchmarkReport tells the time of a report on an hour and of the burn, and
// the bytes that the platform holds for it.
func BenchmarkReport(b *testing.B) {
	for _, hosts := range []int{3, 9, 45} {
		s, all := newSite(hosts), windowsOf(50)
		for range 90 {
			s.minute(b, all)
			s.round(b)
		}
		s.minute(b, all)
		held := 0
		for _, kind := range []string{objstore.KindWindow, kindIndex, levels[0].kind, levels[1].kind} {
			for _, o := range s.platform.Objects(kind) {
				held += len(o.Value)
			}
		}
		r := NewReporter(s.cfg, s.platform.Client(), view{f: &fleet{}}, event.Discard())
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				if _, err := r.Report(b.Context(), Query{By: []Field{FieldCaller}}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(held), "held-B")
		})
	}
}

// BenchmarkBurn tells the time of the burn over three days of one shard of 45
// hosts, 50 callers and ten services.
func BenchmarkBurn(b *testing.B) {
	s, windows := newSite(45), windowsOf(50)
	end := s.now.Add(3 * 24 * time.Hour)
	hour := end.Add(-levels[1].keep).Truncate(time.Hour)
	s.sums(b, levels[2], s.now, hour, windows)
	s.sums(b, levels[1], hour, end, windows)
	held := 0
	for _, kind := range []string{kindIndex, levels[1].kind, levels[2].kind} {
		for _, o := range s.platform.Objects(kind) {
			held += len(o.Value)
		}
	}
	s.now = end
	r := NewReporter(s.cfg, s.platform.Client(), view{f: &fleet{}}, event.Discard())
	for b.Loop() {
		if _, err := r.Burn(b.Context(), Objectives(services)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(held), "held-B")
}

// sums writes a sum for each slot.
func (s *site) sums(b *testing.B, l level, from, to time.Time, windows []*Window) {
	for slot := from; slot.Before(to); slot = slot.Add(l.slot) {
		sum := newSum(l, 0, slot, nil)
		for h := range s.hosts {
			w := *windows[h%variants]
			w.Incarnation = Incarnation{Host: fmt.Sprintf("host-%03d", h), Number: 1764691973}
			w.Number, w.Start, w.End = uint64(slot.Unix()/60), slot, slot.Add(l.slot)
			sum.addWindow(&w, w.End, w.Rows.message(w.Rows.sorted()))
		}
		if err := s.compactor.write(b.Context(), sum); err != nil {
			b.Fatal(err)
		}
	}
}
