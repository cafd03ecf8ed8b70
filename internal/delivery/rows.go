package delivery

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The latency histogram: microseconds, two significant digits.
const (
	latencyUnit   = time.Microsecond
	latencyLowest = 10          // microseconds
	latencyMost   = 120_000_000 // microseconds; longer ones count as this
	latencyDigits = 2
)

// Sums are the deliveries of one key.
type Sums struct {
	Count    uint64
	Attempts uint64
	Needed   uint64
	Latency  *hdrhistogram.PackedHistogram // in microseconds
}

func newSums() *Sums {
	return &Sums{Latency: hdrhistogram.NewPacked(latencyLowest, latencyMost, latencyDigits)}
}

func (s *Sums) record(d Delivery) {
	s.Count++
	s.Attempts += uint64(max(d.Attempts, 0))
	s.Needed += uint64(max(d.Needed, 0))
	s.recordLatency(int64(d.Latency/latencyUnit), 1)
}

func (s *Sums) recordLatency(micros, count int64) {
	_ = s.Latency.RecordValues(min(max(micros, 0), latencyMost), count) // in range, so it can't fail
}

func (s *Sums) merge(from *Sums) {
	s.Count += from.Count
	s.Attempts += from.Attempts
	s.Needed += from.Needed
	s.Latency.Merge(from.Latency) // the same geometry, so nothing is dropped
}

// Quantile returns the latency that the fraction q of the deliveries, 0..1,
// stayed within.
func (s *Sums) Quantile(q float64) time.Duration {
	return time.Duration(s.Latency.ValueAtPercentile(q*100)) * latencyUnit
}

// rows are sums by key, bounded in number.
type rows struct {
	sums   map[Key]*Sums
	folded uint64 // deliveries whose caller or service was folded into Other
}

func newRows() *rows { return &rows{sums: map[Key]*Sums{}} }

func (r *rows) record(d Delivery, maxKeys int) {
	s, folded := r.sumsFor(keyOf(d), maxKeys)
	s.record(d)
	if folded {
		r.folded++
	}
}

func (r *rows) merge(from *rows, maxKeys int) {
	r.folded += from.folded
	if len(r.sums)+len(from.sums) <= maxKeys { // nothing is folded, so the order does not matter
		for k, sums := range from.sums {
			s, _ := r.lookup(k, maxKeys)
			s.merge(sums)
		}
		return
	}
	for _, k := range from.bySize() {
		sums := from.sums[k]
		s, folded := r.sumsFor(k, maxKeys)
		s.merge(sums)
		if folded {
			r.folded += sums.Count
		}
	}
}

// sumsFor returns the sums for the key, or those of a folded key when there are
// too many: callers go first, then everything but outcome, reason and band,
// of which there are few.
func (r *rows) sumsFor(k Key, maxKeys int) (sums *Sums, folded bool) {
	if s, ok := r.lookup(k, maxKeys); ok {
		return s, false
	}
	k.Caller = Other
	if s, ok := r.lookup(k, maxKeys+maxKeys/4); ok {
		return s, true
	}
	k.Service, k.Snapshot = Other, 0
	s, _ := r.lookup(k, len(r.sums)+1)
	return s, true
}

func (r *rows) lookup(k Key, maxKeys int) (*Sums, bool) {
	if s, ok := r.sums[k]; ok {
		return s, true
	}
	if len(r.sums) >= maxKeys {
		return nil, false
	}
	s := newSums()
	r.sums[k] = s
	return s, true
}

// sorted returns the keys in the order of reports.
func (r *rows) sorted() []Key {
	return slices.SortedFunc(maps.Keys(r.sums), Key.compare)
}

// bySize returns the keys with the most deliveries first, so that folding
// spares them.
func (r *rows) bySize() []Key {
	keys := r.sorted()
	slices.SortStableFunc(keys, func(a, b Key) int {
		return int(min(r.sums[b].Count, 1<<31)) - int(min(r.sums[a].Count, 1<<31))
	})
	return keys
}

func (r *rows) count() uint64 {
	var n uint64
	for _, s := range r.sums {
		n += s.Count
	}
	return n
}
