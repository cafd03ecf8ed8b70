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

// run is one batch in flight. Its loop, on the caller's goroutine, owns the
// tasks; the goroutines of granted tries, no more than the targets have
// places, report to it through a mailbox that never blocks them.
type run struct {
	relay    *Relay
	batch    *query.Batch
	ctx      context.Context
	body     []byte // of every attempt
	deadline time.Time
	rank     float64
	tasks    []task
	lanes    []*lane
	left     int // tasks without a final result
	emit     func(query.ShardResult)
	hedgeAt  time.Time // next look for tries to hedge; zero: none

	mu   sync.Mutex
	box  []report
	bell chan struct{}
}

// task is one shard of the batch.
type task struct {
	key     query.ShardKey
	pool    *pool
	lane    *lane
	set     *replicaSet
	tries   []*try
	live    int // tries that wait or run
	spent   uint64
	notHeld bool // some holder no longer holds the snapshot
	hedged  bool
	final   bool

	worst      outcome.Outcome // of the tries that ended
	reason     query.Reason
	retryAfter time.Duration
}

// report is the end of a try.
type report struct {
	try *try
	answer
	refused bool
}

// search runs the batch until every shard has its result.
func (r *run) search() error {
	defer r.abandonAll()
	r.prepare()
	timer := time.NewTimer(r.untilWake())
	defer timer.Stop()
	for r.left > 0 {
		select {
		case <-r.bell:
			r.collect()
		case <-timer.C:
			r.tick(time.Now())
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

func (r *run) untilWake() time.Duration {
	at := r.deadline
	if !r.hedgeAt.IsZero() && r.hedgeAt.Before(at) {
		at = r.hedgeAt
	}
	return time.Until(at)
}

// prepare finds the holders of every shard and submits the first tries.
func (r *run) prepare() {
	n := 0
	for _, p := range r.batch.Parts {
		n += len(p.Shards)
	}
	r.tasks, r.left = make([]task, 0, n), n
	if time.Until(r.deadline) <= 0 {
		r.refuseAll(query.ReasonBudget)
		return
	}
	for _, p := range r.batch.Parts {
		r.preparePart(p)
	}
	r.planHedges(time.Now())
}

func (r *run) refuseAll(reason query.Reason) {
	for _, p := range r.batch.Parts {
		r.refusePart(p, reason)
	}
}

func (r *run) refusePart(p query.Part, reason query.Reason) {
	for _, shard := range p.Shards {
		r.tasks = append(r.tasks, task{key: query.ShardKey{Service: p.Service, Shard: shard}, reason: reason})
		r.finish(&r.tasks[len(r.tasks)-1])
	}
}

func (r *run) preparePart(part query.Part) {
	p := r.relay.pool(part.Service)
	if p == nil {
		r.refusePart(part, query.ReasonUnknownService)
		return
	}
	r.relay.noteOwnership(p)
	pl := p.placement(r.batch.Snapshot)
	if pl == nil {
		r.refusePart(part, query.ReasonNoSnapshot)
		return
	}
	l := &lane{pool: p, held: make([]*try, 0, len(part.Shards))}
	r.lanes = append(r.lanes, l)
	block := make([]try, len(part.Shards))
	for i, shard := range part.Shards {
		if int(shard) >= len(pl.shards) {
			r.refusePart(query.Part{Service: part.Service, Shards: []uint32{shard}}, query.ReasonBadRequest)
			continue
		}
		r.tasks = append(r.tasks, task{
			key: query.ShardKey{Service: part.Service, Shard: shard}, pool: p, lane: l, set: pl.shards[shard],
		})
		t := &block[i]
		r.fill(t, &r.tasks[len(r.tasks)-1], policy.FirstTry)
		l.held = append(l.held, t)
	}
	r.start(l)
}

// fill makes t a try of a task.
func (r *run) fill(t *try, k *task, kind policy.Try) {
	t.owner, t.task, t.kind = r, k, kind
	t.set, t.holders, t.spent = k.set, k.set.targets, k.spent
	t.waiter.Urgency, t.waiter.Deadline, t.waiter.Rank = r.batch.Urgency, r.deadline, r.rank
	k.tries = append(k.tries, t)
	k.live++
}

// send implements owner. The attempt's context is not a child of the batch's,
// which would cost a lock and a map for each: whatever ends the batch abandons
// every task without a result, and so cancels it.
func (r *run) send(t *try) answer {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !r.sending(t, cancel) {
		return answer{outcome: outcome.NotSent, reason: query.ReasonBudget, cause: errNoTime}
	}
	return t.target.send(ctx, cancel, &attempt{
		id: newAttemptID(), requestID: r.batch.RequestID,
		service: t.task.key.Service, shard: t.task.key.Shard, snapshot: r.batch.Snapshot,
		limit: r.batch.Limit, body: r.body, deadline: r.deadline,
	})
}

// sending notes how to cancel the try, and reports false if it was abandoned.
func (r *run) sending(t *try, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.abandoned {
		return false
	}
	t.cancel = cancel
	return true
}

// ended implements owner.
func (r *run) ended(t *try, a answer) { r.post(report{try: t, answer: a}) }

// refused takes a try that got no place. At the end of the budget that is the
// reason, whatever the queue says.
func (r *run) refused(t *try, reason query.Reason, after time.Duration) {
	if !time.Now().Before(r.deadline) {
		reason = query.ReasonBudget
	}
	a := answer{outcome: outcome.NotSent, reason: reason, retryAfter: after}
	r.post(report{try: t, answer: a, refused: true})
}

func (r *run) post(x report) {
	r.mu.Lock()
	r.box = append(r.box, x)
	r.mu.Unlock()
	select {
	case r.bell <- struct{}{}:
	default:
	}
}

func (r *run) collect() {
	r.mu.Lock()
	box := r.box
	r.box = nil
	r.mu.Unlock()
	for i := range box {
		r.take(&box[i])
	}
	now := time.Now()
	for _, l := range r.lanes {
		l.feed(now)
	}
}

// take takes the end of a try: the first valid answer is the task's result,
// anything else leads to another try, or to giving up at once.
func (r *run) take(x *report) {
	k := x.try.task
	if k.final {
		return
	}
	k.live--
	k.spent |= x.try.spent
	if x.outcome == outcome.Done {
		r.done(k, &x.answer)
		return
	}
	k.note(x)
	if k.live > 0 {
		return
	}
	if !x.refused && r.retry(k, x) {
		return
	}
	r.finish(k)
	if x.refused && x.reason == query.ReasonOverload {
		r.giveUp(k.lane, x.retryAfter)
	}
}

// note sums the ends of a task's tries: the outcome is that of all of them
// and the reason that of the one which weighs most.
func (k *task) note(x *report) {
	k.notHeld = k.notHeld || x.reason == query.ReasonSnapshotNotHeld
	if x.outcome >= k.worst {
		k.reason = x.reason
	}
	k.worst = outcome.Combine(k.worst, x.outcome)
	k.retryAfter = max(k.retryAfter, x.retryAfter)
}

// retry submits a further try to a holder not yet asked. It costs nothing
// when the last one was refused for what it did not hold or for leaving, or
// never left this host: none of these was load for a target.
func (r *run) retry(k *task, x *report) bool {
	now := time.Now()
	if !now.Before(r.deadline) {
		return false
	}
	free := x.outcome == outcome.NotSent || x.reason == query.ReasonSnapshotNotHeld || x.reason == query.ReasonDraining
	t := new(try)
	r.fill(t, k, policy.Retry)
	if !k.pool.resubmit(now, t, free) {
		k.live--
		k.tries = k.tries[:len(k.tries)-1]
		return false
	}
	r.relay.metrics.retries.Inc()
	return true
}

func (r *run) done(k *task, a *answer) {
	k.worst, k.reason, k.retryAfter = outcome.Done, "", 0
	r.result(k, query.ShardResult{Rows: a.body.Rows, TotalRows: a.body.TotalRows})
}

// finish emits that the task was given up.
func (r *run) finish(k *task) {
	if k.notHeld && k.worst <= outcome.Rejected {
		k.reason = query.ReasonSnapshotNotHeld
	}
	if k.retryAfter == 0 && k.reason != query.ReasonSnapshotNotHeld {
		k.retryAfter = r.relay.cfg.RetryAfter.Std()
	}
	r.result(k, query.ShardResult{})
}

// result emits the task's one result and abandons what still runs for it.
func (r *run) result(k *task, x query.ShardResult) {
	k.final = true
	r.left--
	if k.lane != nil {
		k.lane.out--
	}
	r.abandon(k)
	x.Key, x.Snapshot, x.Outcome = k.key, r.batch.Snapshot, k.worst
	x.Reason, x.RetryAfter, x.Attempts = k.reason, k.retryAfter, r.sent(k)
	r.relay.metrics.shards[x.Outcome].Inc()
	r.emit(x)
}

// sent counts the tries that were given to a target.
func (r *run) sent(k *task) int {
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

// abandon ends the tries of a task that still wait or run.
func (r *run) abandon(k *task) {
	if k.live == 0 {
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
		k.pool.forget(t)
	}
}

func (r *run) abandonAll() {
	for _, l := range r.lanes {
		l.drop()
	}
	for i := range r.tasks {
		if k := &r.tasks[i]; !k.final {
			k.final = true
			r.abandon(k)
		}
	}
}

// expire gives up every task that has no result when the budget ends.
func (r *run) expire() {
	for _, l := range r.lanes {
		l.drop()
	}
	r.collect()
	for i := range r.tasks {
		k := &r.tasks[i]
		if k.final {
			continue
		}
		if r.sent(k) > 0 {
			k.worst = outcome.Unknown
		}
		k.reason, k.notHeld = query.ReasonBudget, false
		r.finish(k)
	}
}

func newBody(b *query.Batch) ([]byte, error) {
	return json.Marshal(targetapi.Request{
		Kind: targetapi.KindSearch, Text: b.Text, Limit: b.Limit, Caller: b.Caller,
	})
}
