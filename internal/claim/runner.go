package claim

import (
	"context"
	"crypto/rand"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// runner executes one flight. It updates the record conditionally on a version
// from which no attempt can run any more: no record, a released record, an
// attempt of its own that was rejected, or an attempt of another host that is
// known never to run.
type runner struct {
	c             *Claims
	ctx           context.Context // ends responseMargin before the caller's deadline
	id            reservationID
	req           query.ReserveRequest
	exclude       []string          // targets that did not run an attempt
	lastRejection query.Reservation // result of the newest attempt that did not run
	rejected      *attempt          // own attempt that the record names and that did not run
}

// run executes the flight and returns its result.
func (r *runner) run() query.Reservation {
	if res, stop := r.checkID(); stop {
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
		a := r.c.mem.add(r.id.String(), r.newRecord(target))
		t := r.claimRecord(base, a)
		switch t.status {
		case notClaimed:
			return r.endUnclaimed(base, a, t.maybeApplied)
		case claimedByOther:
			r.endSuperseded(a)
			next, res, stop := r.evaluateRecord(t.entry)
			if stop {
				return res
			}
			base = next
		case claimed:
			r.evictRejected()
			res, retry := r.send(t.entry, a)
			if !retry {
				return res
			}
			base = t.entry
		}
	}
}

// checkID checks the age of the id against the platform's clock. The host's
// reading of that clock is the time of the platform's newest response, so it
// can only lag: an id that is past the horizon by it is certainly past it, and
// an id that seems too far ahead is checked again with a fresh reading.
func (r *runner) checkID() (res query.Reservation, stop bool) {
	now, known := r.c.store.Now()
	if !known || r.id.tooFarAhead(now, r.c.cfg.MaxAhead.Std()) {
		_, err := r.c.records.get(r.ctx, r.id)
		now, known = r.c.store.Now()
		if err != nil || !known {
			return refuse(query.ReasonPlatform, r.c.cfg.RetryAfter.Std()), true
		}
	}
	if r.id.expired(now, r.c.cfg.Horizon.Std()) {
		return expired(), true
	}
	if r.id.tooFarAhead(now, r.c.cfg.MaxAhead.Std()) {
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

// claimStatus is the result of claiming a record for an attempt.
type claimStatus int

const (
	claimed        claimStatus = iota // the record names this attempt, which may be sent
	claimedByOther                    // the record names another attempt; the write of this one can never be applied
	notClaimed                        // not confirmed in time; this attempt must never be sent
)

// claimResult is the return value of claimRecord.
type claimResult struct {
	status       claimStatus
	entry        entry
	maybeApplied bool // with notClaimed: the write may have been applied, or may still be
}

// claimRecord writes the attempt into the record, conditional on the version of
// base. A write without a response is retried with the same attempt until its
// result is known. Record versions only increase, so the retry of a write that
// was applied conflicts with a record that names its own attempt.
func (r *runner) claimRecord(base entry, a *attempt) claimResult {
	maybeApplied := false
	for n := 0; ; n++ {
		start := time.Now()
		e, result := r.c.records.put(r.ctx, r.id, base.version, a.rec)
		if base.version == 0 && n == 0 {
			r.c.creates.release(time.Since(start), result)
		}
		switch result {
		case applied:
			return claimResult{status: claimed, entry: e}
		case conflict:
			if e.rec.Attempt == a.id && e.rec.Phase == Sending {
				return claimResult{status: claimed, entry: e}
			}
			return claimResult{status: claimedByOther, entry: e}
		case ambiguous:
			maybeApplied = true
			r.c.metrics.unanswered.Inc()
		}
		if !maybeApplied || !r.c.backoff(r.ctx, n) {
			return claimResult{status: notClaimed, maybeApplied: maybeApplied}
		}
	}
}

// send sends the attempt that the record e names. retry is true if the attempt
// did not run and another target may be tried.
//
// The age of the id is checked again, at the time at which the platform wrote
// the record: a host that was suspended between checkID and its write may have
// created the record again after the first one was removed. With this check a
// record is created at most once within the time in which an attempt may be
// sent.
func (r *runner) send(e entry, a *attempt) (res query.Reservation, retry bool) {
	if r.id.expired(r.c.writtenAt(e), r.c.cfg.Horizon.Std()) {
		r.withdraw(e, a, refuse(query.ReasonExpired, 0))
		return expired(), false
	}
	if r.ctx.Err() != nil {
		res := r.notRun(query.ReasonBudget)
		r.withdraw(e, a, res)
		return res, false
	}
	cutoff, err := r.c.eras.lossCutoff(r.ctx, e.era)
	if err != nil {
		res := r.notRun(query.ReasonPlatform)
		r.withdraw(e, a, res)
		return res, false
	}
	if !cutoff.IsZero() && !r.id.time().After(cutoff) {
		r.withdraw(e, a, r.notRun(query.ReasonUnsettled)) // this attempt did not run; an earlier one may have
		return unsettled(r.c.cfg.RetryAfter.Std()), false
	}
	r.c.mem.markSent(a)
	res = r.c.sender.Send(r.ctx, r.remaining(), a.rec.Target, a.id)
	res.Target = a.rec.Target
	if res.Outcome == outcome.Unknown {
		res = r.settleOwn(a, res)
	}
	if !res.Outcome.NotRun() {
		r.c.recordOutcome(r.ctx, r.id, e, a, res)
		return res, false
	}
	r.c.mem.markEnded(a, res)
	r.rejected, r.lastRejection = a, res
	r.exclude = append(r.exclude, a.rec.Target)
	return res, true
}

// remaining returns the request with its remaining budget.
func (r *runner) remaining() query.ReserveRequest {
	req := r.req
	if deadline, ok := r.ctx.Deadline(); ok {
		req.Budget = time.Until(deadline)
	}
	return req
}

// settleOwn settles one of this host's own attempts that got no valid response,
// if the service supports it.
func (r *runner) settleOwn(a *attempt, res query.Reservation) query.Reservation {
	switch verdict, reply := r.settle(a.rec); verdict {
	case ran:
		return reply
	case neverRan:
		return query.Reservation{Outcome: outcome.Rejected, Reason: res.Reason, Target: a.rec.Target}
	}
	return res
}

// evictRejected makes the rejected attempt evictable, as no record names it any
// more.
func (r *runner) evictRejected() {
	if r.rejected != nil {
		r.c.mem.markEvictable(r.rejected)
		r.rejected = nil
	}
}

// endSuperseded ends an attempt whose record another attempt claimed first.
func (r *runner) endSuperseded(a *attempt) {
	r.c.mem.markEnded(a, refuse(query.ReasonUnsettled, 0))
	r.c.mem.markEvictable(a)
	r.evictRejected()
}

// withdraw ends an own attempt that was never sent and releases its record.
func (r *runner) withdraw(e entry, a *attempt, res query.Reservation) {
	r.c.mem.markEnded(a, res)
	r.c.release(r.id, e.version, a)
}

// endUnclaimed ends an attempt that is not confirmed to be in the record, and
// may still get there. The attempt is never sent.
func (r *runner) endUnclaimed(base entry, a *attempt, maybeApplied bool) query.Reservation {
	reason := query.ReasonPlatform
	if r.ctx.Err() != nil && !maybeApplied {
		reason = query.ReasonBudget
	}
	res := r.notRun(reason)
	r.c.mem.markEnded(a, res)
	if !maybeApplied && r.rejected == nil {
		r.c.mem.markEvictable(a)
		return res
	}
	attempts := []*attempt{a}
	if r.rejected != nil {
		attempts = append(attempts, r.rejected)
	}
	r.c.release(r.id, base.version, attempts...)
	return res
}

// noTarget ends a flight for which no target is available. If the request is a
// repeat, the record may still contain its result.
func (r *runner) noTarget(base entry, refusal *query.Refusal) query.Reservation {
	res := r.notRun(refusal.Reason)
	res.RetryAfter = max(refusal.RetryAfter, r.lastRejection.RetryAfter)
	if r.lastRejection.Reason != "" {
		res.Reason = r.lastRejection.Reason
	}
	e := entry{}
	switch {
	case r.rejected != nil:
		e = r.releaseRejected(base)
	case base.version == 0:
		e, _ = r.c.records.get(r.ctx, r.id) // on an error the refusal is returned, which holds as well
	}
	if e.version == 0 {
		return res
	}
	if _, found, stop := r.evaluateRecord(e); stop {
		return found
	}
	return res
}

// releaseRejected releases the record of the rejected attempt. If the platform
// does not respond within OutcomeWait, the release continues in the background.
// It returns the record if another attempt has claimed it meanwhile.
func (r *runner) releaseRejected(base entry) entry {
	ctx, cancel := context.WithTimeout(r.ctx, r.c.cfg.OutcomeWait.Std())
	defer cancel()
	e, result := r.c.records.put(ctx, r.id, base.version, r.rejected.rec.released())
	if result != applied && result != conflict {
		r.c.release(r.id, base.version, r.rejected)
		return entry{}
	}
	r.evictRejected()
	if result == applied {
		return entry{}
	}
	return e
}

// notRun returns the result of a request none of whose attempts ran.
func (r *runner) notRun(reason query.Reason) query.Reservation {
	res := refuse(reason, r.c.cfg.RetryAfter.Std())
	res.Outcome = outcome.Combine(res.Outcome, r.lastRejection.Outcome)
	return res
}
