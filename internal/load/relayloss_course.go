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
	steadyWindow = time.Second
	steadyStep   = 100 * time.Millisecond
	steadyPart   = 0.10 // p99 and whole answers within it of before
)

// part is a span of a course, counted from the event.
type part struct{ from, to time.Duration }

var lossParts = []part{
	{-beforeLoss, 0},
	{0, 500 * time.Millisecond},
	{500 * time.Millisecond, time.Second},
	{time.Second, 2 * time.Second},
	{2 * time.Second, 4 * time.Second},
	{4 * time.Second, 6 * time.Second},
	{6 * time.Second, time.Hour},
}

func (p part) String() string {
	switch {
	case p.from < 0 && p.to == 0:
		return "before"
	case p.to >= time.Hour:
		return fmt.Sprintf("from %g s", p.from.Seconds())
	}
	return fmt.Sprintf("%g to %g s", p.from.Seconds(), p.to.Seconds())
}

// reports tells the course by parts and, if not brief, for each 100 ms around
// the event.
func (cs courses) reports(t lossTrial, brief bool) []Report {
	var out []Report
	for _, u := range t.urgencies() {
		for _, p := range lossParts {
			if p.from < t.after {
				out = append(out, cs.report(t, u, part{p.from, min(p.to, t.after)}, p.String()))
			}
		}
	}
	if brief {
		return out
	}
	for at := -300 * time.Millisecond; at < 3*time.Second; at += tallyEvery {
		out = append(out, cs.report(t, query.Interactive, part{at, at + tallyEvery}, fmt.Sprintf("at %+.1f s", at.Seconds())))
	}
	return out
}

func (t lossTrial) urgencies() []query.Urgency {
	if t.deferrable > 0 {
		return []query.Urgency{query.Interactive, query.Deferrable}
	}
	return []query.Urgency{query.Interactive}
}

func (cs courses) report(t lossTrial, u query.Urgency, p part, when string) Report {
	rec := newRecording()
	offered := 0
	for _, x := range cs.samples(u, p) {
		offered++
		rec.add(x.latency, x.result)
	}
	span := (p.to - p.from) * time.Duration(len(cs))
	name := fmt.Sprintf("%s, %s", t.name, when)
	if t.deferrable > 0 {
		name = fmt.Sprintf("%s, %s, %s", t.name, u, when)
	}
	r := rec.report(name, float64(offered)/span.Seconds(), offered, span)
	cs.counted(p).into(&r)
	return r
}

// samples returns the searches of a class that began in the part.
func (cs courses) samples(u query.Urgency, p part) []sample {
	var out []sample
	for _, c := range cs {
		for _, x := range c.samples {
			at := x.start - beforeLoss
			if x.urgency == u && at >= p.from && at < p.to {
				out = append(out, x)
			}
		}
	}
	return out
}

// counted sums what hosts and targets counted in the part.
func (cs courses) counted(p part) tally {
	var sum tally
	for _, c := range cs {
		from, to := c.steps(p)
		d := c.tallies[to].since(c.tallies[from])
		sum.attempts += d.attempts
		sum.first += d.first
		sum.sheds += d.sheds
		sum.connectionsMost = max(sum.connectionsMost, d.connectionsMost)
		sum.connectionsOpen += d.connectionsOpen
		sum.connectionsSpurn += d.connectionsSpurn
	}
	return sum
}

func (c *course) steps(p part) (from, to int) {
	step := func(at time.Duration) int {
		return min(max(int((at+beforeLoss)/tallyEvery), 0), len(c.tallies)-1)
	}
	return step(p.from), step(p.to)
}

// ranAtSurvivors returns the shard requests that targets ran which will not be
// lost, or were not yet.
func (s *lossSite) ranAtSurvivors() uint64 {
	var n uint64
	for _, t := range s.targets {
		s.mu.Lock()
		_, lost := s.lost[t.ID()]
		s.mu.Unlock()
		if !lost {
			n += t.Counters().Count(target.ResultDone)
		}
	}
	return n
}

// survivorsLoad returns the part of the surviving targets' slots that was
// busy, after the event.
func (cs courses) survivorsLoad(p part) float64 {
	busy, slots := 0.0, 0.0
	for _, c := range cs {
		from, to := c.steps(p)
		busy += float64(c.done[to]-c.done[from]) * serviceMean.Seconds()
		left := len(c.site.targets) - len(c.site.lost)
		slots += float64(left*c.site.cfg.place.slots) * (p.to - p.from).Seconds()
	}
	return ratio(busy, slots)
}

// steady returns the time from which on p99 and the share of whole answers, in
// each window of a second, stay within 10 % of before, counted from a time
// after the event. Of before the window with the highest p99 counts, as windows
// are few searches. What never gets steady takes to the end of the trial.
func (cs courses) steady(t lossTrial, from time.Duration) time.Duration {
	var before sums
	for at := -beforeLoss; at+steadyWindow < 0; at += steadyWindow {
		w := cs.window(at)
		before.p99 = max(before.p99, w.p99)
		before.whole = max(before.whole, w.whole)
	}
	steady := from
	for at := from; at+steadyWindow <= t.after; at += steadyStep {
		now := cs.window(at)
		slow := float64(now.p99) > (1+steadyPart)*float64(before.p99)
		if slow || now.whole < (1-steadyPart)*before.whole {
			steady = at + steadyStep
		}
	}
	if steady+steadyWindow > t.after {
		return t.after - from
	}
	return steady - from
}

func (cs courses) window(at time.Duration) sums {
	return summary(cs.samples(query.Interactive, part{at, at + steadyWindow}))
}

// sums of some searches.
type sums struct {
	p99             time.Duration // of answers
	answered, whole float64       // over offered
	coverage        float64       // reached over possible, of answers
	untrue          int
}

func summary(all []sample) sums {
	var latencies []time.Duration
	var s sums
	reached, possible := 0.0, 0.0
	for _, x := range all {
		if !x.answered {
			continue
		}
		latencies = append(latencies, x.latency)
		s.answered++
		if x.result.coverage >= 1 {
			s.whole++
		}
		if x.untrue {
			s.untrue++
		}
		reached += x.result.coverage
		possible += x.possible
	}
	s.answered = ratio(s.answered, float64(len(all)))
	s.whole = ratio(s.whole, float64(len(all)))
	s.coverage = ratio(reached, possible)
	slices.Sort(latencies)
	if n := len(latencies); n > 0 {
		s.p99 = latencies[min(int(math.Ceil(0.99*float64(n)))-1, n-1)]
	}
	return s
}
