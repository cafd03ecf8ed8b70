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

// Search answers a search from one snapshot or refuses it. Exactly one of the
// results is set. It returns as soon as the answer is decided, at the latest
// when the budget ends.
func (e *Entry) Search(ctx context.Context, q query.SearchRequest) (*query.Answer, *query.Refusal) {
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
		d.Attempts, d.Needed = answer.Attempts, answer.NeededAnswers
	}
	e.record(d)
	return answer, refusal
}

func (e *Entry) search(ctx context.Context, q query.SearchRequest) (*query.Answer, *query.Refusal) {
	scope, refusal := e.resolveScope(q)
	if refusal != nil {
		return nil, refusal
	}
	budget, refusal := e.budget(q.Budget, scope.defaultBudget)
	if refusal != nil {
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	runs := e.runOnSnapshots(ctx, q, scope)
	if runs.best == nil {
		return nil, e.refuse(query.ReasonNoSnapshot, outcome.NotSent, "no snapshot covers "+scope.describe())
	}
	return e.response(q, runs)
}

// searchRuns combines the runs of one search, each in a different snapshot. Rows of
// two snapshots are never merged; outcome and attempts include all runs.
type searchRuns struct {
	best     *scatter // the run with the most answered shards
	outcome  outcome.Outcome
	attempts int
}

func (r *searchRuns) add(s *scatter) {
	r.outcome = outcome.Combine(r.outcome, s.merger.outcome())
	r.attempts += s.merger.attempts
	if r.best == nil || s.merger.answeredCount > r.best.merger.answeredCount {
		r.best = s
	}
}

// runOnSnapshots runs the search on one snapshot after another until no shard's
// targets report that the snapshot is not held.
func (e *Entry) runOnSnapshots(ctx context.Context, q query.SearchRequest, scope searchScope) searchRuns {
	var runs searchRuns
	tried := make(map[uint64]bool)
	for ctx.Err() == nil {
		snapshots := e.snapshotOrder(scope, tried)
		if len(snapshots) == 0 {
			break
		}
		s := e.newScatter(q, scope, snapshots[0])
		tried[snapshots[0].ID] = true
		s.lastSnapshot = len(snapshots) == 1 || len(tried) >= e.cfg.MaxSnapshots
		status := s.run(ctx)
		runs.add(s)
		if status != statusSnapshotNotHeld {
			break
		}
		e.notHeld.add(scope.workload, snapshots[0].ID, time.Now())
		e.metrics.snapshotRestarts.Inc()
	}
	return runs
}

// response returns the answer, or a refusal if the coverage is below the minimum.
func (e *Entry) response(q query.SearchRequest, runs searchRuns) (*query.Answer, *query.Refusal) {
	s := runs.best
	c := s.merger.coverage()
	if c.Fraction() < q.MinCoverage {
		r := e.refuse(s.missingReason(), runs.outcome, "reached less than the minimum coverage")
		r.Coverage = &c
		r.RetryAfter = s.maxRetryAfter(r.RetryAfter)
		return nil, r
	}
	return &query.Answer{
		RequestID:     q.RequestID,
		Workload:      s.workload,
		Snapshot:      s.snapshot,
		Rows:          s.merger.rows(q.Limit),
		TotalRows:     s.merger.totalRows,
		Coverage:      c,
		Attempts:      runs.attempts,
		NeededAnswers: c.Shards,
	}, nil
}

// missingReason returns the most frequent reason among the missing shards. Shards
// that were still open when the minimum went out of reach are not counted.
func (s *scatter) missingReason() query.Reason {
	counts := make(map[query.Reason]int)
	for i := range s.merger.shards {
		shard := &s.merger.shards[i]
		switch {
		case shard.answered:
		case shard.reason == "" && s.budgetExhausted:
			counts[query.ReasonBudget]++
		case shard.reason != "":
			counts[shard.reason]++
		}
	}
	mostFrequent := query.ReasonCoverage
	for r, n := range counts {
		if n > counts[mostFrequent] || (n == counts[mostFrequent] && r < mostFrequent) {
			mostFrequent = r
		}
	}
	return mostFrequent
}

// maxRetryAfter returns the longest retry delay among the missing shards, at
// least the given one.
func (s *scatter) maxRetryAfter(retryAfter time.Duration) time.Duration {
	for i := range s.merger.shards {
		if shard := &s.merger.shards[i]; !shard.answered {
			retryAfter = max(retryAfter, shard.lastFailure.RetryAfter)
		}
	}
	return retryAfter
}

func (e *Entry) newScatter(q query.SearchRequest, scope searchScope, snap catalog.Snapshot) *scatter {
	return &scatter{
		entry:     e,
		search:    q,
		urgency:   scope.urgency,
		snapshot:  snap.ID,
		workload:  scope.workload,
		merger:    newMerger(snap.ID, scope.parts(snap)),
		contacted: make(map[string]bool),
		running:   make(map[*call]bool),
		mailbox:   newMailbox(),
	}
}

// snapshotOrder returns the untried snapshots that cover the scope in the order in
// which to try them: newest first, those recently reported as not held last.
func (e *Entry) snapshotOrder(s searchScope, tried map[uint64]bool) []catalog.Snapshot {
	now := time.Now()
	var preferred, notHeld []catalog.Snapshot
	for _, snap := range e.catalog.Snapshots(s.workload) {
		if tried[snap.ID] || !s.coveredBy(snap) {
			continue
		}
		if e.notHeld.contains(s.workload, snap.ID, now) {
			notHeld = append(notHeld, snap)
			continue
		}
		preferred = append(preferred, snap)
	}
	return append(preferred, notHeld...)
}

// groupByService groups shards by service, in order of first appearance.
func groupByService(keys []query.ShardKey) []query.ServiceShards {
	var parts []query.ServiceShards
	index := make(map[string]int)
	for _, k := range keys {
		i, ok := index[k.Service]
		if !ok {
			i = len(parts)
			index[k.Service] = i
			parts = append(parts, query.ServiceShards{Service: k.Service})
		}
		parts[i].Shards = append(parts[i].Shards, k.Shard)
	}
	return parts
}
