package gateway

import (
	"context"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// Gathered is the result of gathering some shards of a query, complete or partial.
type Gathered struct {
	Signatures    []string // of the parts received
	Records       []byte   // greatest records of the parts, in descending order
	Outcome       outcome.Outcome
	MissingShards string // some of the missing shards with the targets tried, for the log
	Reason        string // why there is no answer
	Attempts      int    // attempts at targets
	Cut           bool   // the answer became due before all parts were there
	PartBytes     int    // total size of the parts
	LostShards    int    // shards that can't be answered any more
	Helper        string // host that gathered the shards; empty: this one
	// QuarantineRecords is the helper's quarantine records of the request, if targets ended under it.
	QuarantineRecords []quarantine.Record
}

// LossLimits limits the parts of a query that may be lost.
type LossLimits struct {
	MaxLost       int // of the whole query; once more are lost it is abandoned
	MaxUnreported int // of one cell before the delegating host is notified; those of all cells together don't exceed that of the query
}

// part is the final result of one shard.
type part struct {
	shard int
	ok    bool
	res   result
	run   *run
}

// partCollector collects the parts of some shards of a query.
type partCollector struct {
	route      *routing.Route // its Shards are the ones to gather
	answered   int
	failed     int
	hasPart    []bool // by index of the shard
	signatures []string
	top        topRecords
	partBytes  int
	combined   outcome.Outcome
	abandoned  bool // no shard gets further attempts
}

func newPartCollector(route *routing.Route) *partCollector {
	return &partCollector{route: route, hasPart: make([]bool, len(route.Shards)), top: topRecords{limit: route.TopK}}
}

// gatherLocally sends a query to one target of each of the route's shards and merges the parts. It
// reports a partial result when the answer is due and with each shard that ends after that, or
// earlier once more shards are lost than need not be reported. It returns when all shards have ended,
// when more are lost than the whole answer may lack, at the deadline, or when ctx is done.
// otherHostAttempts is how often other hosts may have sent the query to each shard.
func (g *Gateway) gatherLocally(ctx context.Context, r *request, route *routing.Route, lossLimits LossLimits, otherHostAttempts int, report func(Gathered)) Gathered {
	collector := newPartCollector(route)
	runs := g.newRuns(r, route, otherHostAttempts)
	parts := make(chan part, len(runs))
	for i, run := range runs {
		go func() {
			res, ok := run.execute(ctx)
			parts <- part{shard: i, ok: ok, res: res, run: run}
		}()
	}
	result := func() Gathered { return collector.result(runs, int(r.attempts.Load())) }
	finish := func() Gathered {
		collector.giveUp(runs)
		return result()
	}
	answerTimer := time.NewTimer(time.Until(r.answerBy))
	defer answerTimer.Stop()
	deadlineTimer := time.NewTimer(time.Until(r.deadline))
	defer deadlineTimer.Stop()
	late := false
	for !collector.ended() && collector.failed <= lossLimits.MaxLost {
		select {
		case p := <-parts:
			collector.add(p)
			if !collector.ended() && (late || !p.ok && collector.failed > lossLimits.MaxUnreported) {
				report(result())
			}
		case <-answerTimer.C:
			late = true
			report(result())
		case <-deadlineTimer.C:
			return finish()
		case <-ctx.Done():
			return finish()
		}
	}
	return finish()
}

// newRuns returns a run for each shard of a query.
func (g *Gateway) newRuns(r *request, route *routing.Route, otherHostAttempts int) []*run {
	runs := make([]*run, len(route.Shards))
	for i, name := range route.Shards {
		runs[i] = g.newRun(g.registry.service(name), r, route)
		runs[i].otherHostAttempts, runs[i].reached = otherHostAttempts, otherHostAttempts
	}
	return runs
}

func (c *partCollector) add(p part) {
	if !p.ok {
		c.failed++
		c.combined = outcome.Combine(c.combined, p.run.sends.outcome())
		return
	}
	c.answered++
	c.hasPart[p.shard] = true
	c.signatures = append(c.signatures, p.res.verdict.Signature)
	c.top.add(p.res.answer.Body)
	c.partBytes += len(p.res.answer.Body)
	c.combined = outcome.Combine(c.combined, outcome.Done)
}

// ended reports whether every shard has ended.
func (c *partCollector) ended() bool { return c.answered+c.failed == len(c.route.Shards) }

// giveUp abandons the runs of the shards that have not ended, which settles whether they ran.
func (c *partCollector) giveUp(runs []*run) {
	for _, run := range runs {
		c.combined = outcome.Combine(c.combined, run.sends.giveUp())
	}
	c.abandoned = true
}

// result returns the current result. Shards that have not ended may be running, so a query that is
// not abandoned can't have the outcome that it did not run.
func (c *partCollector) result(runs []*run, attempts int) Gathered {
	out := Gathered{
		Signatures: append([]string(nil), c.signatures...), Records: c.top.joined(), PartBytes: c.partBytes,
		Outcome: c.combined, MissingShards: c.missingShards(runs), Attempts: attempts, Cut: !c.ended(), LostShards: c.failed,
	}
	if !c.ended() && !c.abandoned {
		out.Outcome = outcome.Combine(out.Outcome, outcome.Unknown)
	}
	return out
}

// maxLoggedMissing is the number of missing shards that a log line names.
const maxLoggedMissing = 4

// missingShards returns some of the missing shards with the targets tried, for the log.
func (c *partCollector) missingShards(runs []*run) string {
	var names []string
	for i, ok := range c.hasPart {
		if !ok && len(names) < maxLoggedMissing {
			names = append(names, runs[i].triedTargets())
		}
	}
	return strings.Join(names, " ")
}
