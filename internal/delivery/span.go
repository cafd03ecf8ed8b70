package delivery

import (
	"cmp"
	"slices"
	"time"
)

// Span is a range of consecutive stored windows of one incarnation. First and
// Last are inclusive.
type Span struct {
	Incarnation
	First uint64
	Last  uint64
	Start time.Time // of the first window
	End   time.Time // of the last window
	Final bool      // the last window is the final one of the incarnation
}

func spanOf(w *Window) Span {
	return Span{Incarnation: w.Incarnation, First: w.Number, Last: w.Number, Start: w.Start, End: w.End, Final: w.Final}
}

func (s Span) contains(number uint64) bool { return s.First <= number && number <= s.Last }

// joinSpans sorts spans and merges those that are adjacent or overlap.
func joinSpans(spans []Span) []Span {
	sorted := slices.SortedFunc(slices.Values(spans), func(a, b Span) int {
		return cmp.Or(a.compare(b.Incarnation), cmp.Compare(a.First, b.First))
	})
	var joined []Span
	for _, s := range sorted {
		n := len(joined) - 1
		if n < 0 || joined[n].Incarnation != s.Incarnation || s.First > joined[n].Last+1 {
			joined = append(joined, s)
			continue
		}
		if s.Last > joined[n].Last {
			joined[n].Last, joined[n].End = s.Last, s.End
		}
		joined[n].Final = joined[n].Final || s.Final
	}
	return joined
}

func (i Incarnation) compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.Host, o.Host), cmp.Compare(i.Number, o.Number))
}

// windowSet is a set of windows, as spans by incarnation.
type windowSet map[Incarnation][]Span

func windowSetOf(spans []Span) windowSet {
	c := windowSet{}
	for _, s := range spans {
		c[s.Incarnation] = append(c[s.Incarnation], s)
	}
	return c
}

func (c windowSet) contains(i Incarnation, number uint64) bool {
	return slices.ContainsFunc(c[i], func(s Span) bool { return s.contains(number) })
}

// containsAll reports whether a single span of the set contains every window of
// s.
func (c windowSet) containsAll(s Span) bool {
	return slices.ContainsFunc(c[s.Incarnation], func(t Span) bool { return t.contains(s.First) && t.contains(s.Last) })
}
