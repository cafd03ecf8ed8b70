package rollout

import "math"

const (
	// lateFactor is the multiple of the old version's median above which a response is late.
	lateFactor = 2.5
	// minOldAnswers is the number of old answers below which the median and the rate of the old
	// version say nothing: latencies are not judged, and failures are compared with absoluteRate.
	minOldAnswers = 10
	// absoluteRate is the rate of bad responses that a version without an old one to compare with
	// may have.
	absoluteRate = 0.1
	// lowestMedian is the position (see position) below which medians are not distinguished: 0.5 ms.
	lowestMedian = -2.0
)

// cell is the results of one side in one window. Numbers of answers are fractions where a bucket of
// the histogram lies on both sides of the threshold of late answers.
type cell struct {
	answers float64
	failed  float64
	bad     float64 // failed or late
}

// sample is the evidence on one route, classified.
type sample struct {
	route   string
	targets []string // new targets with answers, or the last of each group; see grouped
	seen    int      // new targets with answers
	known   int      // new targets that have been usable
	weights []float64
	old     []cell   // by window
	new     [][]cell // by window and target
	oldAll  cell
	newAll  cell
	// oldQuiet and newQuiet are the totals of the windows in which the old version was as usual. In a
	// fault of old targets, or of both sides, little can be learned about the new version.
	oldQuiet cell
	newQuiet cell
	quiet    []bool
	perNew   []cell // totals by target
	judged   bool   // the old version has enough answers to compare latencies with
}

// sampleOf classifies the evidence on a route.
func (e *evidence) sampleOf(route string) *sample {
	s := &sample{route: route, targets: e.targets(route), known: e.newTargets}
	s.seen = len(s.targets)
	old := e.totals[countKey{route, ""}]
	late := math.Inf(1)
	if old != nil && old.answers() >= minOldAnswers {
		late, s.judged = medianPosition(&old.latencies)+math.Log(lateFactor)/math.Log(histogramGrowth), true
	}
	s.perNew = make([]cell, len(s.targets))
	for _, w := range e.windows {
		row := make([]cell, len(s.targets))
		for i, target := range s.targets {
			row[i] = classify(w.tallies[countKey{route, target}], late)
			s.perNew[i].add(row[i])
			s.newAll.add(row[i])
		}
		oldCell := classify(w.tallies[countKey{route, ""}], late)
		s.oldAll.add(oldCell)
		s.old, s.new, s.weights = append(s.old, oldCell), append(s.new, row), append(s.weights, w.weight)
	}
	s.findQuiet()
	return s
}

const (
	// minSickAnswers and minSickRate are the bad answers, and their rate, of the old version in a
	// window and its neighbors from which on it is not as usual.
	minSickAnswers = 4
	minSickRate    = 0.2
	// minQuietPart is the part of the old answers that quiet windows must hold. With less, what is seen
	// is usual.
	minQuietPart = 0.2
)

// findQuiet sums the windows in which the old version was as usual.
func (s *sample) findQuiet() {
	s.oldQuiet, s.newQuiet, s.quiet = cell{}, cell{}, make([]bool, len(s.old))
	for w, row := range s.new {
		around := s.oldAround(w)
		if around.bad >= minSickAnswers && around.rate() >= minSickRate {
			continue
		}
		s.quiet[w] = true
		s.oldQuiet.add(s.old[w])
		for _, c := range row {
			s.newQuiet.add(c)
		}
	}
	if s.oldQuiet.answers < minQuietPart*s.oldAll.answers {
		s.oldQuiet, s.newQuiet = s.oldAll, s.newAll
		for w := range s.quiet {
			s.quiet[w] = true
		}
	}
}

// oldAround returns the old version's results in a window and its neighbors.
func (s *sample) oldAround(w int) cell {
	var c cell
	for i := max(w-1, 0); i <= min(w+1, len(s.old)-1); i++ {
		c.add(s.old[i])
	}
	return c
}

func (c *cell) add(other cell) {
	c.answers += other.answers
	c.failed += other.failed
	c.bad += other.bad
}

// rate returns the rate of bad answers.
func (c cell) rate() float64 {
	if c.answers == 0 {
		return 0
	}
	return c.bad / c.answers
}

// classify counts the failed and the late answers of a tally; late is the position above which an
// answer is late.
func classify(t *tally, late float64) cell {
	if t == nil {
		return cell{}
	}
	c := cell{answers: t.answers(), failed: float64(t.failed), bad: float64(t.failed)}
	for i, n := range t.latencies {
		if n > 0 {
			c.bad += float64(n) * lateFraction(i, late)
		}
	}
	return c
}

// lateFraction returns which part of a bucket counts as late. Within a bucket the logarithms of the
// latencies are taken as evenly spread, for the old version as for the new one.
func lateFraction(bucket int, late float64) float64 {
	if bucket == histogramBuckets-1 && late < histogramBuckets-1 {
		return 1
	}
	return min(max(float64(bucket)-late, 0), 1)
}

// medianPosition returns the median of a histogram as a position: bucket i ends at position i, so
// that positions are logarithms of latencies.
func medianPosition(h *Histogram) float64 {
	var all float64
	for _, n := range h {
		all += float64(n)
	}
	half := all / 2
	for i, n := range h {
		if half <= float64(n) && n > 0 {
			part := half / float64(n)
			if i == 0 {
				return max(math.Log(part)/math.Log(histogramGrowth), lowestMedian)
			}
			return float64(i-1) + part
		}
		half -= float64(n)
	}
	return lowestMedian
}
