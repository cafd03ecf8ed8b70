package rollouts

import (
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// process is one process of a host: its counts begin at 0.
type process struct {
	host        string
	incarnation uint64
}

// countsKey identifies the counts of one order on one host.
type countsKey struct{ route, target string }

func keyOf(c rollout.Counts) countsKey { return countsKey{c.Route, c.Target} }

// collected is the evidence of all hosts on one order, as this host has received it.
type collected struct {
	processes  map[process]*totals
	receivedAt time.Time // of the latest report
}

// totals is the whole evidence of one process.
type totals struct {
	rollout.HostEvidence
	index      map[countsKey]int // of each of the counts
	receivedAt time.Time         // of the latest report
}

// merge adds a report of a process, which has only the counts that changed, and returns its whole
// evidence. A report that was delayed takes nothing back: counts and phases only grow.
func (c *collected) merge(now time.Time, p process, report rollout.HostEvidence) rollout.HostEvidence {
	c.receivedAt = now
	known := c.processes[p]
	if known == nil {
		known = &totals{HostEvidence: rollout.HostEvidence{ID: report.ID, Age: unknownAge}, index: map[countsKey]int{}}
		c.processes[p] = known
	}
	known.receivedAt = now
	if report.Phase >= known.Phase {
		known.Phase, known.OldInFlight = report.Phase, report.OldInFlight
		if report.Reason != "" {
			known.Reason = report.Reason
		}
	}
	if report.Age >= 0 {
		known.Age = report.Age
	}
	for _, counts := range report.Counts {
		i, exists := known.index[keyOf(counts)]
		switch {
		case !exists:
			known.index[keyOf(counts)] = len(known.Counts)
			known.Counts = append(known.Counts, counts)
		case counts.Sent >= known.Counts[i].Sent && counts.Failed >= known.Counts[i].Failed:
			known.Counts[i] = counts
		}
	}
	return known.whole()
}

// whole returns a copy of the evidence, which does not change with later reports.
func (t *totals) whole() rollout.HostEvidence {
	e := t.HostEvidence
	e.Counts = slices.Clone(e.Counts)
	return e
}

// heardFrom returns the number of hosts with a report within directiveValidity.
func (c *collected) heardFrom(now time.Time) int {
	hosts := map[string]bool{}
	for p, t := range c.processes {
		if now.Sub(t.receivedAt) <= directiveValidity {
			hosts[p.host] = true
		}
	}
	return len(hosts)
}

// sums is the requests and failures on both sides of an order.
type sums struct{ oldRequests, oldBad, newRequests, newBad uint64 }

func (s *sums) add(e rollout.Evidence) {
	for _, c := range e.Counts {
		if c.Target == "" {
			s.oldRequests, s.oldBad = s.oldRequests+c.Sent, s.oldBad+c.Failed
		} else {
			s.newRequests, s.newBad = s.newRequests+c.Sent, s.newBad+c.Failed
		}
	}
}

// rate returns the part of requests that were bad.
func rate(bad, requests uint64) float64 {
	if requests == 0 {
		return 0
	}
	return float64(bad) / float64(requests)
}
