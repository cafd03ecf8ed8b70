package claim

import (
	"context"
	"crypto/rand"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// runner is the run of one flight. It works on the record by conditional
// updates from a version on which no attempt can run any more: no record at
// all, a released one, an own attempt that was rejected, or another's attempt
// that is known as never run.
type runner struct {
	c       *Claims
	ctx     context.Context // ends a little before the caller's budget
	id      reservationID
	req     query.Reserve
	exclude []string          // targets that did not take an attempt
	refused query.Reservation // the newest answer of such a target
	held    *attempt          // own attempt that the record names, known as not run
}

// run returns the result of the flight.
func (r *runner) run() query.Reservation {
	if res, stop := r.checkTime(); stop {
		return res
	}
	base := entry{}
	for {
		target, refusal := r.c.sender.Pick(r.req, r.exclude)
		if refusal != nil {
			return r.noTarget(base, refusal)
		}
		if base.version == 0 && !r.c.creates.acquire() {
			return r.notRun(query.ReasonOverload)
		}
		a := r.c.mem.begin(r.id.String(), r.newRecord(target))
		t := r.take(base, a)
		switch t.status {
		case notTaken:
			return r.giveUp(base, a, t.doubt)
		case takenByOther:
			r.supersede(a)
			next, res, stop := r.examine(t.entry)
			if stop {
				return res
			}
			base = next
		case taken:
			r.dropHeld()
			res, again := r.send(t.entry, a)
			if !again {
				return res
			}
			base = t.entry
		}
	}
}

// checkTime judges the id by the platform's clock. That reading is as old as
// the platform's newest answer: it can only lag, so an id that is past the
// horizon by it is surely so, and one that seems to lie ahead is judged again
// by a fresh reading.
func (r *runner) checkTime() (res query.Reservation, stop bool) {
	now, known := r.c.store.Now()
	if !known || r.id.ahead(now, r.c.cfg.MaxAhead.Std()) {
		_, err := r.c.records.get(r.ctx, r.id)
		now, known = r.c.store.Now()
		if err != nil || !known {
			return refuse(query.ReasonPlatform, r.c.cfg.RetryAfter.Std()), true
		}
	}
	if r.id.expired(now, r.c.cfg.Horizon.Std()) {
		return expired(), true
	}
	if r.id.ahead(now, r.c.cfg.MaxAhead.Std()) {
		return refuse(query.ReasonBadRequest, 0), true
	}
	return query.Reservation{}, false
}

func (r *runner) newRecord(target string) Record {
	self := r.c.view.Self()
	return Record{
		Phase: Sending, Host: self.ID, Incarnation: self.Incarnation, Attempt: rand.Text(),
		Service: r.req.Service, Target: target, ItemDigest: digest(r.req.Item), Caller: r.req.Caller,
	}
}

// takeStatus says whose attempt the record names after take.
type takeStatus int

const (
	taken        takeStatus = iota // this attempt: it may be sent
	takenByOther                   // another attempt: this one's write can never be applied
	notTaken                       // not known in time: this attempt must never be sent
)

// takeResult is what take returns.
type takeResult struct {
	status takeStatus
	entry  entry
	doubt  bool // of notTaken: the write may have been applied, or may be later
}

// take makes the record name the attempt, from the version of base. A write
// that was not answered is repeated with the same attempt until it is
// settled: as versions of a record only grow, the repeat of a write that was
// applied meets its own attempt.
func (r *runner) take(base entry, a *attempt) takeResult {
	doubt := false
	for n := 0; ; n++ {
		start := time.Now()
		e, result := r.c.records.put(r.ctx, r.id, base.version, a.rec)
		if base.version == 0 && n == 0 {
			r.c.creates.release(time.Since(start), result)
		}
		switch result {
		case applied:
			return takeResult{status: taken, entry: e}
		case conflict:
			if e.rec.Attempt == a.id && e.rec.Phase == Sending {
				return takeResult{status: taken, entry: e}
			}
			return takeResult{status: takenByOther, entry: e}
		case ambiguous:
			doubt = true
			r.c.metrics.unanswered.Inc()
		}
		if !doubt || !r.c.backoff(r.ctx, n) {
			return takeResult{status: notTaken, doubt: doubt}
		}
	}
}

// send sends the attempt that the record e names. It reports again when the
// attempt did not run and another target may be tried.
//
// The id is judged once more, by the time at which the platform wrote the
// record: a host that froze between checkTime and its write may have created
// the record anew after the first one was removed. With this check a record is
// created once, at most, in the time in which an attempt may be sent.
func (r *runner) send(e entry, a *attempt) (res query.Reservation, again bool) {
	if r.id.expired(r.c.writtenAt(e), r.c.cfg.Horizon.Std()) {
		r.withdraw(e, a, refuse(query.ReasonExpired, 0))
		return expired(), false
	}
	if r.ctx.Err() != nil {
		res := r.notRun(query.ReasonBudget)
		r.withdraw(e, a, res)
		return res, false
	}
	lost, err := r.c.losses.before(r.ctx, e.era)
	if err != nil {
		res := r.notRun(query.ReasonPlatform)
		r.withdraw(e, a, res)
		return res, false
	}
	if !lost.IsZero() && !r.id.time().After(lost) {
		r.withdraw(e, a, r.notRun(query.ReasonUnsettled)) // this attempt
		return unsettled(r.c.cfg.RetryAfter.Std()), false
	}
	r.c.mem.sent(a)
	res = r.c.sender.Send(r.ctx, r.remaining(), a.rec.Target, a.id)
	res.Target = a.rec.Target
	if res.Outcome == outcome.Unknown {
		res = r.settleOwn(a, res)
	}
	if !res.Outcome.NotRun() {
		r.c.conclude(r.ctx, r.id, e, a, res)
		return res, false
	}
	r.c.mem.end(a, res)
	r.held, r.refused = a, res
	r.exclude = append(r.exclude, a.rec.Target)
	return res, true
}

// remaining returns the request with the budget that is left of it.
func (r *runner) remaining() query.Reserve {
	req := r.req
	if deadline, ok := r.ctx.Deadline(); ok {
		req.Budget = time.Until(deadline)
	}
	return req
}

// settleOwn asks the target about an own attempt with no valid answer, where
// the service's targets can be asked.
func (r *runner) settleOwn(a *attempt, res query.Reservation) query.Reservation {
	switch verdict, reply := r.settle(a.rec); verdict {
	case ran:
		return reply
	case neverRan:
		return query.Reservation{Outcome: outcome.Rejected, Reason: res.Reason, Target: a.rec.Target}
	}
	return res
}

// dropHeld forgets the held attempt: no record names it any more.
func (r *runner) dropHeld() {
	if r.held != nil {
		r.c.mem.recorded(r.held)
		r.held = nil
	}
}

// supersede ends an attempt whose record another one took first.
func (r *runner) supersede(a *attempt) {
	r.c.mem.end(a, refuse(query.ReasonUnsettled, 0))
	r.c.mem.recorded(a)
	r.dropHeld()
}

// withdraw ends an own attempt that was never sent and releases its record.
func (r *runner) withdraw(e entry, a *attempt, res query.Reservation) {
	r.c.mem.end(a, res)
	r.c.release(r.id, e.version, a)
}

// giveUp ends an attempt that the record may or may not come to name. It is
// never sent.
func (r *runner) giveUp(base entry, a *attempt, doubt bool) query.Reservation {
	reason := query.ReasonPlatform
	if r.ctx.Err() != nil && !doubt {
		reason = query.ReasonBudget
	}
	res := r.notRun(reason)
	r.c.mem.end(a, res)
	if !doubt && r.held == nil {
		r.c.mem.recorded(a)
		return res
	}
	mine := []*attempt{a}
	if r.held != nil {
		mine = append(mine, r.held)
	}
	r.c.release(r.id, base.version, mine...)
	return res
}

// noTarget ends a run for which there is no target. A repeat may still have
// its answer in the record.
func (r *runner) noTarget(base entry, refusal *query.Refusal) query.Reservation {
	res := r.notRun(refusal.Reason)
	res.RetryAfter = max(refusal.RetryAfter, r.refused.RetryAfter)
	if r.refused.Reason != "" {
		res.Reason = r.refused.Reason
	}
	e := entry{}
	switch {
	case r.held != nil:
		e = r.releaseHeld(base)
	case base.version == 0:
		e, _ = r.c.records.get(r.ctx, r.id) // a failure leaves the refusal, which is true as well
	}
	if e.version == 0 {
		return res
	}
	if _, found, stop := r.examine(e); stop {
		return found
	}
	return res
}

// releaseHeld frees the record of the held attempt, in the background if the
// platform takes long. It returns the record if another attempt has taken it
// meanwhile.
func (r *runner) releaseHeld(base entry) entry {
	ctx, cancel := context.WithTimeout(r.ctx, r.c.cfg.OutcomeWait.Std())
	defer cancel()
	e, result := r.c.records.put(ctx, r.id, base.version, r.held.rec.released())
	if result != applied && result != conflict {
		r.c.release(r.id, base.version, r.held)
		return entry{}
	}
	r.dropHeld()
	if result == applied {
		return entry{}
	}
	return e
}

// notRun returns the result of a request none of whose attempts ran.
func (r *runner) notRun(reason query.Reason) query.Reservation {
	res := refuse(reason, r.c.cfg.RetryAfter.Std())
	res.Outcome = outcome.Combine(res.Outcome, r.refused.Outcome)
	return res
}
