package gateway

import (
	"context"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// cellResult is what is known of one cell of a query.
type cellResult struct {
	cell   int
	shards int // of the cell
	got    Gathered
	ended  bool
}

// dividedQuery is a query whose cells are gathered by one host each.
type dividedQuery struct {
	route    *routing.Route
	minParts int // parts that a successful answer needs
	cells    []cellResult
	cut      bool // the objective ended the wait
}

// minPartsForShare returns the least number of n parts that make up a share; one at
// least.
func minPartsForShare(n int, share float64) int {
	for k := 1; k < n; k++ {
		if float64(k)/float64(n) >= share {
			return k
		}
	}
	return n
}

// gather answers a query over shards. Each cell is gathered by one host, this one or
// another. It waits for all parts until the answer must leave, then for enough of them. A
// query that too few shards can answer is not sent at all: after a restart while
// registrations are missing it would go to the few targets known, in vain, and then be told as
// possibly run. One that is given up sends nothing more.
func (g *Gateway) gather(ctx context.Context, r *request, route *routing.Route) Gathered {
	ctx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	gatherers := g.registry.gatherers.forRoute(g.registry, route)
	least := minPartsForShare(len(route.Shards), route.MinShare)
	if gatherers.answerable < least {
		return Gathered{Outcome: outcome.NotSent, Reason: errNoTarget.Error()}
	}
	cells := g.planCells(r, route, gatherers)
	q := &dividedQuery{route: route, minParts: least, cells: make([]cellResult, len(cells))}
	maxLost := len(route.Shards) - least
	may := Missing{Most: maxLost, Untold: maxLost / len(cells)}
	updates := make(chan cellResult, 2*len(route.Shards)+2*len(cells)) // never blocks
	for i, cell := range cells {
		n := len(cell.Shards)
		request := &cellRequest{
			request: r, route: cellRoute(route, cell.Cell), gatherers: gatherers, plan: cell,
			lossLimits: may,
			report:     func(got Gathered) { updates <- cellResult{cell: i, shards: n, got: got} },
		}
		go func() { updates <- cellResult{cell: i, shards: n, got: g.gatherCell(ctx, request), ended: true} }()
	}
	q.collect(ctx, r, updates)
	if q.answered() < q.minParts && r.ctx.Err() == nil {
		giveUp()
		q.collectFinal(updates)
	}
	return q.result()
}

// finalOutcomeTimeout bounds the wait for what became of the cells of a query that is given up. Those of
// this host tell at once, a helper within a round trip.
const finalOutcomeTimeout = 15 * time.Millisecond

// collectFinal takes what the cells of a query that was given up end with, so that one that has not
// run is told so.
func (q *dividedQuery) collectFinal(updates <-chan cellResult) {
	bound := time.NewTimer(finalOutcomeTimeout)
	defer bound.Stop()
	for q.openCells() > 0 && q.nothingHasRun() {
		select {
		case p := <-updates:
			q.cells[p.cell] = p
		case <-bound.C:
			return
		}
	}
}

// nothingHasRun reports whether nothing of the cells that have ended has run.
func (q *dividedQuery) nothingHasRun() bool {
	for _, p := range q.cells {
		if p.ended && !p.got.Outcome.NotRun() {
			return false
		}
	}
	return true
}

// openCells returns the number of cells that have not ended.
func (q *dividedQuery) openCells() int {
	n := 0
	for _, p := range q.cells {
		if !p.ended {
			n++
		}
	}
	return n
}

// cellRoute returns the route with the shards of a cell alone.
func cellRoute(route *routing.Route, cell policy.Cell) *routing.Route {
	if len(cell.Shards) == len(route.Shards) {
		return route
	}
	part := *route
	part.Shards = make([]string, len(cell.Shards))
	for i, shard := range cell.Shards {
		part.Shards[i] = route.Shards[shard]
	}
	return &part
}

// collect takes pieces until the answer should go out or can't be had.
func (q *dividedQuery) collect(ctx context.Context, r *request, updates <-chan cellResult) {
	answerTimer := time.NewTimer(time.Until(r.answerBy))
	defer answerTimer.Stop()
	deadlineTimer := time.NewTimer(time.Until(r.deadline))
	defer deadlineTimer.Stop()
	late := false
	for !q.done(late) {
		select {
		case p := <-updates:
			q.cells[p.cell] = p
		case <-answerTimer.C:
			late = true
		case <-deadlineTimer.C:
			return
		case <-ctx.Done():
			return
		}
	}
	q.cut = late && q.answered() < len(q.route.Shards)
}

// answered returns the parts that are there.
func (q *dividedQuery) answered() int {
	n := 0
	for _, p := range q.cells {
		n += len(p.got.Signatures)
	}
	return n
}

// done reports whether there is nothing more to wait for: every cell has ended, the
// answer is late and good enough, or it can't become good enough.
func (q *dividedQuery) done(late bool) bool {
	answered := q.answered()
	if q.openCells() == 0 || late && answered >= q.minParts {
		return true
	}
	lost := 0
	for _, p := range q.cells {
		if p.ended {
			lost += p.shards - len(p.got.Signatures)
		} else {
			lost += p.got.Failed
		}
	}
	return len(q.route.Shards)-lost < q.minParts
}

// result returns the answer of all cells together.
func (q *dividedQuery) result() Gathered {
	out := Gathered{Cut: q.cut}
	top := topRecords{limit: q.route.TopK}
	var lacking, reasons, helpers []string
	for _, p := range q.cells {
		if !p.ended && len(p.got.Signatures) == 0 {
			p.got.Outcome = outcome.Unknown // it may be running
		}
		out.Signatures = append(out.Signatures, p.got.Signatures...)
		top.add(p.got.Records)
		out.Outcome = outcome.Combine(out.Outcome, p.got.Outcome)
		if p.got.Helper != "" {
			out.Attempts += p.got.Attempts // this host's own are counted as they are made
		}
		out.PartBytes += p.got.PartBytes
		lacking, reasons = appendText(lacking, p.got.Lacking), appendText(reasons, p.got.Reason)
		helpers = appendText(helpers, p.got.Helper)
	}
	out.Lacking, out.Helper = strings.Join(lacking, " "), strings.Join(helpers, " ")
	if len(out.Signatures) >= q.minParts {
		out.Outcome, out.Records = outcome.Done, top.joined()
		return out
	}
	if out.Outcome == outcome.Done {
		out.Outcome = outcome.Unknown // some parts are no answer
	}
	reasons = append(reasons, Error.New("%d of %d shards answered, want %d", len(out.Signatures), len(q.route.Shards), q.minParts).Error())
	out.Signatures, out.Reason = nil, strings.Join(reasons, "; ")
	return out
}

// appendText appends a text that is not empty.
func appendText(all []string, text string) []string {
	if text == "" {
		return all
	}
	return append(all, text)
}
