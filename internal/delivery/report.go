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

// Filter selects the deliveries whose field has the value, or with Not set
// those whose field has another value.
type Filter struct {
	Field Field
	Not   bool
	Value string
}

func (f Filter) matches(k Key) bool { return (k.Value(f.Field) == f.Value) != f.Not }

// Query specifies a report.
type Query struct {
	Since   time.Duration // length of the reported period, which ends now; 0: an hour
	Filters []Filter      // all must match
	GroupBy []Field       // fields to group by; none: one line for all deliveries
}

const defaultReportPeriod = time.Hour

// Validate returns an error if the query names an unknown field.
func (q Query) Validate() error {
	for _, f := range q.Filters {
		if !isField(f.Field) {
			return Error.New("no field %q, want one of %v", f.Field, Fields)
		}
	}
	for _, f := range q.GroupBy {
		if !isField(f) {
			return Error.New("no field %q, want one of %v", f, Fields)
		}
	}
	return nil
}

func (q Query) matches(k Key) bool {
	return !slices.ContainsFunc(q.Filters, func(f Filter) bool { return !f.matches(k) })
}

// Line contains the deliveries of one group. Only the key fields by which the
// report is grouped are set.
type Line struct {
	Key    Key
	Totals *Totals
}

// Report is the result of a Query. Lines are sorted by key.
type Report struct {
	Query        Query
	Lines        []Line
	Completeness Completeness
}

// Total returns the number of deliveries in the report.
func (r Report) Total() uint64 {
	var n uint64
	for _, l := range r.Lines {
		n += l.Totals.Count
	}
	return n
}

// Reporter merges the windows of all hosts from the platform.
type Reporter struct {
	cfg   Config
	store objstore.Store
	view  member.View
	log   *event.Log
}

// NewReporter returns a reporter. Any host can run one. If view is nil, a host
// counts as alive until its next window is overdue.
func NewReporter(cfg Config, store objstore.Store, view member.View, log *event.Log) *Reporter {
	return &Reporter{cfg: cfg, store: store, view: view, log: log}
}

// Report returns the deliveries of the query's period, and states what is
// missing. It fails only if the platform cannot be read or the query is
// invalid.
func (r *Reporter) Report(ctx context.Context, q Query) (Report, error) {
	if err := q.Validate(); err != nil {
		return Report{}, err
	}
	g, err := r.gather(ctx, cmp.Or(q.Since, defaultReportPeriod), false)
	if err != nil {
		return Report{}, err
	}
	lines := map[Key]*Totals{}
	for _, p := range g.rows {
		q.addRows(lines, p.rows)
	}
	report := Report{Query: q, Completeness: g.completeness}
	for k, s := range lines {
		report.Lines = append(report.Lines, Line{Key: k, Totals: s})
	}
	slices.SortFunc(report.Lines, func(a, b Line) int { return a.Key.compare(b.Key) })
	return report, nil
}

func (q Query) addRows(lines map[Key]*Totals, from *deliverypb.Rows) {
	eachRow(from, func(k Key, row *deliverypb.Row) {
		if !q.matches(k) {
			return
		}
		group := k.project(q.GroupBy)
		if lines[group] == nil {
			lines[group] = newTotals()
		}
		lines[group].addRow(row)
	})
}

// Records returns the individual records of the last since that keep accepts,
// newest first.
func (r *Reporter) Records(ctx context.Context, since time.Duration, keep func(Record) bool) ([]Record, Completeness, error) {
	g, err := r.gather(ctx, cmp.Or(since, defaultReportPeriod), true)
	if err != nil {
		return nil, Completeness{}, err
	}
	kept := slices.DeleteFunc(g.records, func(rec Record) bool { return !keep(rec) })
	slices.SortStableFunc(kept, func(a, b Record) int { return b.WindowEnd.Compare(a.WindowEnd) })
	return kept, g.completeness, nil
}
