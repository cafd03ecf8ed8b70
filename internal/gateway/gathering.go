package gateway

import (
	"context"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// Gathered is what one host has gathered of some shards of a query.
type Gathered struct {
	Signatures []string // of the parts; none if there is no answer
	Records    []byte   // the greatest of the parts, greatest first
	Outcome    outcome.Outcome
	Lacking    string // the missing shards with the targets asked, a few of them
	Reason     string // why there is no answer
	Attempts   int    // at targets
	Cut        bool   // the objective ended the wait for missing parts
	PartBytes  int    // of the parts together
	Failed     int    // shards that are lost
	Helper     string // host that gathered them, empty: this one
	// Known is what a helper knows of the query, if targets ended under it.
	Known []quarantine.Record
}

// Missing bounds the parts that may be lost of a query's shards.
type Missing struct {
	Most   int // of the whole query; once more are lost nothing is waited for
	Untold int // of one cell before the host that answers is told: too few to be Most in sum
}

// part is what one shard of a query ended with.
type part struct {
	shard int
	ok    bool
	res   result
	run   *run
}

// partCollector is the parts of some shards of a query as they come.
type partCollector struct {
	route      *routing.Route // its Shards are those to gather
	answered   int
	failed     int
	hasPart    []bool // by shard
	signatures []string
	top        topRecords
	partBytes  int
	outcomes   outcome.Outcome
	abandoned  bool // no shard is asked any more
}

func newPartCollector(route *routing.Route) *partCollector {
	return &partCollector{route: route, hasPart: make([]bool, len(route.Shards)), top: topRecords{limit: route.TopK}}
}

// gatherLocally sends a query to one target of each shard of the route and merges the
// parts. Once the answer is due it tells what it has, and again with each shard that ends
// later, or earlier if more are lost than need not be told. It ends when all shards have
// ended, when more are lost than the whole answer may lack, or with ctx. asked is how often
// other hosts may have asked each shard.
func (g *Gateway) gatherLocally(ctx context.Context, r *request, route *routing.Route, lossLimits Missing, otherHostAttempts int, report func(Gathered)) Gathered {
	collector := newPartCollector(route)
	runs := g.newRuns(r, route, otherHostAttempts)
	parts := make(chan part, len(runs))
	for i, run := range runs {
		go func() {
			res, ok := run.do(ctx)
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
	for !collector.ended() && collector.failed <= lossLimits.Most {
		select {
		case p := <-parts:
			collector.add(p)
			if !collector.ended() && (late || !p.ok && collector.failed > lossLimits.Untold) {
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
		runs[i].otherHostAttempts, runs[i].sent = otherHostAttempts, otherHostAttempts
	}
	return runs
}

func (g *partCollector) add(p part) {
	if !p.ok {
		g.failed++
		g.outcomes = outcome.Combine(g.outcomes, p.run.sends.outcome())
		return
	}
	g.answered++
	g.hasPart[p.shard] = true
	g.signatures = append(g.signatures, p.res.verdict.Signature)
	g.top.add(p.res.answer.Body)
	g.partBytes += len(p.res.answer.Body)
	g.outcomes = outcome.Combine(g.outcomes, outcome.Done)
}

// ended reports whether every shard has ended.
func (g *partCollector) ended() bool { return g.answered+g.failed == len(g.route.Shards) }

// giveUp ends the runs of the shards that have not ended, so that what did not run is known.
func (g *partCollector) giveUp(runs []*run) {
	for _, run := range runs {
		g.outcomes = outcome.Combine(g.outcomes, run.sends.giveUp())
	}
	g.abandoned = true
}

// result returns what there is. Shards that have not ended may be running, so the
// query can't be told as not run before it was given up.
func (g *partCollector) result(runs []*run, attempts int) Gathered {
	out := Gathered{
		Signatures: append([]string(nil), g.signatures...), Records: g.top.joined(), PartBytes: g.partBytes,
		Outcome: g.outcomes, Lacking: g.missingShards(runs), Attempts: attempts, Cut: !g.ended(), Failed: g.failed,
	}
	if !g.ended() && !g.abandoned {
		out.Outcome = outcome.Combine(out.Outcome, outcome.Unknown)
	}
	return out
}

// maxLoggedMissing is how many missing shards a log line names.
const maxLoggedMissing = 4

// missingShards names the missing shards with the targets that were asked.
func (g *partCollector) missingShards(runs []*run) string {
	var names []string
	for i, ok := range g.hasPart {
		if !ok && len(names) < maxLoggedMissing {
			names = append(names, runs[i].triedTargets())
		}
	}
	return strings.Join(names, " ")
}
