package delivery

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// Filter keeps the deliveries whose field has, or with Not has not, the value.
type Filter struct {
	Field Field
	Not   bool
	Value string
}

func (f Filter) keeps(k Key) bool { return (k.Value(f.Field) == f.Value) != f.Not }

// Query asks for a report on the time since.
type Query struct {
	Since time.Duration // back from now; 0: an hour
	Where []Filter      // all must hold
	By    []Field       // what to sum by; none: one line for all
}

const defaultSince = time.Hour

// Validate reports unknown fields.
func (q Query) Validate() error {
	for _, f := range q.Where {
		if !known(f.Field) {
			return Error.New("no field %q, want one of %v", f.Field, Fields)
		}
	}
	for _, f := range q.By {
		if !known(f) {
			return Error.New("no field %q, want one of %v", f, Fields)
		}
	}
	return nil
}

func (q Query) keeps(k Key) bool {
	return !slices.ContainsFunc(q.Where, func(f Filter) bool { return !f.keeps(k) })
}

// Line is the deliveries of one group. Only the fields of the key by which
// the report is summed are set.
type Line struct {
	Key  Key
	Sums *Sums
}

// Report is the answer to a Query. Lines are sorted by key.
type Report struct {
	Query        Query
	Lines        []Line
	Completeness Completeness
}

// Total returns the deliveries in the report.
func (r Report) Total() uint64 {
	var n uint64
	for _, l := range r.Lines {
		n += l.Sums.Count
	}
	return n
}

// Reporter merges windows of all hosts from the platform.
type Reporter struct {
	cfg   Config
	store objstore.Store
	view  member.View
	log   *event.Log
}

// NewReporter returns a reporter. Any host can have one. Without a view of the
// hosts one counts as alive until its next window is overdue.
func NewReporter(cfg Config, store objstore.Store, view member.View, log *event.Log) *Reporter {
	return &Reporter{cfg: cfg, store: store, view: view, log: log}
}

// Report sums the deliveries of the query's time and says what it lacks. It
// fails only if the platform does not answer or the query is wrong.
func (r *Reporter) Report(ctx context.Context, q Query) (Report, error) {
	if err := q.Validate(); err != nil {
		return Report{}, err
	}
	g, err := r.gather(ctx, cmp.Or(q.Since, defaultSince), false)
	if err != nil {
		return Report{}, err
	}
	lines := map[Key]*Sums{}
	for _, p := range g.rows {
		q.sum(lines, p.rows)
	}
	report := Report{Query: q, Completeness: g.completeness}
	for k, s := range lines {
		report.Lines = append(report.Lines, Line{Key: k, Sums: s})
	}
	slices.SortFunc(report.Lines, func(a, b Line) int { return a.Key.compare(b.Key) })
	return report, nil
}

func (q Query) sum(lines map[Key]*Sums, from *deliverypb.Rows) {
	eachRow(from, func(k Key, row *deliverypb.Row) {
		if !q.keeps(k) {
			return
		}
		group := k.project(q.By)
		if lines[group] == nil {
			lines[group] = newSums()
		}
		lines[group].addRow(row)
	})
}

// Records returns the single records of the query's time, newest first.
func (r *Reporter) Records(ctx context.Context, since time.Duration, keep func(Record) bool) ([]Record, Completeness, error) {
	g, err := r.gather(ctx, cmp.Or(since, defaultSince), true)
	if err != nil {
		return nil, Completeness{}, err
	}
	kept := slices.DeleteFunc(g.records, func(rec Record) bool { return !keep(rec) })
	slices.SortStableFunc(kept, func(a, b Record) int { return b.Until.Compare(a.Until) })
	return kept, g.completeness, nil
}
