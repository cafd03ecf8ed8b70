package cli

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/gen/operate"
	"rhubarbwood.example/rhubarbwood/gen/query"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// maxNamedShards is how many missing shards the text output lists by name.
const maxNamedShards = 10

func writeSearch(w io.Writer, a *query.SearchAnswer) {
	rows := make([][]string, len(a.Rows))
	for i, r := range a.Rows {
		rows[i] = []string{
			strconv.FormatFloat(r.Score, 'f', 3, 64), r.Key, r.Value, r.Service, strconv.FormatUint(uint64(r.Shard), 10),
		}
	}
	writeTable(w, []string{"score", "key", "value", "service", "shard"}, rows)
	fmt.Fprintf(w, "%d of %d rows found, %s\n", len(a.Rows), a.TotalRows, coverageText(a.Coverage))
	fmt.Fprintf(w, "snapshot %d of workload %s, %d attempts for %d shards, %.1f ms, request %s\n",
		a.Snapshot, a.Workload, a.Attempts, a.Needed, a.ElapsedMs, a.RequestID)
}

func coverageText(c *query.Coverage) string {
	text := fmt.Sprintf("coverage %d of %d shards", c.Answered, c.Shards)
	if c.Complete {
		return text + ": complete"
	}
	text += ": PARTIAL, missing " + strings.Join(c.Missing[:min(len(c.Missing), maxNamedShards)], ", ")
	if more := len(c.Missing) - maxNamedShards; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

func writeReservation(w io.Writer, a *query.ReservationAnswer) {
	result := "not granted"
	if a.Granted {
		result = "granted"
	}
	if a.Repeated {
		result += ", repeated from an earlier response"
	}
	fmt.Fprintf(w, "%s by target %s: %s\n", result, a.Target, a.Answer)
	fmt.Fprintf(w, "reservation %s, request %s\n", a.ReservationID, a.RequestID)
}

func writeResult(w io.Writer, r *operate.StatementResult) {
	writeTable(w, r.Columns, r.Rows)
	if r.Message != "" {
		fmt.Fprintln(w, r.Message)
	}
}

// refusal holds the common fields of a refusal by the callers' or the
// operators' API.
type refusal struct {
	requestID  string
	reason     string
	outcome    string
	notRun     bool
	retryAfter time.Duration
	detail     string
	coverage   *query.Coverage
}

func refusalOf(err error) (refusal, bool) {
	var q *query.Refusal
	if errors.As(err, &q) {
		return refusal{q.RequestID, q.Reason, q.Outcome, q.NotRun, retryAfter(q.RetryAfterMs), q.Detail, q.Coverage}, true
	}
	var o *operate.Refusal
	if errors.As(err, &o) {
		return refusal{o.RequestID, o.Reason, o.Outcome, o.NotRun, retryAfter(o.RetryAfterMs), o.Detail, nil}, true
	}
	return refusal{}, false
}

func retryAfter(ms *int64) time.Duration {
	if ms == nil {
		return 0
	}
	return time.Duration(*ms) * time.Millisecond
}

// code returns the exit code. A search with an unknown outcome counts as
// failed, as it changes no state.
func (r refusal) code(mutates bool) int {
	if mutates && r.outcome == outcome.Unknown.String() {
		return ExitUnknown
	}
	return ExitFailed
}

func (r refusal) text(hint string) string {
	parts := []string{"refused: " + r.reason + ": " + r.detail, r.execution()}
	if r.coverage != nil {
		parts = append(parts, coverageText(r.coverage))
	}
	if r.retryAfter > 0 {
		parts = append(parts, "retry after "+r.retryAfter.String())
	}
	if hint != "" {
		parts = append(parts, hint)
	}
	parts = append(parts, "request "+r.requestID)
	return strings.Join(parts, "; ")
}

// execution describes whether the request ran.
func (r refusal) execution() string {
	switch {
	case r.notRun:
		return "did not run"
	case r.outcome == outcome.Failed.String():
		return "ran without success"
	}
	return "may have run"
}
