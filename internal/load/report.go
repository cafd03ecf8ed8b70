package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// Report is what one run showed. Latencies are of answers, in milliseconds,
// from the intended start.
type Report struct {
	Name        string         `json:"name"`
	Rate        float64        `json:"rate"` // offered, requests a second
	Offered     int            `json:"offered"`
	Answered    int            `json:"answered"`
	Complete    int            `json:"complete"` // answered with every shard
	Failed      int            `json:"failed"`   // neither answer nor refusal
	Unsent      int            `json:"unsent"`   // too many were in flight
	Refused     map[string]int `json:"refused"`  // by reason
	Goodput     float64        `json:"goodput"`  // complete answers a second
	Coverage    float64        `json:"coverage"` // mean over answers
	P50         float64        `json:"p50_ms"`
	P99         float64        `json:"p99_ms"`
	P999        float64        `json:"p999_ms"`
	RefusalP99  float64        `json:"refusal_p99_ms"`
	WaitP99     float64        `json:"wait_p99_ms"`           // of answers, and of refusals because the budget had ended
	Extra       float64        `json:"extra_load"`            // attempts over needed ones, less 1
	Sheds       int            `json:"sheds"`                 // by targets; experiments only
	Connections int            `json:"connections,omitempty"` // most at one target; experiments only
	Dials       int            `json:"dials,omitempty"`       // connections opened; experiments only
	Spurned     int            `json:"spurned,omitempty"`     // connections over a target's limit; experiments only
}

// RefusedAll returns the refusals of all reasons.
func (r Report) RefusedAll() int {
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

const tableHead = "run\toffered/s\tgoodput/s\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\textra %\tsheds\trefused\trefusal p99 ms\tfailed\tconns\tdials\tspurned"

// WriteTable writes one line a report.
func WriteTable(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, tableHead+"\t")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.4f\t%.2f\t%d\t%s\t%.1f\t%d\t%d\t%d\t%d\t\n",
			r.Name, r.Rate, r.Goodput, r.P50, r.P99, r.P999, r.Coverage, 100*r.Extra, r.Sheds,
			refusals(r), r.RefusalP99, r.Failed+r.Unsent, r.Connections, r.Dials, r.Spurned)
	}
	if err := t.Flush(); err != nil {
		return Error.New("write table: %w", err)
	}
	return nil
}

func refusals(r Report) string {
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
