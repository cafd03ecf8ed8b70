package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// Gathered is what became of a query over shards, here or at a helper.
type Gathered struct {
	Signatures []string // of the parts; none if there is no answer
	Records    []byte   // the greatest of the parts, greatest first
	Outcome    outcome.Outcome
	Lacking    string // the missing shards with the targets asked, a few of them
	Reason     string // why there is no answer
	Attempts   int    // at targets
	Cut        bool   // the objective ended the wait for missing parts
	PartBytes  int    // of the parts together
}

// part is what one shard of a query ended with.
type part struct {
	shard int
	ok    bool
	res   result
	run   *run
}

// gathering is the parts of one query as they come.
type gathering struct {
	route    *routing.Route
	least    int // parts that a successful answer needs
	answered int
	failed   int
	cut      bool     // the objective ended the wait
	parts    []result // by shard
	have     []bool
	outcomes outcome.Outcome
}

func newGathering(route *routing.Route) *gathering {
	n := len(route.Shards)
	return &gathering{route: route, least: leastParts(n, route.MinShare), parts: make([]result, n), have: make([]bool, n)}
}

// leastParts returns the least number of n parts that make up a share; one at
// least.
func leastParts(n int, share float64) int {
	for k := 1; k < n; k++ {
		if float64(k)/float64(n) >= share {
			return k
		}
	}
	return n
}

// gather sends a query to one target of each shard and merges the parts. It waits
// for all parts until the answer must leave, then for enough of them. A query that
// too few shards can answer is not sent at all.
func (g *Gateway) gather(ctx context.Context, r *request, route *routing.Route) Gathered {
	gathered := newGathering(route)
	runs := g.newRuns(r, route)
	if !answerable(runs, gathered.least) {
		return Gathered{Outcome: outcome.NotSent, Reason: errNoTarget.Error()}
	}
	parts := make(chan part, len(runs))
	for i, run := range runs {
		go func() {
			res, ok := run.do(ctx)
			parts <- part{shard: i, ok: ok, res: res, run: run}
		}()
	}
	gathered.collect(ctx, r, parts)
	return gathered.result(r, runs)
}

// newRuns returns a run for each shard of a query.
func (g *Gateway) newRuns(r *request, route *routing.Route) []*run {
	runs := make([]*run, len(route.Shards))
	for i, name := range route.Shards {
		runs[i] = g.newRun(g.fleet.service(name), r, route)
	}
	return runs
}

// answerable reports whether as many shards as an answer needs have a target that
// may be asked. Else nothing is sent, so that the caller can be told that the query
// has not run: after a restart while registrations are missing, 267 queries in
// 0.7 s were sent to the few targets known, in vain, and then told as
// possibly run.
func answerable(runs []*run, least int) bool {
	n := 0
	for _, r := range runs {
		if r.service.hasTarget(nil) {
			n++
		}
	}
	return n >= least
}

// collect takes parts until the answer should go out or can't be had.
func (g *gathering) collect(ctx context.Context, r *request, parts <-chan part) {
	early := time.NewTimer(time.Until(r.answerBy))
	defer early.Stop()
	end := time.NewTimer(time.Until(r.deadline))
	defer end.Stop()
	defer g.noteOutstanding()
	late := false
	for !g.done(late) {
		select {
		case p := <-parts:
			g.take(p)
		case <-early.C:
			late = true
			g.cut = g.enough()
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// noteOutstanding accounts for the shards that have not ended: they may be
// running, so the query can't be told as not run.
func (g *gathering) noteOutstanding() {
	if g.answered+g.failed < len(g.route.Shards) {
		g.outcomes = outcome.Combine(g.outcomes, outcome.Unknown)
	}
}

func (g *gathering) take(p part) {
	if !p.ok {
		g.failed++
		g.outcomes = outcome.Combine(g.outcomes, p.run.outcomes)
		return
	}
	g.answered++
	g.have[p.shard] = true
	g.parts[p.shard] = p.res
	g.outcomes = outcome.Combine(g.outcomes, outcome.Done)
}

// enough reports whether the parts make a successful answer.
func (g *gathering) enough() bool { return g.answered >= g.least }

// done reports whether there is nothing more to wait for: every shard has
// ended, the answer is late and good enough, or it can't become good enough.
func (g *gathering) done(late bool) bool {
	n := len(g.route.Shards)
	return g.answered+g.failed == n || (late && g.enough()) || n-g.failed < g.least
}

// result returns what was gathered.
func (g *gathering) result(r *request, runs []*run) Gathered {
	out := Gathered{Outcome: g.outcomes, Lacking: g.lacking(runs), Attempts: int(r.attempts.Load()), Cut: g.cut}
	if !g.enough() {
		if out.Outcome == outcome.Done {
			out.Outcome = outcome.Unknown // some parts are no answer
		}
		out.Reason = Error.New("%d of %d shards answered, want %d", g.answered, len(g.route.Shards), g.least).Error()
		return out
	}
	out.Outcome = outcome.Done
	signatures, bodies := g.signatures()
	out.Signatures, out.Records = signatures, Merge(bodies, g.route.TopK)
	for _, b := range bodies {
		out.PartBytes += len(b)
	}
	return out
}

// mostLacking is how many missing shards a log line names.
const mostLacking = 4

// lacking names the missing shards with the targets that were asked.
func (g *gathering) lacking(runs []*run) string {
	var names []string
	for i, ok := range g.have {
		if !ok && len(names) < mostLacking {
			names = append(names, runs[i].asked())
		}
	}
	return strings.Join(names, " ")
}

// signatures returns the signatures of the parts, and bodies their records.
func (g *gathering) signatures() (signatures []string, bodies [][]byte) {
	for i, ok := range g.have {
		if ok {
			signatures = append(signatures, g.parts[i].verdict.Signature)
			bodies = append(bodies, g.parts[i].answer.Body)
		}
	}
	return signatures, bodies
}

// recordSize is the size of a record of a part, in bytes.
const recordSize = 16

// Merge returns the greatest records of the bodies, greatest first. What is
// shorter than a record is none.
func Merge(bodies [][]byte, top int) []byte {
	var records [][]byte
	for _, b := range bodies {
		for ; len(b) >= recordSize; b = b[recordSize:] {
			records = append(records, b[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return slices.Compare(b, a) })
	records = records[:min(top, len(records))]
	return slices.Concat(records...)
}
