package delivery

import (
	"fmt"
	"slices"
	"time"
)

// Gap is windows that an incarnation wrote, or was to write, and that the
// report does not have.
type Gap struct {
	Incarnation
	First uint64
	Last  uint64
}

// String names the host and the windows.
func (g Gap) String() string {
	return fmt.Sprintf("windows %d to %d of host %s, incarnation %d", g.First, g.Last, g.Host, g.Number)
}

// Ending is what is known of an incarnation whose newest windows the report
// does not have.
type Ending string

// Endings.
const (
	EndedUnwritten Ending = "ended"  // it is gone, and its last window was never written
	Late           Ending = "late"   // it lives, and its newest window is overdue
	NeverWrote     Ending = "unseen" // others saw it, and it never wrote a window
)

// Open is an incarnation that may have delivered more than the report has.
type Open struct {
	Incarnation
	Ending Ending
	After  time.Time // nothing is known after this moment; zero: nothing at all
}

// String says what is not known.
func (o Open) String() string {
	host := fmt.Sprintf("host %s, incarnation %d", o.Host, o.Incarnation.Number)
	if o.After.IsZero() {
		return fmt.Sprintf("%s (%s): nothing is known", host, o.Ending)
	}
	return fmt.Sprintf("%s (%s): nothing is known after %s", host, o.Ending, o.After.UTC().Format(time.RFC3339))
}

// Completeness is what a report says of itself.
type Completeness struct {
	From       time.Time // by the platform's clock
	To         time.Time // up to here the report has the windows of every live host
	Windows    uint64    // merged
	Missing    []Gap
	Open       []Open
	Folded     uint64   // deliveries that are summed without their caller or service
	LeftOut    uint64   // single records that were not kept
	Unreadable []string // objects that could not be read
}

// Complete reports whether every window up to To is in the report.
func (c Completeness) Complete() bool {
	return len(c.Missing) == 0 && len(c.Open) == 0 && len(c.Unreadable) == 0
}

// presence is what is known of the hosts: the spans of windows that are there,
// the incarnations that were seen by others, and those that live now.
type presence struct {
	spans []Span
	seen  []Incarnation
	live  []Incarnation
	from  time.Time
	now   time.Time
	late  time.Duration // after which a live host's next window is overdue
}

// judge fills what is missing.
func (p presence) judge(c *Completeness) {
	byHost := coveredBy(joinSpans(p.spans))
	c.To = p.now
	for _, i := range p.incarnations(byHost) {
		spans := byHost[i]
		alive := slices.Contains(p.live, i)
		if len(spans) == 0 {
			c.Open = append(c.Open, Open{Incarnation: i, Ending: NeverWrote})
			continue
		}
		c.Missing = append(c.Missing, p.gaps(spans)...)
		p.end(c, spans[len(spans)-1], alive)
	}
}

// punctual returns the incarnations whose next window is not overdue.
func (p presence) punctual() []Incarnation {
	var all []Incarnation
	for _, s := range p.spans {
		if !s.Final && !s.End.Add(p.late).Before(p.now) {
			all = append(all, s.Incarnation)
		}
	}
	return all
}

func (p presence) incarnations(byHost covered) []Incarnation {
	all := slices.Concat(p.seen, p.live)
	for i := range byHost {
		all = append(all, i)
	}
	slices.SortFunc(all, Incarnation.compare)
	return slices.Compact(all)
}

// gaps returns what is missing between spans, and before the first one if it
// begins after the report does.
func (p presence) gaps(spans []Span) []Gap {
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

// end judges the newest window of an incarnation.
func (p presence) end(c *Completeness, last Span, alive bool) {
	switch {
	case last.Final:
	case !alive:
		c.Open = append(c.Open, Open{Incarnation: last.Incarnation, Ending: EndedUnwritten, After: last.End})
	case last.End.Add(p.late).Before(p.now):
		c.Open = append(c.Open, Open{Incarnation: last.Incarnation, Ending: Late, After: last.End})
	case last.End.Before(c.To):
		c.To = last.End
	}
}
