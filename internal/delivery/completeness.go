package delivery

import (
	"fmt"
	"slices"
	"time"
)

// Gap is a range of windows of an incarnation that the report lacks. First and
// Last are inclusive.
type Gap struct {
	Incarnation
	First uint64
	Last  uint64
}

// String describes the missing windows and their host.
func (g Gap) String() string {
	return fmt.Sprintf("windows %d to %d of host %s, incarnation %d", g.First, g.Last, g.Host, g.Number)
}

// IncompleteReason is the reason why the newest windows of an incarnation are
// missing from the report.
type IncompleteReason string

// Reasons for missing newest windows.
const (
	EndedUnwritten IncompleteReason = "ended"  // the incarnation ended without writing its final window
	WriteOverdue   IncompleteReason = "late"   // the incarnation is alive, and its next window is overdue
	NeverWrote     IncompleteReason = "unseen" // other hosts saw the incarnation, and it never wrote a window
)

// IncompleteIncarnation is an incarnation that may have made deliveries that
// the report lacks.
type IncompleteIncarnation struct {
	Incarnation
	Reason IncompleteReason
	After  time.Time // end of the newest window in the report; zero if unknown
}

// String describes the incarnation and from when on its deliveries are unknown.
func (o IncompleteIncarnation) String() string {
	host := fmt.Sprintf("host %s, incarnation %d", o.Host, o.Incarnation.Number)
	if o.After.IsZero() {
		return fmt.Sprintf("%s (%s): nothing is known", host, o.Reason)
	}
	return fmt.Sprintf("%s (%s): nothing is known after %s", host, o.Reason, o.After.UTC().Format(time.RFC3339))
}

// Completeness states which data a report contains and which it lacks.
type Completeness struct {
	From             time.Time // by the platform's clock
	To               time.Time // the report has all windows of live hosts up to this time
	Windows          uint64    // number of windows in the report
	Missing          []Gap
	Incomplete       []IncompleteIncarnation // incarnations whose newest windows are missing
	FoldedDeliveries uint64                  // deliveries that are counted without their caller or service
	DroppedRecords   uint64                  // individual records that were not kept
	Unreadable       []string                // objects that could not be decoded
}

// Complete reports whether the report contains every window up to To.
func (c Completeness) Complete() bool {
	return len(c.Missing) == 0 && len(c.Incomplete) == 0 && len(c.Unreadable) == 0
}

// hostEvidence is the input from which missing windows are determined: the
// spans of stored windows, the incarnations that other hosts have seen, and the
// incarnations that are alive now.
type hostEvidence struct {
	spans        []Span
	seen         []Incarnation
	live         []Incarnation
	from         time.Time
	now          time.Time
	overdueAfter time.Duration // time from the end of a live host's newest window after which the next one is overdue
}

// fillIncomplete sets To, Missing and Incomplete of c.
func (p hostEvidence) fillIncomplete(c *Completeness) {
	byHost := windowSetOf(joinSpans(p.spans))
	c.To = p.now
	for _, i := range p.incarnations(byHost) {
		spans := byHost[i]
		alive := slices.Contains(p.live, i)
		if len(spans) == 0 {
			c.Incomplete = append(c.Incomplete, IncompleteIncarnation{Incarnation: i, Reason: NeverWrote})
			continue
		}
		c.Missing = append(c.Missing, p.gaps(spans)...)
		p.checkNewest(c, spans[len(spans)-1], alive)
	}
}

// notOverdue returns the incarnations whose next window is expected and not
// overdue.
func (p hostEvidence) notOverdue() []Incarnation {
	var all []Incarnation
	for _, s := range p.spans {
		if !s.Final && !s.End.Add(p.overdueAfter).Before(p.now) {
			all = append(all, s.Incarnation)
		}
	}
	return all
}

func (p hostEvidence) incarnations(byHost windowSet) []Incarnation {
	all := slices.Concat(p.seen, p.live)
	for i := range byHost {
		all = append(all, i)
	}
	slices.SortFunc(all, Incarnation.compare)
	return slices.Compact(all)
}

// gaps returns the windows that are missing between the spans, and those before
// the first span if it starts after the beginning of the report.
func (p hostEvidence) gaps(spans []Span) []Gap {
	var gaps []Gap
	first := spans[0]
	if first.First > 0 && first.Start.After(p.from) {
		gaps = append(gaps, Gap{Incarnation: first.Incarnation, First: 0, Last: first.First - 1})
	}
	for i, s := range spans[1:] {
		gaps = append(gaps, Gap{Incarnation: s.Incarnation, First: spans[i].Last + 1, Last: s.First - 1})
	}
	return gaps
}

// checkNewest checks the newest window of an incarnation: it adds the
// incarnation to Incomplete, or moves To back to the end of that window.
func (p hostEvidence) checkNewest(c *Completeness, last Span, alive bool) {
	switch {
	case last.Final:
	case !alive:
		c.Incomplete = append(c.Incomplete, IncompleteIncarnation{Incarnation: last.Incarnation, Reason: EndedUnwritten, After: last.End})
	case last.End.Add(p.overdueAfter).Before(p.now):
		c.Incomplete = append(c.Incomplete, IncompleteIncarnation{Incarnation: last.Incarnation, Reason: WriteOverdue, After: last.End})
	case last.End.Before(c.To):
		c.To = last.End
	}
}
