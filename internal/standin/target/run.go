package target

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// shardRequest is one decoded request.
type shardRequest struct {
	targetapi.Request
	requestID string
	attemptID string
	key       shardKey
	deadline  time.Time // zero: no budget given
}

// reply is the outcome of one request. Status zero cuts the connection.
type reply struct {
	status int
	result Result
	body   []byte
	length int // Content-Length, if longer than the body
}

// rejection is the response to a request that was not run or that failed. It names the attempt, so
// that the relay can detect a response to another attempt.
func rejection(r shardRequest, status int, result Result, rej targetapi.Rejection) reply {
	rej.AttemptID = r.attemptID
	body, _ := json.Marshal(rej) // plain fields always encode
	return reply{status: status, result: result, body: body}
}

func (t *Target) shedReply(r shardRequest, result Result) reply {
	return rejection(r, http.StatusServiceUnavailable, result, targetapi.Rejection{
		Code:         targetapi.CodeShed,
		RetryAfterMS: t.cfg.RetryAfter.Std().Milliseconds(),
	})
}

func refusedAttemptReply(r shardRequest) reply {
	return rejection(r, http.StatusConflict, ResultRefusedAttempt, targetapi.Rejection{Code: targetapi.CodeRefusedAttempt})
}

func failedReply(r shardRequest) reply {
	return rejection(r, http.StatusInternalServerError, ResultFailed, targetapi.Rejection{Code: targetapi.CodeFailed})
}

func cutConnection(result Result) reply { return reply{result: result} }

// run takes one request through admission, execution and fault injection.
func (t *Target) run(ctx context.Context, r shardRequest) reply {
	if !t.waitWhileFrozen(ctx, FreezeBefore) {
		return cutConnection(ResultCancelled)
	}
	if rej, ok := t.reject(r); ok {
		return rej
	}
	switch t.slots.acquire(ctx, remainingBudget(r.deadline)) {
	case queueFull:
		return t.shedReply(r, ResultShed)
	case budgetExpired:
		return t.shedReply(r, ResultBudget)
	case clientGone:
		return cutConnection(ResultCancelled)
	}
	out := t.execute(ctx, r)
	t.slots.release()
	if !t.waitWhileFrozen(ctx, FreezeAfter) {
		return cutConnection(ResultCancelled)
	}
	return out
}

// waitWhileFrozen blocks while requests are frozen at the given point. It returns false if the
// client disconnects.
func (t *Target) waitWhileFrozen(ctx context.Context, at Freeze) bool {
	for {
		f, changed := t.faultsInForce()
		if f.Freeze != at || !t.rng.Chance(shareOrAll(f.FreezeShare)) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// reject returns the rejection of a request that must not be queued.
func (t *Target) reject(r shardRequest) (reply, bool) {
	f := t.Faults()
	if t.rng.Chance(f.CutBefore) {
		return cutConnection(ResultCut), true
	}
	if _, refuses := t.drainState(); refuses {
		return rejection(r, http.StatusServiceUnavailable, ResultDraining, targetapi.Rejection{
			Code:         targetapi.CodeDraining,
			RetryAfterMS: t.cfg.RetryAfter.Std().Milliseconds(),
		}), true
	}
	if t.rng.Chance(f.Shed) {
		return t.shedReply(r, ResultShed), true
	}
	return t.rejectNotHeld(r)
}

// rejectNotHeld rejects requests for a shard or snapshot that the target does not hold. A
// reservation needs only the service, as it doesn't belong to a shard of a snapshot.
func (t *Target) rejectNotHeld(r shardRequest) (reply, bool) {
	held, snapshots := t.holdsShard(r.key)
	if r.Kind == targetapi.KindReserve {
		held = t.servesService(r.key.service)
	}
	if held {
		return reply{}, false
	}
	return rejection(r, http.StatusConflict, ResultSnapshotNotHeld, targetapi.Rejection{
		Code:      targetapi.CodeSnapshotNotHeld,
		Snapshots: snapshots,
	}), true
}

// remainingBudget returns the time until the deadline, at least 0, or -1 if there is no deadline.
func remainingBudget(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return -1
	}
	return max(0, time.Until(deadline))
}

// execute runs a request that has acquired a slot.
func (t *Target) execute(ctx context.Context, r shardRequest) reply {
	if ctx.Err() != nil {
		return cutConnection(ResultCancelled)
	}
	if remainingBudget(r.deadline) == 0 {
		return t.shedReply(r, ResultBudget)
	}
	if r.Kind == targetapi.KindReserve {
		return t.reserve(r)
	}
	if !t.simulateWork(ctx) {
		return cutConnection(ResultCancelled)
	}
	answer := r.emptyAnswer()
	answer.Rows, answer.TotalRows = t.search(r.key, r.Text, r.Limit)
	answer.RowCount = len(answer.Rows)
	return t.encodeAnswer(r, answer)
}

// simulateWork sleeps for the service time. It returns false if the client disconnects.
func (t *Target) simulateWork(ctx context.Context) bool {
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

// reserve runs a reservation to its end even if the client disconnects, because the execution is
// logged when it begins.
func (t *Target) reserve(r shardRequest) reply {
	e, ok := t.reservations.begin(t.execution(r))
	if !ok {
		return refusedAttemptReply(r)
	}
	t.simulateWork(context.Background())
	answer := e.answer()
	answer.Shard, answer.Snapshot = r.key.shard, r.key.snapshot
	t.reservations.finish(answer)
	return t.encodeAnswer(r, answer)
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

func (r shardRequest) emptyAnswer() targetapi.Answer {
	return targetapi.Answer{
		RequestID: r.requestID,
		AttemptID: r.attemptID,
		Service:   r.key.service,
		Shard:     r.key.shard,
		Snapshot:  r.key.snapshot,
		Rows:      []targetapi.Row{},
	}
}

// encodeAnswer encodes the answer and applies the faults that alter responses.
func (t *Target) encodeAnswer(r shardRequest, a targetapi.Answer) reply {
	f := t.Faults()
	if t.rng.Chance(f.Fail) {
		return failedReply(r)
	}
	if t.rng.Chance(f.Cut) {
		return cutConnection(ResultCut)
	}
	short := len(a.Rows) > 0 && t.rng.Chance(f.ShortRows)
	if short {
		a.Rows = a.Rows[:len(a.Rows)-1]
	}
	body, _ := json.Marshal(a) // plain fields always encode
	if short {
		return corruptReply(body, len(body))
	}
	return t.corrupt(f, body)
}

func (t *Target) corrupt(f Faults, body []byte) reply {
	previous := t.swapPrevious(body)
	switch {
	case previous != nil && t.rng.Chance(f.Crossed):
		return corruptReply(previous, len(previous))
	case t.rng.Chance(f.Truncate):
		return corruptReply(body[:len(body)/2], len(body))
	case t.rng.Chance(f.ShortJSON):
		return corruptReply(body[:len(body)/2], len(body)/2)
	}
	return reply{status: http.StatusOK, result: ResultDone, body: body, length: len(body)}
}

func corruptReply(body []byte, length int) reply {
	return reply{status: http.StatusOK, result: ResultSpoiled, body: body, length: length}
}

// swapPrevious stores the body and returns the previously stored one.
func (t *Target) swapPrevious(body []byte) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.previousBody
	t.previousBody = body
	return previous
}
