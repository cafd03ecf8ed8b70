package delivery

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Geometry of the latency histogram: microseconds, two significant digits.
const (
	latencyUnit      = time.Microsecond
	minLatencyMicros = 10
	maxLatencyMicros = 120_000_000 // longer latencies are recorded with this value
	latencyDigits    = 2
)

// Totals are the counts and the latency histogram of the deliveries of one key.
type Totals struct {
	Count    uint64
	Attempts uint64
	Needed   uint64
	Latency  *hdrhistogram.PackedHistogram // in microseconds
}

func newTotals() *Totals {
	return &Totals{Latency: hdrhistogram.NewPacked(minLatencyMicros, maxLatencyMicros, latencyDigits)}
}

func (s *Totals) record(d Delivery) {
	s.Count++
	s.Attempts += uint64(max(d.Attempts, 0))
	s.Needed += uint64(max(d.Needed, 0))
	s.recordLatency(int64(d.Latency/latencyUnit), 1)
}

func (s *Totals) recordLatency(micros, count int64) {
	_ = s.Latency.RecordValues(min(max(micros, 0), maxLatencyMicros), count) // cannot fail, as the value is in range
}

func (s *Totals) merge(from *Totals) {
	s.Count += from.Count
	s.Attempts += from.Attempts
	s.Needed += from.Needed
	s.Latency.Merge(from.Latency) // both histograms have the same geometry, so nothing is dropped
}

// Quantile returns the latency that the fraction q, 0..1, of the deliveries did
// not exceed.
func (s *Totals) Quantile(q float64) time.Duration {
	return time.Duration(s.Latency.ValueAtPercentile(q*100)) * latencyUnit
}

// rows holds totals by key, limited in number.
type rows struct {
	byKey  map[Key]*Totals
	folded uint64 // deliveries whose caller or service was folded into Other
}

func newRows() *rows { return &rows{byKey: map[Key]*Totals{}} }

func (r *rows) record(d Delivery, maxKeys int) {
	s, folded := r.totalsFor(keyOf(d), maxKeys)
	s.record(d)
	if folded {
		r.folded++
	}
}

func (r *rows) merge(from *rows, maxKeys int) {
	r.folded += from.folded
	if len(r.byKey)+len(from.byKey) <= maxKeys { // nothing is folded, so the order does not matter
		for k, totals := range from.byKey {
			s, _ := r.getOrCreate(k, maxKeys)
			s.merge(totals)
		}
		return
	}
	for _, k := range from.keysByCount() {
		totals := from.byKey[k]
		s, folded := r.totalsFor(k, maxKeys)
		s.merge(totals)
		if folded {
			r.folded += totals.Count
		}
	}
}

// totalsFor returns the totals of the key, or of a folded key if there are too
// many keys. First the caller is folded, then everything except outcome, reason
// and band, which have few values.
func (r *rows) totalsFor(k Key, maxKeys int) (totals *Totals, folded bool) {
	if s, ok := r.getOrCreate(k, maxKeys); ok {
		return s, false
	}
	k.Caller = Other
	if s, ok := r.getOrCreate(k, maxKeys+maxKeys/4); ok {
		return s, true
	}
	k.Service, k.Snapshot = Other, 0
	s, _ := r.getOrCreate(k, len(r.byKey)+1)
	return s, true
}

// getOrCreate returns the totals of the key. It creates them unless there are
// maxKeys keys already.
func (r *rows) getOrCreate(k Key, maxKeys int) (*Totals, bool) {
	if s, ok := r.byKey[k]; ok {
		return s, true
	}
	if len(r.byKey) >= maxKeys {
		return nil, false
	}
	s := newTotals()
	r.byKey[k] = s
	return s, true
}

// sorted returns the keys in the order of reports.
func (r *rows) sorted() []Key {
	return slices.SortedFunc(maps.Keys(r.byKey), Key.compare)
}

// keysByCount returns the keys with the most deliveries first, so that the
// smallest ones are folded.
func (r *rows) keysByCount() []Key {
	keys := r.sorted()
	slices.SortStableFunc(keys, func(a, b Key) int {
		return int(min(r.byKey[b].Count, 1<<31)) - int(min(r.byKey[a].Count, 1<<31))
	})
	return keys
}

func (r *rows) count() uint64 {
	var n uint64
	for _, s := range r.byKey {
		n += s.Count
	}
	return n
}
