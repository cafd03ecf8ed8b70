package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// messageBuffer lets relay calls run ahead of the merge a little.
const messageBuffer = 64

// Search answers a search from one snapshot, or refuses it. Exactly one of the
// results is set. It returns as soon as the answer is decided, and no later
// than the budget ends.
func (e *Entry) Search(ctx context.Context, q query.Search) (*query.Answer, *query.Refusal) {
	start := time.Now()
	answer, refusal := e.search(ctx, q)
	elapsed := time.Since(start)
	d := delivery.Delivery{RequestID: q.RequestID, Caller: q.Caller, Service: cmp.Or(q.Service, q.Workload), Latency: elapsed}
	if refusal != nil {
		refusal.RequestID = q.RequestID
		d.Outcome, d.Reason = refusal.Outcome, refusal.Reason
		if refusal.Coverage != nil {
			d.Coverage = refusal.Coverage.Fraction()
		}
	} else {
		answer.Elapsed = elapsed
		d.Outcome, d.Coverage, d.Snapshot = outcome.Done, answer.Coverage.Fraction(), answer.Snapshot
		d.Attempts, d.Needed = answer.Attempts, answer.Needed
	}
	e.record(d)
	return answer, refusal
}

func (e *Entry) search(ctx context.Context, q query.Search) (*query.Answer, *query.Refusal) {
	scope, refusal := e.scope(q)
	if refusal != nil {
		return nil, refusal
	}
	budget, refusal := e.budget(q.Budget, scope.budget)
	if refusal != nil {
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	all := e.tryPins(ctx, q, scope)
	if all.best == nil {
		return nil, e.refuse(query.ReasonNoSnapshot, outcome.NotSent, "no snapshot covers "+scope.name())
	}
	return e.conclude(q, all)
}

// trials are the runs of one search, each in another snapshot. Rows of two
// snapshots are never merged; what ran and what it cost counts for all.
type trials struct {
	best     *scatter // the run that reached most
	outcome  outcome.Outcome
	attempts int
}

func (t *trials) add(s *scatter) {
	t.outcome = outcome.Combine(t.outcome, s.merge.outcome())
	t.attempts += s.merge.attempts
	if t.best == nil || s.merge.answered > t.best.merge.answered {
		t.best = s
	}
}

// tryPins runs the search on one snapshot after another until one is held by
// every shard's targets.
func (e *Entry) tryPins(ctx context.Context, q query.Search, scope scope) trials {
	var all trials
	tried := make(map[uint64]bool)
	for ctx.Err() == nil {
		pins := e.pinOrder(scope, tried)
		if len(pins) == 0 {
			break
		}
		s := e.newScatter(q, scope, pins[0])
		tried[pins[0].ID] = true
		s.last = len(pins) == 1 || len(tried) >= e.cfg.MaxSnapshots
		v := s.run(ctx, scope.parts(pins[0]))
		all.add(s)
		if v != verdictUnheld {
			break
		}
		e.unheld.note(scope.workload, pins[0].ID, time.Now())
		e.metrics.restarts.Inc()
	}
	return all
}

// conclude makes the answer, or the refusal if too little was reached.
func (e *Entry) conclude(q query.Search, all trials) (*query.Answer, *query.Refusal) {
	s := all.best
	c := s.merge.coverage()
	if c.Fraction() < q.MinCoverage {
		r := e.refuse(s.reason(), all.outcome, "reached less than the minimum coverage")
		r.Coverage = &c
		r.RetryAfter = s.retryAfter(r.RetryAfter)
		return nil, r
	}
	return &query.Answer{
		RequestID: q.RequestID,
		Workload:  s.workload,
		Snapshot:  s.snapshot,
		Rows:      s.merge.rows(q.Limit),
		TotalRows: s.merge.totalRows,
		Coverage:  c,
		Attempts:  all.attempts,
		Needed:    c.Shards,
	}, nil
}

// reason returns why most of the missing shards are missing. Shards left open
// because the minimum was out of reach anyway don't count.
func (s *scatter) reason() query.Reason {
	counts := make(map[query.Reason]int)
	for _, slot := range s.merge.slots {
		switch {
		case slot.answered:
		case slot.reason == "" && s.overdue:
			counts[query.ReasonBudget]++
		case slot.reason != "":
			counts[slot.reason]++
		}
	}
	most := query.ReasonCoverage
	for r, n := range counts {
		if n > counts[most] || (n == counts[most] && r < most) {
			most = r
		}
	}
	return most
}

// retryAfter returns the longest time that a missing shard asked for.
func (s *scatter) retryAfter(least time.Duration) time.Duration {
	for _, slot := range s.merge.slots {
		if !slot.answered {
			least = max(least, slot.result.RetryAfter)
		}
	}
	return least
}

func (e *Entry) newScatter(q query.Search, scope scope, snap catalog.Snapshot) *scatter {
	return &scatter{
		entry:    e,
		search:   q,
		urgency:  scope.urgency,
		snapshot: snap.ID,
		workload: scope.workload,
		merge:    newMerge(snap.ID, scope.parts(snap)),
		tried:    make(map[query.ShardKey]map[string]bool),
		chosen:   make(map[string]bool),
		calls:    make(map[*call]bool),
		messages: make(chan message, messageBuffer),
	}
}

// pinOrder returns the untried snapshots that cover the scope in the order in
// which they are tried: newest first, those that were not held of late last.
func (e *Entry) pinOrder(s scope, tried map[uint64]bool) []catalog.Snapshot {
	now := time.Now()
	var held, unheld []catalog.Snapshot
	for _, snap := range e.catalog.Snapshots(s.workload) {
		if tried[snap.ID] || !s.coveredBy(snap) {
			continue
		}
		if e.unheld.recent(s.workload, snap.ID, now) {
			unheld = append(unheld, snap)
			continue
		}
		held = append(held, snap)
	}
	return append(held, unheld...)
}

// keysOf returns the shards of the parts.
func keysOf(parts []query.Part) []query.ShardKey {
	var keys []query.ShardKey
	for _, p := range parts {
		for _, s := range p.Shards {
			keys = append(keys, query.ShardKey{Service: p.Service, Shard: s})
		}
	}
	return keys
}

// partsOf groups shards by service, both sorted.
func partsOf(keys map[query.ShardKey]bool) []query.Part {
	byService := make(map[string][]uint32)
	for k := range keys {
		byService[k.Service] = append(byService[k.Service], k.Shard)
	}
	parts := make([]query.Part, 0, len(byService))
	for name, shards := range byService {
		slices.Sort(shards)
		parts = append(parts, query.Part{Service: name, Shards: shards})
	}
	slices.SortFunc(parts, func(a, b query.Part) int { return cmp.Compare(a.Service, b.Service) })
	return parts
}
