package relay

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// batchRun is one batch in flight. Its event loop runs on the goroutine of the
// caller and owns the tasks. The goroutines that run the tries, bounded by the
// slots of the targets, post their results to it without blocking.
type batchRun struct {
	relay          *Relay
	batch          *query.Batch
	ctx            context.Context
	body           []byte // request body, shared by all attempts
	deadline       time.Time
	rank           float64 // queue rank of the batch
	tasks          []task
	windows        []*submitWindow
	unfinished     int // tasks that are not final
	emit           func(query.ShardResult)
	nextHedgeCheck time.Time // zero if none is scheduled

	mu      sync.Mutex
	reports []tryReport   // results not yet handled by the event loop
	wakeup  chan struct{} // signals that reports is not empty
}

// task is one shard of the batch.
type task struct {
	key             query.ShardKey
	pool            *pool
	window          *submitWindow
	set             *replicaSet
	tries           []*try
	active          int    // tries queued or running
	excluded        uint64 // candidates that were used already, as in try
	snapshotMissing bool   // a target rejected a try because it does not hold the snapshot
	hedged          bool
	final           bool // the result was emitted, or the batch was abandoned

	combined   outcome.Outcome // of the tries that failed
	reason     query.Reason
	retryAfter time.Duration
}

// tryReport is the result of a try. refused is set if the try was never
// assigned to a target.
type tryReport struct {
	try *try
	attemptResult
	refused bool
}

// search runs the batch until every shard has its result.
func (r *batchRun) search() error {
	defer r.abandonAll()
	r.prepare()
	timer := time.NewTimer(r.untilWake())
	defer timer.Stop()
	for r.unfinished > 0 {
		select {
		case <-r.wakeup:
			r.handleReports()
		case <-timer.C:
			r.onTimer(time.Now())
		case <-r.ctx.Done():
			if !errors.Is(r.ctx.Err(), context.DeadlineExceeded) {
				return Error.New("search abandoned: %w", r.ctx.Err())
			}
			r.expire()
		}
		timer.Reset(r.untilWake())
	}
	return nil
}

func (r *batchRun) untilWake() time.Duration {
	at := r.deadline
	if !r.nextHedgeCheck.IsZero() && r.nextHedgeCheck.Before(at) {
		at = r.nextHedgeCheck
	}
	return time.Until(at)
}

// prepare creates the task of every shard and submits the first tries.
func (r *batchRun) prepare() {
	n := 0
	for _, p := range r.batch.Parts {
		n += len(p.Shards)
	}
	r.tasks, r.unfinished = make([]task, 0, n), n
	if time.Until(r.deadline) <= 0 {
		r.refuseAll(query.ReasonBudget)
		return
	}
	for _, p := range r.batch.Parts {
		r.preparePart(p)
	}
	r.scheduleHedges(time.Now())
}

func (r *batchRun) refuseAll(reason query.Reason) {
	for _, p := range r.batch.Parts {
		r.refusePart(p, reason)
	}
}

func (r *batchRun) refusePart(p query.ServiceShards, reason query.Reason) {
	for _, shard := range p.Shards {
		r.tasks = append(r.tasks, task{key: query.ShardKey{Service: p.Service, Shard: shard}, reason: reason})
		r.giveUp(&r.tasks[len(r.tasks)-1])
	}
}

func (r *batchRun) preparePart(part query.ServiceShards) {
	p := r.relay.pool(part.Service)
	if p == nil {
		r.refusePart(part, query.ReasonUnknownService)
		return
	}
	r.relay.countForeignRequest(p)
	pl := p.placement(r.batch.Snapshot)
	if pl == nil {
		r.refusePart(part, query.ReasonNoSnapshot)
		return
	}
	w := &submitWindow{pool: p, unsubmitted: make([]*try, 0, len(part.Shards))}
	r.windows = append(r.windows, w)
	tries := make([]try, len(part.Shards))
	for i, shard := range part.Shards {
		if int(shard) >= len(pl.shards) {
			r.refusePart(query.ServiceShards{Service: part.Service, Shards: []uint32{shard}}, query.ReasonBadRequest)
			continue
		}
		r.tasks = append(r.tasks, task{
			key: query.ShardKey{Service: part.Service, Shard: shard}, pool: p, window: w, set: pl.shards[shard],
		})
		t := &tries[i]
		r.initTry(t, &r.tasks[len(r.tasks)-1], policy.FirstTry)
		w.unsubmitted = append(w.unsubmitted, t)
	}
	r.startWindow(w)
}

// initTry initializes t as a try of the task.
func (r *batchRun) initTry(t *try, k *task, kind policy.Try) {
	t.owner, t.task, t.kind = r, k, kind
	t.set, t.candidates, t.excluded = k.set, k.set.targets, k.excluded
	t.waiter.Urgency, t.waiter.Deadline, t.waiter.Rank = r.batch.Urgency, r.deadline, r.rank
	k.tries = append(k.tries, t)
	k.active++
}

// send implements tryOwner. The context of the attempt is not derived from
// that of the batch, which would cost a lock and a map entry per attempt.
// Instead, whatever ends the batch abandons every task without a result and so
// cancels its attempts.
func (r *batchRun) send(t *try) attemptResult {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !r.registerCancel(t, cancel) {
		return attemptResult{outcome: outcome.NotSent, reason: query.ReasonBudget, cause: errBudgetExhausted}
	}
	return t.target.send(ctx, cancel, &attempt{
		id: newAttemptID(), requestID: r.batch.RequestID,
		service: t.task.key.Service, shard: t.task.key.Shard, snapshot: r.batch.Snapshot,
		limit: r.batch.Limit, body: r.body, deadline: r.deadline,
	})
}

// registerCancel stores the cancel function of the try. It reports false if
// the try was abandoned before.
func (r *batchRun) registerCancel(t *try, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.abandoned {
		return false
	}
	t.cancel = cancel
	return true
}

// ended implements tryOwner.
func (r *batchRun) ended(t *try, a attemptResult) { r.post(tryReport{try: t, attemptResult: a}) }

// refused implements tryOwner. Once the budget has ended, the reason is the
// budget, whatever the queue reports.
func (r *batchRun) refused(t *try, reason query.Reason, after time.Duration) {
	if !time.Now().Before(r.deadline) {
		reason = query.ReasonBudget
	}
	a := attemptResult{outcome: outcome.NotSent, reason: reason, retryAfter: after}
	r.post(tryReport{try: t, attemptResult: a, refused: true})
}

func (r *batchRun) post(x tryReport) {
	r.mu.Lock()
	r.reports = append(r.reports, x)
	r.mu.Unlock()
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

func (r *batchRun) handleReports() {
	r.mu.Lock()
	reports := r.reports
	r.reports = nil
	r.mu.Unlock()
	for i := range reports {
		r.handleReport(&reports[i])
	}
	now := time.Now()
	for _, w := range r.windows {
		w.refill(now)
	}
}

// handleReport handles the result of a try. The first valid answer is the
// result of the task; any other result leads to a retry or, if none is
// possible, to giving up at once.
func (r *batchRun) handleReport(x *tryReport) {
	k := x.try.task
	if k.final {
		return
	}
	k.active--
	k.excluded |= x.try.excluded
	if x.outcome == outcome.Done {
		r.complete(k, &x.attemptResult)
		return
	}
	k.recordFailure(x)
	if k.active > 0 {
		return
	}
	if !x.refused && r.retry(k, x) {
		return
	}
	r.giveUp(k)
	if x.refused && x.reason == query.ReasonOverload {
		r.refuseUnsubmitted(k.window, x.retryAfter)
	}
}

// recordFailure adds a failed try to the state of the task. The outcome
// combines those of all tries; the reason is that of the newest try with the
// greatest outcome.
func (k *task) recordFailure(x *tryReport) {
	k.snapshotMissing = k.snapshotMissing || x.reason == query.ReasonSnapshotNotHeld
	if x.outcome >= k.combined {
		k.reason = x.reason
	}
	k.combined = outcome.Combine(k.combined, x.outcome)
	k.retryAfter = max(k.retryAfter, x.retryAfter)
}

// retry submits a further try to a candidate that was not used yet. It is not
// charged to the retry budget if the previous try caused no load on a target:
// if it was not sent, or was rejected because the target was draining or does
// not hold the snapshot.
func (r *batchRun) retry(k *task, x *tryReport) bool {
	now := time.Now()
	if !now.Before(r.deadline) {
		return false
	}
	free := x.outcome == outcome.NotSent || x.reason == query.ReasonSnapshotNotHeld || x.reason == query.ReasonDraining
	t := new(try)
	r.initTry(t, k, policy.Retry)
	if !k.pool.resubmit(now, t, free) {
		k.active--
		k.tries = k.tries[:len(k.tries)-1]
		return false
	}
	r.relay.metrics.retries.Inc()
	return true
}

func (r *batchRun) complete(k *task, a *attemptResult) {
	k.combined, k.reason, k.retryAfter = outcome.Done, "", 0
	r.emitResult(k, query.ShardResult{Rows: a.answer.Rows, TotalRows: a.answer.TotalRows})
}

// giveUp emits the failure of the task.
func (r *batchRun) giveUp(k *task) {
	if k.snapshotMissing && k.combined <= outcome.Rejected {
		k.reason = query.ReasonSnapshotNotHeld
	}
	if k.retryAfter == 0 && k.reason != query.ReasonSnapshotNotHeld {
		k.retryAfter = r.relay.cfg.RetryAfter.Std()
	}
	r.emitResult(k, query.ShardResult{})
}

// emitResult emits the only result of the task and abandons the tries that are
// still active.
func (r *batchRun) emitResult(k *task, x query.ShardResult) {
	k.final = true
	r.unfinished--
	if k.window != nil {
		k.window.outstanding--
	}
	r.abandon(k)
	x.Key, x.Snapshot, x.Outcome = k.key, r.batch.Snapshot, k.combined
	x.Reason, x.RetryAfter, x.Attempts = k.reason, k.retryAfter, r.sentCount(k)
	r.relay.metrics.shardResults[x.Outcome].Inc()
	r.emit(x)
}

// sentCount returns the number of tries of the task that were assigned to a
// target.
func (r *batchRun) sentCount(k *task) int {
	n := 0
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range k.tries {
		if t.cancel != nil {
			n++
		}
	}
	return n
}

// abandon cancels the active tries of the task.
func (r *batchRun) abandon(k *task) {
	if k.active == 0 {
		return
	}
	for _, t := range k.tries {
		r.mu.Lock()
		t.abandoned = true
		cancel := t.cancel
		r.mu.Unlock()
		if cancel != nil {
			cancel()
			continue
		}
		k.pool.dequeue(t)
	}
}

func (r *batchRun) abandonAll() {
	for _, w := range r.windows {
		w.clear()
	}
	for i := range r.tasks {
		if k := &r.tasks[i]; !k.final {
			k.final = true
			r.abandon(k)
		}
	}
}

// expire gives up every task that has no result when the budget ends.
func (r *batchRun) expire() {
	for _, w := range r.windows {
		w.clear()
	}
	r.handleReports()
	for i := range r.tasks {
		k := &r.tasks[i]
		if k.final {
			continue
		}
		if r.sentCount(k) > 0 {
			k.combined = outcome.Unknown
		}
		k.reason, k.snapshotMissing = query.ReasonBudget, false
		r.giveUp(k)
	}
}

func newBody(b *query.Batch) ([]byte, error) {
	return json.Marshal(targetapi.Request{
		Kind: targetapi.KindSearch, Text: b.Text, Limit: b.Limit, Caller: b.Caller,
	})
}
