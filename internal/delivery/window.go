package delivery

import (
	"fmt"
	"time"
)

// Incarnation identifies one run of one host.
type Incarnation struct {
	Host   string
	Number uint64
}

// Window contains the deliveries of one host between two times. The windows of
// an incarnation are numbered from 0 without gaps. With AnnounceStart, number 0
// is written when the host starts, so that reports include a host that fails
// early.
type Window struct {
	Incarnation
	Number  uint64
	Start   time.Time // by the platform's clock; zero if the host did not know it
	End     time.Time
	Final   bool // the incarnation writes no window after this one
	Rows    *rows
	Records records
	Seen    []Incarnation // other hosts that this host saw for the first time
}

func newWindow(i Incarnation) *Window { return &Window{Incarnation: i, Rows: newRows()} }

func (w *Window) name() string { return windowName(w.Incarnation, w.Number) }

func windowName(i Incarnation, number uint64) string {
	return fmt.Sprintf("%s.%d.%08d", i.Host, i.Number, number)
}

// join appends the following window to w.
func (w *Window) join(next *Window, cfg Config) {
	w.Rows.merge(next.Rows, cfg.MaxKeys)
	w.Records.merge(&next.Records, cfg)
	w.Seen = append(w.Seen, next.Seen...)
	w.End, w.Final = next.End, next.Final
}

// shrink halves the content of a window. Counts are kept: dropped records count
// as left out, and deliveries without their key as folded.
func (w *Window) shrink() {
	w.Records.reservations.halve()
	w.Records.exceptions.halve()
	smaller := newRows()
	smaller.merge(w.Rows, max(len(w.Rows.byKey)/2, 1))
	w.Rows = smaller
}

// datedRecords returns the individual records with their host and the end of
// the window set.
func (w *Window) datedRecords(end time.Time) []Record {
	all := w.Records.all()
	for i := range all {
		all[i].Host, all[i].WindowEnd = w.Host, end
	}
	return all
}
