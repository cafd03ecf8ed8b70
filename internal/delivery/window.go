package delivery

import (
	"fmt"
	"time"
)

// Incarnation is one run of one host.
type Incarnation struct {
	Host   string
	Number uint64
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
