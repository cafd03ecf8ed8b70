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
	refused query.Reservation // the newest word of such a target
	held    *attempt          // own attempt that the record names, known as not run
}

// run returns the final word.
func (f *runner) run() query.Reservation {
	if res, stop := f.checkTime(); stop {
		return res
	}
	base := entry{}
	for {
		target, refusal := f.c.sender.Pick(f.req, f.exclude)
		if refusal != nil {
			return f.noTarget(base, refusal)
		}
		if base.version == 0 && !f.c.gate.enter() {
			return f.notRun(query.ReasonOverload)
		}
		a := f.c.mem.begin(f.id.String(), f.newRecord(target))
		t := f.take(base, a)
		switch t.by {
		case nobody:
			return f.giveUp(base, a, t.doubt)
		case another:
			f.lost(a)
			next, res, stop := f.met(t.entry)
			if stop {
				return res
			}
			base = next
		case self:
			f.letGo()
			res, again := f.send(t.entry, a)
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
func (f *runner) checkTime() (res query.Reservation, stop bool) {
	now, known := f.c.store.Now()
	if !known || f.id.ahead(now, f.c.cfg.MaxAhead.Std()) {
		_, err := f.c.records.get(f.ctx, f.id)
		now, known = f.c.store.Now()
		if err != nil || !known {
			return refuse(query.ReasonPlatform, f.c.cfg.RetryAfter.Std()), true
		}
	}
	if f.id.expired(now, f.c.cfg.Horizon.Std()) {
		return expired(), true
	}
	if f.id.ahead(now, f.c.cfg.MaxAhead.Std()) {
		return refuse(query.ReasonBadRequest, 0), true
	}
	return query.Reservation{}, false
}

func (f *runner) newRecord(target string) Record {
	self := f.c.view.Self()
	return Record{
		Phase: Sending, Host: self.ID, Incarnation: self.Incarnation, Attempt: rand.Text(),
		Service: f.req.Service, Target: target, ItemDigest: digest(f.req.Item), Caller: f.req.Caller,
	}
}

// owner tells whom the record names after take.
type owner int

const (
	self    owner = iota // the attempt: it may be sent
	another              // another attempt: this one can never land
	nobody               // not settled in time: the attempt must never be sent
)

// taking is the result of take.
type taking struct {
	by    owner
	entry entry
	doubt bool // by nobody: the write may have landed, or may land later
}

// take makes the record name the attempt, from the version of base. A write
// that was not answered is repeated with the same attempt until it is
// settled: as versions of a record only grow, the repeat of a write that had
// landed meets its own attempt.
func (f *runner) take(base entry, a *attempt) taking {
	doubt := false
	for n := 0; ; n++ {
		start := time.Now()
		e, result := f.c.records.put(f.ctx, f.id, base.version, a.rec)
		if base.version == 0 && n == 0 {
			f.c.gate.leave(time.Since(start), result)
		}
		switch result {
		case applied:
			return taking{by: self, entry: e}
		case conflict:
			if e.rec.Attempt == a.id && e.rec.Phase == Sending {
				return taking{by: self, entry: e}
			}
			return taking{by: another, entry: e}
		case ambiguous:
			doubt = true
			f.c.metrics.unanswered.Inc()
		}
		if !doubt || !f.c.backoff(f.ctx, n) {
			return taking{by: nobody, doubt: doubt}
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
func (f *runner) send(e entry, a *attempt) (res query.Reservation, again bool) {
	if f.id.expired(f.c.written(e), f.c.cfg.Horizon.Std()) {
		f.withdraw(e, a, refuse(query.ReasonExpired, 0))
		return expired(), false
	}
	if f.ctx.Err() != nil {
		res := f.notRun(query.ReasonBudget)
		f.withdraw(e, a, res)
		return res, false
	}
	f.c.mem.sent(a)
	res = f.c.sender.Send(f.ctx, f.remaining(), a.rec.Target, a.id)
	res.Target = a.rec.Target
	if res.Outcome == outcome.Unknown {
		res = f.settleOwn(a, res)
	}
	if !res.Outcome.NotRun() {
		f.c.conclude(f.ctx, f.id, e, a, res)
		return res, false
	}
	f.c.mem.end(a, res)
	f.held, f.refused = a, res
	f.exclude = append(f.exclude, a.rec.Target)
	return res, true
}

// remaining returns the request with the budget that is left of it.
func (f *runner) remaining() query.Reserve {
	r := f.req
	if deadline, ok := f.ctx.Deadline(); ok {
		r.Budget = time.Until(deadline)
	}
	return r
}

// settleOwn asks the target about an own attempt with no valid answer, where
// the service's targets can be asked.
func (f *runner) settleOwn(a *attempt, res query.Reservation) query.Reservation {
	switch verdict, reply := f.settle(a.rec); verdict {
	case ran:
		return reply
	case neverRan:
		return query.Reservation{Outcome: outcome.Rejected, Reason: res.Reason, Target: a.rec.Target}
	}
	return res
}

// letGo forgets the held attempt: no record names it any more.
func (f *runner) letGo() {
	if f.held != nil {
		f.c.mem.written(f.held)
		f.held = nil
	}
}

// lost ends an attempt that another one forestalled.
func (f *runner) lost(a *attempt) {
	f.c.mem.end(a, refuse(query.ReasonUnsettled, 0))
	f.c.mem.written(a)
	f.letGo()
}

// withdraw ends an own attempt that was never sent and releases its record.
func (f *runner) withdraw(e entry, a *attempt, res query.Reservation) {
	f.c.mem.end(a, res)
	f.c.release(f.id, e.version, a)
}

// giveUp ends an attempt that the record may or may not come to name. It is
// never sent.
func (f *runner) giveUp(base entry, a *attempt, doubt bool) query.Reservation {
	reason := query.ReasonPlatform
	if f.ctx.Err() != nil && !doubt {
		reason = query.ReasonBudget
	}
	res := f.notRun(reason)
	f.c.mem.end(a, res)
	if !doubt && f.held == nil {
		f.c.mem.written(a)
		return res
	}
	mine := []*attempt{a}
	if f.held != nil {
		mine = append(mine, f.held)
	}
	f.c.release(f.id, base.version, mine...)
	return res
}

// noTarget ends a run for which there is no target. A repeat may still have
// its answer in the record.
func (f *runner) noTarget(base entry, refusal *query.Refusal) query.Reservation {
	res := f.notRun(refusal.Reason)
	res.RetryAfter = max(refusal.RetryAfter, f.refused.RetryAfter)
	if f.refused.Reason != "" {
		res.Reason = f.refused.Reason
	}
	e := entry{}
	switch {
	case f.held != nil:
		e = f.releaseHeld(base)
	case base.version == 0:
		e, _ = f.c.records.get(f.ctx, f.id) // a failure leaves the refusal, which is true as well
	}
	if e.version == 0 {
		return res
	}
	if _, found, stop := f.met(e); stop {
		return found
	}
	return res
}

// releaseHeld frees the record of the held attempt, in the background if the
// platform takes long. It returns the record if another attempt has taken it
// meanwhile.
func (f *runner) releaseHeld(base entry) entry {
	ctx, cancel := context.WithTimeout(f.ctx, f.c.cfg.OutcomeWait.Std())
	defer cancel()
	e, result := f.c.records.put(ctx, f.id, base.version, f.held.rec.released())
	if result != applied && result != conflict {
		f.c.release(f.id, base.version, f.held)
		return entry{}
	}
	f.letGo()
	if result == applied {
		return entry{}
	}
	return e
}

// notRun is the word on a request none of whose attempts ran.
func (f *runner) notRun(reason query.Reason) query.Reservation {
	res := refuse(reason, f.c.cfg.RetryAfter.Std())
	res.Outcome = outcome.Combine(res.Outcome, f.refused.Outcome)
	return res
}
