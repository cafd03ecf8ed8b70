package entry

import (
	"cmp"
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

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
		v := s.run(ctx)
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
	for i := range s.merge.slots {
		slot := &s.merge.slots[i]
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
	for i := range s.merge.slots {
		if slot := &s.merge.slots[i]; !slot.answered {
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
		chosen:   make(map[string]bool),
		calls:    make(map[*call]bool),
		mailbox:  newMailbox(),
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

// partsOf groups shards by service, in the order in which they come.
func partsOf(keys []query.ShardKey) []query.Part {
	var parts []query.Part
	index := make(map[string]int)
	for _, k := range keys {
		i, ok := index[k.Service]
		if !ok {
			i = len(parts)
			index[k.Service] = i
			parts = append(parts, query.Part{Service: k.Service})
		}
		parts[i].Shards = append(parts[i].Shards, k.Shard)
	}
	return parts
}
