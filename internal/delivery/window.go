package delivery

import (
	"fmt"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Incarnation is one run of one host.
type Incarnation struct {
	Host   string `json:"h"`
	Number uint64 `json:"i"`
}

// Window is what one host delivered between two moments. Windows of an
// incarnation are numbered from 0 without gaps; number 0 is written at the
// start, so that a host that dies early is known.
type Window struct {
	Incarnation
	Number  uint64
	Start   time.Time // by the platform's clock; zero if it was not known
	End     time.Time
	Final   bool // the incarnation has no window after this one
	Rows    *rows
	Records records
	Seen    []Incarnation // other hosts that this one saw for the first time
}

func newWindow(i Incarnation) *Window { return &Window{Incarnation: i, Rows: newRows()} }

func (w *Window) name() string { return windowName(w.Incarnation, w.Number) }

func windowName(i Incarnation, number uint64) string {
	return fmt.Sprintf("%s.%d.%08d", i.Host, i.Number, number)
}

// join adds the window that follows w to it.
func (w *Window) join(next *Window, cfg Config) {
	w.Rows.merge(next.Rows, cfg.MaxKeys)
	w.Records.merge(&next.Records, cfg)
	w.Seen = append(w.Seen, next.Seen...)
	w.End, w.Final = next.End, next.Final
}

// shrink halves what a window holds. Nothing goes uncounted: records are
// counted as left out, deliveries as folded.
func (w *Window) shrink() {
	w.Records.reservations.halve()
	w.Records.exceptions.halve()
	smaller := newRows()
	smaller.merge(w.Rows, max(len(w.Rows.sums)/2, 1))
	w.Rows = smaller
}

// datedRecords returns the single records with their host and the window's end.
func (w *Window) datedRecords(end time.Time) []Record {
	all := w.Records.all()
	for i := range all {
		all[i].Host, all[i].Until = w.Host, end
	}
	return all
}

// windowObject is a window as the platform keeps it.
type windowObject struct {
	Incarnation
	Number              uint64        `json:"n"`
	Start               time.Time     `json:"start,omitzero"`
	End                 time.Time     `json:"end,omitzero"`
	Final               bool          `json:"final,omitempty"`
	Folded              uint64        `json:"folded,omitempty"`
	Rows                []rowObject   `json:"rows,omitempty"`
	Reservations        []Record      `json:"reservations,omitempty"`
	ReservationsOffered uint64        `json:"reservations_offered,omitempty"`
	Exceptions          []Record      `json:"exceptions,omitempty"`
	ExceptionsOffered   uint64        `json:"exceptions_offered,omitempty"`
	Seen                []Incarnation `json:"seen,omitempty"`
}

// rowObject is one key with its sums. Latency holds pairs of a bucket's value,
// as the difference to the one before, and its count.
type rowObject struct {
	Caller   string       `json:"c,omitempty"`
	Service  string       `json:"s,omitempty"`
	Outcome  string       `json:"o"`
	Reason   query.Reason `json:"r,omitempty"`
	Band     Band         `json:"b"`
	Snapshot uint64       `json:"v,omitempty"`
	Count    uint64       `json:"n"`
	Attempts uint64       `json:"a,omitempty"`
	Needed   uint64       `json:"w,omitempty"`
	Latency  []int64      `json:"l,omitempty"`
}

func (w *Window) object() windowObject {
	return windowObject{
		Incarnation: w.Incarnation, Number: w.Number, Start: w.Start, End: w.End, Final: w.Final,
		Folded: w.Rows.folded, Rows: w.Rows.objects(),
		Reservations: w.Records.reservations.kept, ReservationsOffered: w.Records.reservations.offered,
		Exceptions: w.Records.exceptions.kept, ExceptionsOffered: w.Records.exceptions.offered,
		Seen: w.Seen,
	}
}

func (o windowObject) window() (*Window, error) {
	rows, err := rowsOf(o.Rows)
	if err != nil {
		return nil, err
	}
	rows.folded = o.Folded
	return &Window{
		Incarnation: o.Incarnation, Number: o.Number, Start: o.Start, End: o.End, Final: o.Final, Rows: rows,
		Records: records{
			reservations: sample{kept: o.Reservations, offered: o.ReservationsOffered},
			exceptions:   sample{kept: o.Exceptions, offered: o.ExceptionsOffered},
		},
		Seen: o.Seen,
	}, nil
}

func (r *rows) objects() []rowObject {
	objects := make([]rowObject, 0, len(r.sums))
	for _, k := range r.sorted() {
		s := r.sums[k]
		objects = append(objects, rowObject{
			Caller: k.Caller, Service: k.Service, Outcome: k.Outcome.String(), Reason: k.Reason, Band: k.Band,
			Snapshot: k.Snapshot, Count: s.Count, Attempts: s.Attempts, Needed: s.Needed, Latency: s.pairs(),
		})
	}
	return objects
}

func (s *Sums) pairs() []int64 {
	pairs := make([]int64, 0, 2*s.Latency.Populated())
	var last int64
	s.Latency.ForEachBucket(func(value, count int64) bool {
		pairs = append(pairs, value-last, count)
		last = value
		return true
	})
	return pairs
}

// rowsOf reads rows; keys that stand twice are added up.
func rowsOf(objects []rowObject) (*rows, error) {
	r := newRows()
	for _, o := range objects {
		out, ok := outcome.Parse(o.Outcome)
		if !ok {
			return nil, Error.New("unknown outcome %q", o.Outcome)
		}
		k := Key{Caller: o.Caller, Service: o.Service, Outcome: out, Reason: o.Reason, Band: o.Band, Snapshot: o.Snapshot}
		s, _ := r.get(k, len(r.sums)+1)
		s.Count += o.Count
		s.Attempts += o.Attempts
		s.Needed += o.Needed
		s.addPairs(o.Latency)
	}
	return r, nil
}

func (s *Sums) addPairs(pairs []int64) {
	var value int64
	for i := 0; i+1 < len(pairs); i += 2 {
		value += pairs[i]
		s.recordLatency(value, pairs[i+1])
	}
}
