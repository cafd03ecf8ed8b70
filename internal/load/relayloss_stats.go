package load

import (
	"fmt"
	"math"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

const (
	recoveryWindow    = time.Second
	recoveryStep      = 100 * time.Millisecond
	recoveryTolerance = 0.10 // relative difference from the baseline, of p99 and of the share of complete answers
)

// interval is a time span of a run, relative to the event.
type interval struct{ from, to time.Duration }

var reportIntervals = []interval{
	{-baselineDuration, 0},
	{0, 500 * time.Millisecond},
	{500 * time.Millisecond, time.Second},
	{time.Second, 2 * time.Second},
	{2 * time.Second, 4 * time.Second},
	{4 * time.Second, 6 * time.Second},
	{6 * time.Second, time.Hour},
}

func (p interval) String() string {
	switch {
	case p.from < 0 && p.to == 0:
		return "before"
	case p.to >= time.Hour:
		return fmt.Sprintf("from %g s", p.from.Seconds())
	}
	return fmt.Sprintf("%g to %g s", p.from.Seconds(), p.to.Seconds())
}

// reports returns a report of each interval and, if not brief, of each 100 ms
// around the event.
func (cs lossRuns) reports(t lossTrial, brief bool) []Report {
	var out []Report
	for _, u := range t.urgencies() {
		for _, p := range reportIntervals {
			if p.from < t.afterEvent {
				out = append(out, cs.report(t, u, interval{p.from, min(p.to, t.afterEvent)}, p.String()))
			}
		}
	}
	if brief {
		return out
	}
	for at := -300 * time.Millisecond; at < 3*time.Second; at += tallyInterval {
		out = append(out, cs.report(t, query.Interactive, interval{at, at + tallyInterval}, fmt.Sprintf("at %+.1f s", at.Seconds())))
	}
	return out
}

func (t lossTrial) urgencies() []query.Urgency {
	if t.deferrableLoad > 0 {
		return []query.Urgency{query.Interactive, query.Deferrable}
	}
	return []query.Urgency{query.Interactive}
}

func (cs lossRuns) report(t lossTrial, u query.Urgency, p interval, when string) Report {
	rec := newRecorder()
	offered := 0
	for _, x := range cs.samples(u, p) {
		offered++
		rec.add(x.latency, x.result)
	}
	span := (p.to - p.from) * time.Duration(len(cs))
	name := fmt.Sprintf("%s, %s", t.name, when)
	if t.deferrableLoad > 0 {
		name = fmt.Sprintf("%s, %s, %s", t.name, u, when)
	}
	r := rec.report(name, float64(offered)/span.Seconds(), offered, span)
	cs.counters(p).fillReport(&r)
	return r
}

// samples returns the searches of a class that started in the interval.
func (cs lossRuns) samples(u query.Urgency, p interval) []sample {
	var out []sample
	for _, c := range cs {
		for _, x := range c.samples {
			at := x.start - baselineDuration
			if x.urgency == u && at >= p.from && at < p.to {
				out = append(out, x)
			}
		}
	}
	return out
}

// counters returns the increase of the counters of hosts and targets in the
// interval, summed over the runs.
func (cs lossRuns) counters(p interval) tally {
	var sum tally
	for _, c := range cs {
		from, to := c.tallyIndexes(p)
		d := c.tallies[to].minus(c.tallies[from])
		sum.attempts += d.attempts
		sum.firstAttempts += d.firstAttempts
		sum.sheds += d.sheds
		sum.maxConnections = max(sum.maxConnections, d.maxConnections)
		sum.connectionsOpened += d.connectionsOpened
		sum.connectionsRefused += d.connectionsRefused
	}
	return sum
}

func (c *lossRun) tallyIndexes(p interval) (from, to int) {
	step := func(at time.Duration) int {
		return min(max(int((at+baselineDuration)/tallyInterval), 0), len(c.tallies)-1)
	}
	return step(p.from), step(p.to)
}

// survivorsDone returns the number of shard requests completed by the targets
// that are not lost at the time of the call.
func (s *lossSite) survivorsDone() uint64 {
	var n uint64
	for _, t := range s.targets {
		s.mu.Lock()
		_, lost := s.lostTargets[t.ID()]
		s.mu.Unlock()
		if !lost {
			n += t.Counters().Count(target.ResultDone)
		}
	}
	return n
}

// survivorsUtilization returns the fraction of the surviving targets' slots that
// was busy in an interval after the event.
func (cs lossRuns) survivorsUtilization(p interval) float64 {
	busy, slots := 0.0, 0.0
	for _, c := range cs {
		from, to := c.tallyIndexes(p)
		busy += float64(c.survivorsDone[to]-c.survivorsDone[from]) * meanServiceTime.Seconds()
		left := len(c.site.targets) - len(c.site.lostTargets)
		slots += float64(left*c.site.cfg.kind.slots) * (p.to - p.from).Seconds()
	}
	return ratio(busy, slots)
}

// recoveryTime returns the time from start, which is at or after the event, until
// p99 and the share of complete answers in each window of a second stay within
// 10 % of the baseline. The baseline is the maximum over the windows before the
// event, as a window has few searches. If the run never recovers, the result is
// the time to its end.
func (cs lossRuns) recoveryTime(t lossTrial, start time.Duration) time.Duration {
	var before searchStats
	for at := -baselineDuration; at+recoveryWindow < 0; at += recoveryWindow {
		w := cs.window(at)
		before.p99 = max(before.p99, w.p99)
		before.complete = max(before.complete, w.complete)
	}
	recovered := start
	for at := start; at+recoveryWindow <= t.afterEvent; at += recoveryStep {
		now := cs.window(at)
		slow := float64(now.p99) > (1+recoveryTolerance)*float64(before.p99)
		if slow || now.complete < (1-recoveryTolerance)*before.complete {
			recovered = at + recoveryStep
		}
	}
	if recovered+recoveryWindow > t.afterEvent {
		return t.afterEvent - start
	}
	return recovered - start
}

func (cs lossRuns) window(at time.Duration) searchStats {
	return summarize(cs.samples(query.Interactive, interval{at, at + recoveryWindow}))
}

// searchStats are statistics of a set of searches.
type searchStats struct {
	p99                time.Duration // of answers
	answered, complete float64       // fraction of the offered searches
	coverage           float64       // of answers: coverage reached over possible coverage
	wrongCoverage      int
}

func summarize(all []sample) searchStats {
	var latencies []time.Duration
	var s searchStats
	reached, possible := 0.0, 0.0
	for _, x := range all {
		if !x.answered {
			continue
		}
		latencies = append(latencies, x.latency)
		s.answered++
		if x.result.coverage >= 1 {
			s.complete++
		}
		if x.wrong {
			s.wrongCoverage++
		}
		reached += x.result.coverage
		possible += x.possibleCoverage
	}
	s.answered = ratio(s.answered, float64(len(all)))
	s.complete = ratio(s.complete, float64(len(all)))
	s.coverage = ratio(reached, possible)
	slices.Sort(latencies)
	if n := len(latencies); n > 0 {
		s.p99 = latencies[min(int(math.Ceil(0.99*float64(n)))-1, n-1)]
	}
	return s
}
