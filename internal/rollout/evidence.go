package rollout

import (
	"maps"
	"slices"
	"time"
)

const (
	// windowLength is the least time that a window of the evidence covers: two reports of each host.
	windowLength = 500 * time.Millisecond
	// maxWindows bounds the windows of an order, and with them the cost of a verdict. The windows
	// of long orders are longer.
	maxWindows = 64
)

// process identifies one process of a host.
type process struct {
	host        string
	incarnation uint64
}

// countKey identifies what Counts belong to; the target is empty for the old version.
type countKey struct{ route, target string }

// tally is a sum of Counts of several processes.
type tally struct {
	sent      uint64
	failed    uint64
	latencies Histogram
}

// answers returns the number of attempts with a result: failed, answered or given up.
func (t *tally) answers() float64 {
	n := t.failed
	for _, count := range t.latencies {
		n += uint64(count)
	}
	return float64(n)
}

// add adds another tally.
func (t *tally) add(other *tally) {
	t.sent += other.sent
	t.failed += other.failed
	for i, n := range other.latencies {
		t.latencies[i] += n
	}
}

// raise sets every count to that of c where it is greater, and returns by how much it was, and
// whether a count was less: then c is of an earlier report. Counts of one process only grow, so the
// order in which its reports arrive makes no difference.
func (t *tally) raise(c Counts) (grown tally, earlier bool) {
	grown.sent, grown.failed = c.Sent-min(c.Sent, t.sent), c.Failed-min(c.Failed, t.failed)
	earlier = c.Sent < t.sent || c.Failed < t.failed
	for i, n := range c.Latencies {
		grown.latencies[i] = n - min(n, t.latencies[i])
		earlier = earlier || n < t.latencies[i]
	}
	t.add(&grown)
	return grown, earlier
}

// report is what one process has reported so far.
type report struct {
	at          time.Time // of the newest report
	phase       Phase
	oldInFlight int
	counts      map[countKey]*tally
}

// window is what all hosts reported in one span of time.
type window struct {
	begin   time.Time
	weight  float64 // span of the reported results, in window lengths: above 1 where totals of a longer time arrive at once
	tallies map[countKey]*tally
}

// evidence sums the reports of all processes, as totals and by window of time.
type evidence struct {
	length    time.Duration // of a window
	processes map[process]*report
	newest    map[string]uint64 // incarnation, by host
	totals    map[countKey]*tally
	windows   []*window // the last one is open
	// newTargets is the greatest number of new targets that were usable at a time.
	newTargets int
	oldSent    uint64 // attempts at targets of other versions
	newSent    uint64 // attempts at new targets: the exposure
}

func newEvidence(duration time.Duration) *evidence {
	return &evidence{
		length:    max(windowLength, duration/maxWindows),
		processes: map[process]*report{},
		newest:    map[string]uint64{},
		totals:    map[countKey]*tally{},
	}
}

// advance opens a new window if the last one is over.
func (e *evidence) advance(now time.Time) {
	if n := len(e.windows); n > 0 && now.Sub(e.windows[n-1].begin) < e.length {
		return
	}
	if len(e.windows) >= 2*maxWindows {
		return // the order is long over; the last window takes the rest
	}
	e.windows = append(e.windows, &window{begin: now, weight: 1, tallies: map[countKey]*tally{}})
}

// observe adds a report.
func (e *evidence) observe(now time.Time, host string, incarnation uint64, h HostEvidence) {
	e.advance(now)
	id := process{host, incarnation}
	r := e.processes[id]
	if r == nil {
		r = &report{counts: map[countKey]*tally{}}
		e.processes[id] = r
	}
	e.newest[host] = max(e.newest[host], incarnation)
	late := false // an earlier report that arrives after a newer one
	open := e.windows[len(e.windows)-1]
	for _, c := range h.Counts {
		key := countKey{c.Route, c.Target}
		grown, earlier := tallyOf(r.counts, key).raise(c)
		late = late || earlier
		tallyOf(e.totals, key).add(&grown)
		tallyOf(open.tallies, key).add(&grown)
		if c.Target == "" {
			e.oldSent += grown.sent
		} else {
			e.newSent += grown.sent
		}
	}
	r.phase = max(r.phase, h.Phase)
	if !late {
		r.at, r.oldInFlight = now, h.OldInFlight
	}
}

// tallyOf returns the tally of a key, which it adds if it is missing.
func tallyOf(all map[countKey]*tally, key countKey) *tally {
	t := all[key]
	if t == nil {
		t = &tally{}
		all[key] = t
	}
	return t
}

// current returns the newest report of the newest process of a host; nil if there is none.
func (e *evidence) current(host string) *report {
	return e.processes[process{host, e.newest[host]}]
}

// routes returns the routes with results, sorted.
func (e *evidence) routes() []string {
	all := map[string]bool{}
	for key := range e.totals {
		all[key.route] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// targets returns the new targets with results on a route, sorted.
func (e *evidence) targets(route string) []string {
	var all []string
	for key, t := range e.totals {
		if key.route == route && key.target != "" && t.answers() > 0 {
			all = append(all, key.target)
		}
	}
	slices.Sort(all)
	return all
}
