package operate

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/lang"
)

// fieldRequest groups answers by request: it shows the single records.
const fieldRequest = "request"

func (e *Executor) showAnswers(ctx context.Context, s lang.Show) (*Table, error) {
	if wantsRecords(s) {
		return e.showRecords(ctx, s)
	}
	report, err := e.report(ctx, s, delivery.FieldService, delivery.FieldCaller, delivery.FieldOutcome, delivery.FieldReason)
	if err != nil {
		return nil, err
	}
	t := newTable(append(names(report.Query.By), "answers", "p50", "p99", "attempts_per_needed")...)
	for _, l := range report.Lines {
		t.add(append(cells(l.Key, report.Query.By),
			number(l.Sums.Count), milliseconds(l.Sums.Quantile(0.5)), milliseconds(l.Sums.Quantile(0.99)),
			ratio(l.Sums.Attempts, l.Sums.Needed))...)
	}
	t.limit(s.Limit)
	t.noteCompleteness(report.Completeness)
	return t, nil
}

func (e *Executor) showCoverage(ctx context.Context, s lang.Show) (*Table, error) {
	s.Where = append(s.Where, lang.Condition{Field: string(delivery.FieldCoverage), Not: true, Value: string(delivery.BandReservation)})
	groups := len(s.By)
	if groups == 0 {
		s.By = []string{string(delivery.FieldService)}
		groups = 1
	}
	s.By = append(s.By, string(delivery.FieldCoverage))
	report, err := e.report(ctx, s)
	if err != nil {
		return nil, err
	}
	t := coverageTable(report, report.Query.By[:groups])
	t.limit(s.Limit)
	t.noteCompleteness(report.Completeness)
	return t, nil
}

var bands = []delivery.Band{
	delivery.BandFull, delivery.BandOver99, delivery.BandOver90, delivery.BandOver50, delivery.BandUnder50, delivery.BandNone,
}

// coverageTable puts the bands of each group side by side. Lines are sorted by
// key, so those of a group may stand apart.
func coverageTable(report delivery.Report, by []delivery.Field) *Table {
	t := newTable(append(names(by), "searches")...)
	for _, b := range bands {
		t.Columns = append(t.Columns, string(b))
	}
	counts := map[string]map[delivery.Band]uint64{}
	var order [][]string
	for _, l := range report.Lines {
		group := cells(l.Key, by)
		key := groupKey(group)
		if counts[key] == nil {
			counts[key] = map[delivery.Band]uint64{}
			order = append(order, group)
		}
		counts[key][l.Key.Band] += l.Sums.Count
	}
	for _, group := range order {
		t.add(append(group, bandCells(counts[groupKey(group)])...)...)
	}
	return t
}

func bandCells(counts map[delivery.Band]uint64) []string {
	var total uint64
	row := []string{""}
	for _, b := range bands {
		total += counts[b]
		row = append(row, number(counts[b]))
	}
	row[0] = number(total)
	return row
}

func (e *Executor) report(ctx context.Context, s lang.Show, by ...delivery.Field) (delivery.Report, error) {
	q := delivery.Query{Since: s.Since, By: by}
	if len(s.By) > 0 {
		q.By = nil
	}
	for _, f := range s.By {
		q.By = append(q.By, delivery.Field(f))
	}
	for _, c := range s.Where {
		q.Where = append(q.Where, delivery.Filter{Field: delivery.Field(c.Field), Not: c.Not, Value: c.Value})
	}
	if err := q.Validate(); err != nil {
		return delivery.Report{}, badRequestFrom(err)
	}
	report, err := e.parts.Reports.Report(ctx, q)
	if err != nil {
		return report, platformUnavailable(err)
	}
	return report, nil
}

// wantsRecords reports whether the statement asks for single deliveries.
func wantsRecords(s lang.Show) bool {
	for _, f := range s.By {
		if f == fieldRequest {
			return true
		}
	}
	for _, c := range s.Where {
		if c.Field == fieldRequest || c.Field == "reservation" {
			return true
		}
	}
	return false
}

func (e *Executor) showRecords(ctx context.Context, s lang.Show) (*Table, error) {
	records, completeness, err := e.parts.Reports.Records(ctx, s.Since, func(delivery.Record) bool { return true })
	if err != nil {
		return nil, platformUnavailable(err)
	}
	t := newTable(fieldRequest, "reservation", "caller", "service", "outcome", "reason", "coverage", "snapshot", "latency", "host", "until")
	for _, r := range records {
		t.add(r.Request, r.Reservation, r.Caller, r.Service, r.Outcome.String(), string(r.Reason), fraction(r.Coverage),
			number(r.Snapshot), milliseconds(r.Latency), r.Host, r.Until.UTC().Format(time.RFC3339))
	}
	if err := t.where(s.Where); err != nil {
		return nil, err
	}
	t.limit(s.Limit)
	t.note("single records are kept of reservations, refusals and partial answers; %d were left out", completeness.LeftOut)
	t.noteCompleteness(completeness)
	return t, nil
}

func (e *Executor) showBurn(ctx context.Context, s lang.Show) (*Table, error) {
	if s.Since != 0 || len(s.By) > 0 {
		return nil, badRequest("show burn has spans of its own, so it takes neither since nor by")
	}
	report, err := e.parts.Reports.Burn(ctx, e.parts.Objectives())
	if err != nil {
		return nil, platformUnavailable(err)
	}
	t := newTable("service", "objective", "target")
	for _, w := range delivery.BurnWindows {
		t.Columns = append(t.Columns, "burn_"+delivery.WindowLabel(w))
	}
	t.Columns = append(t.Columns, "bad_"+delivery.WindowLabel(delivery.BurnWindows[1]), "requests_"+delivery.WindowLabel(delivery.BurnWindows[1]))
	for _, o := range report.Objectives {
		row := []string{o.Objective.Service, string(o.Objective.Aim), target(o.Objective)}
		for _, b := range o.Burns {
			row = append(row, strconv.FormatFloat(b.Rate, 'f', 2, 64))
		}
		t.add(append(row, number(o.Burns[1].Bad), number(o.Burns[1].Total))...)
	}
	if err := t.where(s.Where); err != nil {
		return nil, err
	}
	t.limit(s.Limit)
	t.note("at 1 the budget of bad requests lasts exactly the objective's period")
	t.noteCompleteness(report.Completeness)
	return t, nil
}

func target(o delivery.Objective) string {
	if o.Aim == delivery.AimLatency {
		return fmt.Sprintf("%s within %s", percent(o.Ratio), o.Threshold)
	}
	return percent(o.Ratio) + " from every shard"
}

// noteCompleteness notes the time that the report covers, and what it lacks.
func (t *Table) noteCompleteness(c delivery.Completeness) {
	t.note("from %s to %s, %d windows", moment(c.From), moment(c.To), c.Windows)
	if c.Folded > 0 {
		t.note("%d answers are summed under %s", c.Folded, delivery.Other)
	}
	for _, g := range c.Missing {
		t.note("missing: %s", g)
	}
	for _, o := range c.Open {
		t.note("missing: %s", o)
	}
	for _, name := range c.Unreadable {
		t.note("unreadable: %s", name)
	}
	if c.Complete() {
		t.note("nothing is missing")
	}
}

func names(fields []delivery.Field) []string {
	out := make([]string, 0, len(fields))
	for _, f := range fields {
		out = append(out, string(f))
	}
	return out
}

func cells(k delivery.Key, fields []delivery.Field) []string {
	out := make([]string, 0, len(fields))
	for _, f := range fields {
		out = append(out, k.Value(f))
	}
	return out
}

func moment(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
}

func percent(f float64) string { return strconv.FormatFloat(f*100, 'g', 6, 64) + "%" }

func ratio(a, b uint64) string {
	if b == 0 {
		return ""
	}
	return strconv.FormatFloat(float64(a)/float64(b), 'f', 3, 64)
}
