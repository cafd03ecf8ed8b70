package target

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// shardRequest is one request read from the wire.
type shardRequest struct {
	targetapi.Request
	requestID string
	attemptID string
	key       shardKey
	deadline  time.Time // zero: no budget named
}

// reply is what a request ends with. A zero status means that the connection
// is cut.
type reply struct {
	status int
	result Result
	body   []byte
	length int // Content-Length, if longer than the body
}

// rejection is the answer to a request that was not run, or failed. It names
// the attempt, so that the relay can tell a crossed one.
func rejection(r shardRequest, status int, result Result, rej targetapi.Rejection) reply {
	rej.AttemptID = r.attemptID
	body, _ := json.Marshal(rej) // plain fields cannot fail
	return reply{status: status, result: result, body: body}
}

func (t *Target) shed(r shardRequest, result Result) reply {
	return rejection(r, http.StatusServiceUnavailable, result, targetapi.Rejection{
		Code:         targetapi.CodeShed,
		RetryAfterMS: t.cfg.RetryAfter.Std().Milliseconds(),
	})
}

func refusedAttempt(r shardRequest) reply {
	return rejection(r, http.StatusConflict, ResultRefusedAttempt, targetapi.Rejection{Code: targetapi.CodeRefusedAttempt})
}

func failed(r shardRequest) reply {
	return rejection(r, http.StatusInternalServerError, ResultFailed, targetapi.Rejection{Code: targetapi.CodeFailed})
}

func cut(result Result) reply { return reply{result: result} }

// run takes one request through admission, execution and the faults.
func (t *Target) run(ctx context.Context, r shardRequest) reply {
	if !t.waitWhileFrozen(ctx, FreezeBefore) {
		return cut(ResultCancelled)
	}
	if rej, ok := t.refuse(r); ok {
		return rej
	}
	switch t.slots.acquire(ctx, remaining(r.deadline)) {
	case queueFull:
		return t.shed(r, ResultShed)
	case budgetOut:
		return t.shed(r, ResultBudget)
	case abandoned:
		return cut(ResultCancelled)
	}
	out := t.execute(ctx, r)
	t.slots.release()
	if !t.waitWhileFrozen(ctx, FreezeAfter) {
		return cut(ResultCancelled)
	}
	return out
}

// waitWhileFrozen waits while requests are frozen at this point. It reports false if the
// client went.
func (t *Target) waitWhileFrozen(ctx context.Context, at Freeze) bool {
	for {
		f, changed := t.faultsInForce()
		if f.Freeze != at || !t.rng.Chance(share(f.FreezeShare)) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// refuse returns the rejection of a request that must not be queued.
func (t *Target) refuse(r shardRequest) (reply, bool) {
	f := t.Faults()
	if t.rng.Chance(f.CutBefore) {
		return cut(ResultCut), true
	}
	if _, refuses := t.drained(); refuses {
		return rejection(r, http.StatusServiceUnavailable, ResultDraining, targetapi.Rejection{
			Code:         targetapi.CodeDraining,
			RetryAfterMS: t.cfg.RetryAfter.Std().Milliseconds(),
		}), true
	}
	if t.rng.Chance(f.Shed) {
		return t.shed(r, ResultShed), true
	}
	return t.refuseHoldings(r)
}

// refuseHoldings rejects what the target does not hold. Reservations belong to
// a service and not to a shard of a snapshot.
func (t *Target) refuseHoldings(r shardRequest) (reply, bool) {
	held, snapshots := t.holds(r.key)
	if r.Kind == targetapi.KindReserve {
		held = t.serves(r.key.service)
	}
	if held {
		return reply{}, false
	}
	return rejection(r, http.StatusConflict, ResultSnapshotNotHeld, targetapi.Rejection{
		Code:      targetapi.CodeSnapshotNotHeld,
		Snapshots: snapshots,
	}), true
}

// remaining returns the time left until the deadline, never negative, or -1 if
// there is no deadline.
func remaining(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return -1
	}
	return max(0, time.Until(deadline))
}

// execute runs a request that has a slot.
func (t *Target) execute(ctx context.Context, r shardRequest) reply {
	if ctx.Err() != nil {
		return cut(ResultCancelled)
	}
	if remaining(r.deadline) == 0 {
		return t.shed(r, ResultBudget)
	}
	if r.Kind == targetapi.KindReserve {
		return t.reserve(r)
	}
	if !t.work(ctx) {
		return cut(ResultCancelled)
	}
	answer := r.echo()
	answer.Rows, answer.TotalRows = t.search(r.key, r.Text, r.Limit)
	answer.RowCount = len(answer.Rows)
	return t.reply(r, answer)
}

// work takes the service time. It reports false if the client went.
func (t *Target) work(ctx context.Context) bool {
	d := t.serviceTime()
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reserve runs a reservation to its end, even if the client goes: the
// execution is logged at its beginning.
func (t *Target) reserve(r shardRequest) reply {
	e, ok := t.reservations.begin(t.execution(r))
	if !ok {
		return refusedAttempt(r)
	}
	t.work(context.Background())
	answer := e.answer()
	answer.Shard, answer.Snapshot = r.key.shard, r.key.snapshot
	t.reservations.finish(answer)
	return t.reply(r, answer)
}

func (t *Target) execution(r shardRequest) Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Execution{
		Target:        t.cfg.ID,
		Incarnation:   t.incarnation,
		Service:       r.key.service,
		ReservationID: r.ReservationID,
		AttemptID:     r.attemptID,
		RequestID:     r.requestID,
		Item:          r.Item,
	}
}

func (r shardRequest) echo() targetapi.Answer {
	return targetapi.Answer{
		RequestID: r.requestID,
		AttemptID: r.attemptID,
		Service:   r.key.service,
		Shard:     r.key.shard,
		Snapshot:  r.key.snapshot,
		Rows:      []targetapi.Row{},
	}
}

// reply writes the answer, spoiled by the faults that concern answers.
func (t *Target) reply(r shardRequest, a targetapi.Answer) reply {
	f := t.Faults()
	if t.rng.Chance(f.Fail) {
		return failed(r)
	}
	if t.rng.Chance(f.Cut) {
		return cut(ResultCut)
	}
	short := len(a.Rows) > 0 && t.rng.Chance(f.ShortRows)
	if short {
		a.Rows = a.Rows[:len(a.Rows)-1]
	}
	body, _ := json.Marshal(a) // plain fields cannot fail
	if short {
		return spoiled(body, len(body))
	}
	return t.spoil(f, body)
}

func (t *Target) spoil(f Faults, body []byte) reply {
	previous := t.remember(body)
	switch {
	case previous != nil && t.rng.Chance(f.Crossed):
		return spoiled(previous, len(previous))
	case t.rng.Chance(f.Truncate):
		return spoiled(body[:len(body)/2], len(body))
	case t.rng.Chance(f.ShortJSON):
		return spoiled(body[:len(body)/2], len(body)/2)
	}
	return reply{status: http.StatusOK, result: ResultDone, body: body, length: len(body)}
}

func spoiled(body []byte, length int) reply {
	return reply{status: http.StatusOK, result: ResultSpoiled, body: body, length: length}
}

// remember keeps the body and returns the one before it.
func (t *Target) remember(body []byte) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.previous
	t.previous = body
	return previous
}
