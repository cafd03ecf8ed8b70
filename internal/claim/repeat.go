package claim

import (
	"context"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// evaluateRecord evaluates a record that names another attempt. If stop is
// true, res is the result of the request. Otherwise no attempt named in the
// record can run any more, and the record may be claimed from the version of
// next.
func (r *runner) evaluateRecord(e entry) (next entry, res query.Reservation, stop bool) {
	switch {
	case e.version == 0: // removed, which happens only after removeAfter
		return entry{}, expired(), true
	case e.rec.Phase != Sending && e.rec.Phase != Released && e.rec.Phase != Settled:
		return entry{}, unsettled(0), true
	case !e.rec.sameRequest(r.req):
		return entry{}, refuse(query.ReasonBadRequest, 0), true
	case e.rec.Phase == Released:
		return e, query.Reservation{}, false
	case e.rec.Phase == Settled:
		return r.repeatedReply(e, e.rec.reply())
	}
	st := r.queryHost(e.rec)
	switch {
	case !st.Known:
		return r.settleByTarget(e)
	case !st.Ended:
		return entry{}, unsettled(r.c.cfg.RetryAfter.Std()), true
	case st.NotRun:
		r.c.metrics.takeovers.WithLabelValues("never_sent").Inc()
		return e, query.Reservation{}, false
	default:
		return r.repeatedReply(e, st.Reply)
	}
}

// repeatedReply returns the outcome of an earlier attempt as the result of a
// repeat. If that outcome is not final, the target is queried.
func (r *runner) repeatedReply(e entry, reply query.Reservation) (entry, query.Reservation, bool) {
	if reply.Outcome != outcome.Done && reply.Outcome != outcome.Failed {
		return r.settleByTarget(e)
	}
	reply.Repeated = true
	return entry{}, reply, true
}

// queryHost queries the host named in the record for the state of its attempt.
// It retries while that host is alive and budget is left. The result is not
// Known if no host has the state of the attempt any more.
func (r *runner) queryHost(rec Record) AttemptState {
	for n := 0; ; n++ {
		self := r.c.view.Self()
		if rec.Host == self.ID {
			if rec.Incarnation != self.Incarnation {
				return AttemptState{}
			}
			return r.c.attemptState(r.ctx, r.id.String(), rec.Attempt)
		}
		h, alive := findHost(r.c.view, rec)
		if !alive {
			return AttemptState{}
		}
		st, err := r.c.attemptClient.QueryAttempt(r.ctx, h, r.id.String(), rec.Attempt)
		if err == nil && (st.Ended || !st.Known) {
			return st
		}
		if !r.c.backoff(r.ctx, n) {
			return AttemptState{Known: true}
		}
	}
}

// findHost returns the host named in the record, unless it is dead or has
// restarted since.
func findHost(v member.View, rec Record) (member.Host, bool) {
	for _, h := range v.Hosts() {
		if h.ID == rec.Host {
			return h, h.Incarnation <= rec.Incarnation && h.State != member.Dead
		}
	}
	return member.Host{}, false
}

// settleByTarget decides on an attempt that may have run and whose host cannot
// report its state. Another attempt may replace it only if the target confirms
// that it has not run it and never will.
func (r *runner) settleByTarget(e entry) (next entry, res query.Reservation, stop bool) {
	switch verdict, reply := r.settle(e.rec); verdict {
	case ran:
		r.c.writeSettled(r.ctx, r.id, e.version, e.rec.settled(reply), nil)
		reply.Repeated = true
		return entry{}, reply, true
	case neverRan:
		r.c.metrics.takeovers.WithLabelValues("settled").Inc()
		return e, query.Reservation{}, false
	}
	if r.canSettle(e.rec) {
		return entry{}, unsettled(r.c.cfg.RetryAfter.Std()), true
	}
	return entry{}, unsettled(0), true // the result can never be determined, so a retry is of no use
}

// canSettle reports whether the targets of the record's service support
// settling.
func (r *runner) canSettle(rec Record) bool {
	svc, ok := r.c.services.Service(rec.Service)
	return ok && svc.Rules.Settle
}

// verdict is the result of settling an attempt with its target.
type verdict int

const (
	undecided verdict = iota
	ran
	neverRan // the target rejects the attempt from now on
)

// settle queries the target named in the record for the result of its attempt,
// if the service supports it. While the attempt is still running, the query is
// retried within the budget.
func (r *runner) settle(rec Record) (verdict, query.Reservation) {
	if !r.canSettle(rec) {
		return undecided, query.Reservation{}
	}
	for n := 0; r.ctx.Err() == nil; n++ {
		s, err := r.c.sender.Settle(r.ctx, rec.Service, rec.Target, rec.Attempt)
		if err != nil || s.AttemptID != rec.Attempt {
			break
		}
		if s.Running {
			r.c.backoff(r.ctx, n)
			continue
		}
		if !s.Ran {
			r.c.metrics.settles.WithLabelValues("never_ran").Inc()
			return neverRan, query.Reservation{}
		}
		r.c.metrics.settles.WithLabelValues("ran").Inc()
		return ran, query.Reservation{
			Outcome: outcome.Done, Granted: s.Answer.Granted, Answer: s.Answer.Text, Target: rec.Target,
		}
	}
	r.c.metrics.settles.WithLabelValues("undecided").Inc()
	return undecided, query.Reservation{}
}

// attemptState waits until one of this host's own attempts has ended or ctx is
// done, and returns its state.
func (c *Claims) attemptState(ctx context.Context, reservation, attemptID string) AttemptState {
	a := c.mem.find(attemptID)
	if a == nil || a.reservation != reservation {
		return AttemptState{}
	}
	select {
	case <-a.ended:
		return AttemptState{Known: true, Ended: true, NotRun: a.notRun, Reply: a.reply}
	case <-ctx.Done():
		return AttemptState{Known: true}
	}
}
