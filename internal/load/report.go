package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// Report is the result of one run. Latencies are those of answers unless noted,
// in milliseconds from the scheduled start.
type Report struct {
	Name               string         `json:"name"`
	Rate               float64        `json:"rate"` // offered requests per second
	Offered            int            `json:"offered"`
	Answered           int            `json:"answered"`
	Complete           int            `json:"complete"` // answered with every shard
	Failed             int            `json:"failed"`   // neither a valid answer nor a refusal
	Unsent             int            `json:"unsent"`   // not sent, as too many requests were in flight
	Refused            map[string]int `json:"refused"`  // by reason
	Goodput            float64        `json:"goodput"`  // complete answers per second
	Coverage           float64        `json:"coverage"` // mean over answers
	P50                float64        `json:"p50_ms"`
	P99                float64        `json:"p99_ms"`
	P999               float64        `json:"p999_ms"`
	RefusalP99         float64        `json:"refusal_p99_ms"`
	WaitP99            float64        `json:"wait_p99_ms"`           // of answers, and of refusals because the budget ended
	ExtraLoad          float64        `json:"extra_load"`            // attempts over needed attempts, minus 1
	Sheds              int            `json:"sheds"`                 // requests shed by targets; experiments only
	MaxConnections     int            `json:"connections,omitempty"` // most connections to one target; experiments only
	Dials              int            `json:"dials,omitempty"`       // connections opened; experiments only
	ConnectionsRefused int            `json:"spurned,omitempty"`     // refused, as over the limit of a target; experiments only
}

// RefusedTotal returns the number of refusals for all reasons.
func (r Report) RefusedTotal() int {
	n := 0
	for _, count := range r.Refused {
		n += count
	}
	return n
}

// WriteJSON writes the reports as one JSON array.
func WriteJSON(w io.Writer, reports []Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(reports); err != nil {
		return Error.New("write reports: %w", err)
	}
	return nil
}

const tableHeader = "run\toffered/s\tgoodput/s\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\textra %\tsheds\trefused\trefusal p99 ms\tfailed\tconns\tdials\tconns refused"

// WriteTable writes the reports as a table with one line per report.
func WriteTable(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, tableHeader+"\t")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.4f\t%.2f\t%d\t%s\t%.1f\t%d\t%d\t%d\t%d\t\n",
			r.Name, r.Rate, r.Goodput, r.P50, r.P99, r.P999, r.Coverage, 100*r.ExtraLoad, r.Sheds,
			refusalsText(r), r.RefusalP99, r.Failed+r.Unsent, r.MaxConnections, r.Dials, r.ConnectionsRefused)
	}
	if err := t.Flush(); err != nil {
		return Error.New("write table: %w", err)
	}
	return nil
}

func refusalsText(r Report) string {
	if len(r.Refused) == 0 {
		return "0"
	}
	var parts []string
	for reason, n := range r.Refused {
		parts = append(parts, fmt.Sprintf("%s:%d", reason, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}
