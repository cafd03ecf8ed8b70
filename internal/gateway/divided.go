package gateway

import (
	"context"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// cellResult is the latest result of one cell of a query.
type cellResult struct {
	cell     int
	shards   int // number of shards of the cell
	gathered Gathered
	ended    bool
}

// dividedQuery collects the results of a query that is divided into cells: groups of shards that are
// gathered by one host each.
type dividedQuery struct {
	route    *routing.Route
	minParts int // parts that a successful answer needs
	cells    []cellResult
	cut      bool // the answer became due before all parts were there
}

// minPartsForShare returns the minimum number of n parts, at least one, that make up the share.
func minPartsForShare(n int, share float64) int {
	for k := 1; k < n; k++ {
		if float64(k)/float64(n) >= share {
			return k
		}
	}
	return n
}

// gather answers a query over shards. Each cell is gathered by one host, this one or another. It
// waits for all parts until the answer must be sent, and then for the minimum number of them. A query
// that too few shards can answer is not sent at all: while registrations are missing after a
// restart it would run on the few known targets in vain, and be answered as possibly run. After
// gather returns nothing more is sent.
func (g *Gateway) gather(ctx context.Context, r *request, route *routing.Route) Gathered {
	ctx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	gatherers := g.registry.gatherers.forRoute(g.registry, route)
	minParts := minPartsForShare(len(route.Shards), route.MinShare)
	if gatherers.answerable < minParts {
		return Gathered{Outcome: outcome.NotSent, Reason: errNoTarget.Error()}
	}
	cells := g.planCells(r, route, gatherers)
	q := &dividedQuery{route: route, minParts: minParts, cells: make([]cellResult, len(cells))}
	maxLost := len(route.Shards) - minParts
	lossLimits := LossLimits{MaxLost: maxLost, MaxUnreported: maxLost / len(cells)}
	updates := make(chan cellResult, 2*len(route.Shards)+2*len(cells)) // sending never blocks
	for i, cell := range cells {
		n := len(cell.Shards)
		cellReq := &cellRequest{
			request: r, route: cellRoute(route, cell.Cell), gatherers: gatherers, plan: cell,
			lossLimits: lossLimits,
			report:     func(got Gathered) { updates <- cellResult{cell: i, shards: n, gathered: got} },
		}
		go func() { updates <- cellResult{cell: i, shards: n, gathered: g.gatherCell(ctx, cellReq), ended: true} }()
	}
	q.collect(ctx, r, updates)
	if q.answered() < q.minParts && r.ctx.Err() == nil {
		giveUp()
		q.collectFinal(updates)
	}
	return q.result()
}

// finalOutcomeTimeout limits the wait for the outcomes of the cells of an abandoned query. Cells of
// this host report at once, a helper within a round trip.
const finalOutcomeTimeout = 15 * time.Millisecond

// collectFinal collects the outcomes of the cells of an abandoned query, so that one that has not
// run is answered so.
func (q *dividedQuery) collectFinal(updates <-chan cellResult) {
	timer := time.NewTimer(finalOutcomeTimeout)
	defer timer.Stop()
	for q.openCells() > 0 && q.nothingHasRun() {
		select {
		case p := <-updates:
			q.cells[p.cell] = p
		case <-timer.C:
			return
		}
	}
}

// nothingHasRun reports whether no cell that has ended may have run.
func (q *dividedQuery) nothingHasRun() bool {
	for _, p := range q.cells {
		if p.ended && !p.gathered.Outcome.NotRun() {
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

// cellRoute returns a copy of the route with only the shards of a cell.
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

// collect collects cell results until the answer should be sent or can't succeed any more.
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

// answered returns the number of parts received.
func (q *dividedQuery) answered() int {
	n := 0
	for _, p := range q.cells {
		n += len(p.gathered.Signatures)
	}
	return n
}

// done reports whether to stop waiting: every cell has ended, the answer is due and has enough
// parts, or it can't get enough parts any more.
func (q *dividedQuery) done(late bool) bool {
	answered := q.answered()
	if q.openCells() == 0 || late && answered >= q.minParts {
		return true
	}
	lost := 0
	for _, p := range q.cells {
		if p.ended {
			lost += p.shards - len(p.gathered.Signatures)
		} else {
			lost += p.gathered.LostShards
		}
	}
	return len(q.route.Shards)-lost < q.minParts
}

// result returns the merged result of all cells.
func (q *dividedQuery) result() Gathered {
	out := Gathered{Cut: q.cut}
	top := topRecords{limit: q.route.TopK}
	var lacking, reasons, helpers []string
	for _, p := range q.cells {
		if !p.ended && len(p.gathered.Signatures) == 0 {
			p.gathered.Outcome = outcome.Unknown // may still be running
		}
		out.Signatures = append(out.Signatures, p.gathered.Signatures...)
		top.add(p.gathered.Records)
		out.Outcome = outcome.Combine(out.Outcome, p.gathered.Outcome)
		if p.gathered.Helper != "" {
			out.Attempts += p.gathered.Attempts // attempts of this host are counted when they are made
		}
		out.PartBytes += p.gathered.PartBytes
		lacking, reasons = appendText(lacking, p.gathered.MissingShards), appendText(reasons, p.gathered.Reason)
		helpers = appendText(helpers, p.gathered.Helper)
	}
	out.MissingShards, out.Helper = strings.Join(lacking, " "), strings.Join(helpers, " ")
	if len(out.Signatures) >= q.minParts {
		out.Outcome, out.Records = outcome.Done, top.joined()
		return out
	}
	if out.Outcome == outcome.Done {
		out.Outcome = outcome.Unknown // not enough parts
	}
	reasons = append(reasons, Error.New("%d of %d shards answered, want %d", len(out.Signatures), len(q.route.Shards), q.minParts).Error())
	out.Signatures, out.Reason = nil, strings.Join(reasons, "; ")
	return out
}

// appendText appends a text unless it is empty.
func appendText(all []string, text string) []string {
	if text == "" {
		return all
	}
	return append(all, text)
}
