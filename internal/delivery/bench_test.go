package delivery

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// traffic is deliveries of callers that ask services, with lognormal latency;
// one in a hundred is in part.
func traffic(n, callers, services int) []Delivery {
	rng := rand.New(rand.NewPCG(1, 1))
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
			w, err := decodeWindow(value)
			if err != nil {
				b.Fatal(err)
			}
			total.merge(w.Rows, maxSumKeys)
		}
	})
}
