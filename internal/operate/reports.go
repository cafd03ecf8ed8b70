package operate

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/lang"
)

// fieldRequest is the field that groups answers by request, which lists the
// individual records. delivery.Field has no such value.
const fieldRequest = "request"

// showAnswers reports the number, latency and attempts of answers by group, by
// default by service, caller, outcome and reason.
func (e *Executor) showAnswers(ctx context.Context, s lang.Show) (*Table, error) {
	if selectsRecords(s) {
		return e.showRecords(ctx, s)
	}
	report, err := e.queryReport(ctx, s, delivery.FieldService, delivery.FieldCaller, delivery.FieldOutcome, delivery.FieldReason)
	if err != nil {
		return nil, err
	}
	t := newTable(append(fieldNames(report.Query.GroupBy), "answers", "p50", "p99", "attempts_per_needed")...)
	for _, l := range report.Lines {
		t.addRow(append(keyCells(l.Key, report.Query.GroupBy),
			formatUint(l.Totals.Count), formatMilliseconds(l.Totals.Quantile(0.5)), formatMilliseconds(l.Totals.Quantile(0.99)),
			formatRatio(l.Totals.Attempts, l.Totals.Needed))...)
	}
	t.limit(s.Limit)
	t.noteCompleteness(report.Completeness)
	return t, nil
}

// showCoverage reports how many searches had which coverage, by group, by
// default by service. Reservations have no coverage and are excluded.
func (e *Executor) showCoverage(ctx context.Context, s lang.Show) (*Table, error) {
	s.Where = append(s.Where, lang.Condition{Field: string(delivery.FieldCoverage), Not: true, Value: string(delivery.BandReservation)})
	groups := len(s.By)
	if groups == 0 {
		s.By = []string{string(delivery.FieldService)}
		groups = 1
	}
	s.By = append(s.By, string(delivery.FieldCoverage))
	report, err := e.queryReport(ctx, s)
	if err != nil {
		return nil, err
	}
	t := coverageTable(report, report.Query.GroupBy[:groups])
	t.limit(s.Limit)
	t.noteCompleteness(report.Completeness)
	return t, nil
}

// coverageBands are the columns of the coverage report, from the highest to the
// lowest.
var coverageBands = []delivery.Band{
	delivery.BandFull, delivery.BandOver99, delivery.BandOver90, delivery.BandOver50, delivery.BandUnder50, delivery.BandNone,
}

// coverageTable returns one row for each group, with a column for each coverage
// band. The report's lines are sorted by key, so the lines of one group need not
// be adjacent.
func coverageTable(report delivery.Report, by []delivery.Field) *Table {
	t := newTable(append(fieldNames(by), "searches")...)
	for _, b := range coverageBands {
		t.Columns = append(t.Columns, string(b))
	}
	counts := map[string]map[delivery.Band]uint64{}
	var groups [][]string
	for _, l := range report.Lines {
		group := keyCells(l.Key, by)
		key := groupKey(group)
		if counts[key] == nil {
			counts[key] = map[delivery.Band]uint64{}
			groups = append(groups, group)
		}
		counts[key][l.Key.Band] += l.Totals.Count
	}
	for _, group := range groups {
		t.addRow(append(group, bandCells(counts[groupKey(group)])...)...)
	}
	return t
}

// bandCells returns the total of the counts, followed by the count of each band.
func bandCells(counts map[delivery.Band]uint64) []string {
	var total uint64
	row := []string{""}
	for _, b := range coverageBands {
		total += counts[b]
		row = append(row, formatUint(counts[b]))
	}
	row[0] = formatUint(total)
	return row
}

// queryReport runs the delivery query of a show statement; by are the groups
// where the statement names none.
func (e *Executor) queryReport(ctx context.Context, s lang.Show, by ...delivery.Field) (delivery.Report, error) {
	q := delivery.Query{Since: s.Since, GroupBy: by}
	if len(s.By) > 0 {
		q.GroupBy = nil
	}
	for _, f := range s.By {
		q.GroupBy = append(q.GroupBy, delivery.Field(f))
	}
	for _, c := range s.Where {
		q.Filters = append(q.Filters, delivery.Filter{Field: delivery.Field(c.Field), Not: c.Not, Value: c.Value})
	}
	if err := q.Validate(); err != nil {
		return delivery.Report{}, badRequestFrom(err)
	}
	report, err := e.deps.Reports.Report(ctx, q)
	if err != nil {
		return report, platformUnavailable(err)
	}
	return report, nil
}

// selectsRecords reports whether the statement groups by request or filters by
// request or reservation, which lists individual records.
func selectsRecords(s lang.Show) bool {
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

// showRecords lists the individual delivery records that match the statement.
func (e *Executor) showRecords(ctx context.Context, s lang.Show) (*Table, error) {
	records, completeness, err := e.deps.Reports.Records(ctx, s.Since, func(delivery.Record) bool { return true })
	if err != nil {
		return nil, platformUnavailable(err)
	}
	t := newTable(fieldRequest, "reservation", "caller", "service", "outcome", "reason", "coverage", "snapshot", "latency", "host", "until")
	for _, r := range records {
		t.addRow(r.Request, r.Reservation, r.Caller, r.Service, r.Outcome.String(), string(r.Reason), formatFraction(r.Coverage),
			formatUint(r.Snapshot), formatMilliseconds(r.Latency), r.Host, r.WindowEnd.UTC().Format(time.RFC3339))
	}
	if err := t.filter(s.Where); err != nil {
		return nil, err
	}
	t.limit(s.Limit)
	t.addNote("single records are kept of reservations, refusals and partial answers; %d were left out", completeness.DroppedRecords)
	t.noteCompleteness(completeness)
	return t, nil
}

// showBurn reports the burn rates of the objectives: the share of bad requests
// relative to the share that the objective allows.
func (e *Executor) showBurn(ctx context.Context, s lang.Show) (*Table, error) {
	if s.Since != 0 || len(s.By) > 0 {
		return nil, badRequest("show burn has spans of its own, so it takes neither since nor by")
	}
	report, err := e.deps.Reports.Burn(ctx, e.deps.Objectives())
	if err != nil {
		return nil, platformUnavailable(err)
	}
	t := newTable("service", "objective", "target")
	for _, w := range delivery.BurnWindows {
		t.Columns = append(t.Columns, "burn_"+delivery.WindowLabel(w))
	}
	t.Columns = append(t.Columns, "bad_"+delivery.WindowLabel(delivery.BurnWindows[1]), "requests_"+delivery.WindowLabel(delivery.BurnWindows[1]))
	for _, o := range report.Objectives {
		row := []string{o.Objective.Service, string(o.Objective.Aim), formatObjective(o.Objective)}
		for _, b := range o.Burns {
			row = append(row, strconv.FormatFloat(b.Rate, 'f', 2, 64))
		}
		t.addRow(append(row, formatUint(o.Burns[1].Bad), formatUint(o.Burns[1].Total))...)
	}
	if err := t.filter(s.Where); err != nil {
		return nil, err
	}
	t.limit(s.Limit)
	t.addNote("at 1 the budget of bad requests lasts exactly the objective's period")
	t.noteCompleteness(report.Completeness)
	return t, nil
}

// formatObjective describes the goal of an objective, such as "99% within 110ms".
func formatObjective(o delivery.Objective) string {
	if o.Aim == delivery.AimLatency {
		return fmt.Sprintf("%s within %s", formatPercent(o.Ratio), o.Threshold)
	}
	return formatPercent(o.Ratio) + " from every shard"
}

// noteCompleteness adds notes on the time range of the report and on the data
// missing from it.
func (t *Table) noteCompleteness(c delivery.Completeness) {
	t.addNote("from %s to %s, %d windows", formatTime(c.From), formatTime(c.To), c.Windows)
	if c.FoldedDeliveries > 0 {
		t.addNote("%d answers are summed under %s", c.FoldedDeliveries, delivery.Other)
	}
	for _, g := range c.Missing {
		t.addNote("missing: %s", g)
	}
	for _, o := range c.Incomplete {
		t.addNote("missing: %s", o)
	}
	for _, name := range c.Unreadable {
		t.addNote("unreadable: %s", name)
	}
	if c.Complete() {
		t.addNote("nothing is missing")
	}
}

func fieldNames(fields []delivery.Field) []string {
	out := make([]string, 0, len(fields))
	for _, f := range fields {
		out = append(out, string(f))
	}
	return out
}

// keyCells returns the key's values of the fields.
func keyCells(k delivery.Key, fields []delivery.Field) []string {
	out := make([]string, 0, len(fields))
	for _, f := range fields {
		out = append(out, k.Value(f))
	}
	return out
}

func formatTime(timestamp time.Time) string { return timestamp.UTC().Format(time.RFC3339) }

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
}

func formatPercent(f float64) string { return strconv.FormatFloat(f*100, 'g', 6, 64) + "%" }

// formatRatio returns the ratio as text, empty if the denominator is 0.
func formatRatio(numerator, denominator uint64) string {
	if denominator == 0 {
		return ""
	}
	return strconv.FormatFloat(float64(numerator)/float64(denominator), 'f', 3, 64)
}
