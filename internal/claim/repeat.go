package claim

import (
	"context"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// examine decides on a record that names another attempt. Either the request
// has its answer (stop), or no attempt of the record can run any more, and the
// record may be taken over from next.
func (r *runner) examine(e entry) (next entry, res query.Reservation, stop bool) {
	switch {
	case e.version == 0: // removed, which happens only well past the horizon
		return entry{}, expired(), true
	case e.rec.Phase != Sending && e.rec.Phase != Released && e.rec.Phase != Settled:
		return entry{}, unsettled(0), true
	case !e.rec.sameRequest(r.req):
		return entry{}, refuse(query.ReasonBadRequest, 0), true
	case e.rec.Phase == Released:
		return e, query.Reservation{}, false
	case e.rec.Phase == Settled:
		return r.answered(e, e.rec.reply())
	}
	st := r.askHost(e.rec)
	switch {
	case !st.Known:
		return r.resolve(e)
	case !st.Ended:
		return entry{}, unsettled(r.c.cfg.RetryAfter.Std()), true
	case st.NotRun:
		r.c.metrics.takeovers.WithLabelValues("never_sent").Inc()
		return e, query.Reservation{}, false
	default:
		return r.answered(e, st.Reply)
	}
}

// answered gives the outcome of an earlier attempt to a repeat.
func (r *runner) answered(e entry, reply query.Reservation) (entry, query.Reservation, bool) {
	if reply.Outcome != outcome.Done && reply.Outcome != outcome.Failed {
		return r.resolve(e)
	}
	reply.Repeated = true
	return entry{}, reply, true
}

// askHost asks the host in the record about its attempt, for as long as that
// host lives and the budget lasts. The state is not Known when no host
// holds the attempt any more.
func (r *runner) askHost(rec Record) AttemptState {
	for n := 0; ; n++ {
		self := r.c.view.Self()
		if rec.Host == self.ID {
			if rec.Incarnation != self.Incarnation {
				return AttemptState{}
			}
			return r.c.state(r.ctx, r.id.String(), rec.Attempt)
		}
		h, alive := findHost(r.c.view, rec)
		if !alive {
			return AttemptState{}
		}
		st, err := r.c.asker.Ask(r.ctx, h, r.id.String(), rec.Attempt)
		if err == nil && (st.Ended || !st.Known) {
			return st
		}
		if !r.c.backoff(r.ctx, n) {
			return AttemptState{Known: true}
		}
	}
}

// findHost returns the host of the record, unless it is dead or was started
// anew.
func findHost(v member.View, rec Record) (member.Host, bool) {
	for _, h := range v.Hosts() {
		if h.ID == rec.Host {
			return h, h.Incarnation <= rec.Incarnation && h.State != member.Dead
		}
	}
	return member.Host{}, false
}

// resolve decides on an attempt that may have run and whose sender cannot
// tell. Another attempt may take its place only if the target answers that it
// did not run it and never will.
func (r *runner) resolve(e entry) (next entry, res query.Reservation, stop bool) {
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
	return entry{}, unsettled(0), true // it will never be known, so a repeat is of no use
}

// canSettle reports whether the targets of the record's service can be asked.
func (r *runner) canSettle(rec Record) bool {
	svc, ok := r.c.services.Service(rec.Service)
	return ok && svc.Rules.Settle
}

// verdict is what a target says about an attempt.
type verdict int

const (
	undecided verdict = iota
	ran
	neverRan // and it will be refused from now on
)

// settle asks the target of the record about its attempt, where the service's
// targets can be asked. A running attempt is asked about again within the
// budget.
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

// state waits for the end of one of this host's own attempts until ctx is done.
func (c *Claims) state(ctx context.Context, key, attemptID string) AttemptState {
	a := c.mem.find(attemptID)
	if a == nil || a.key != key {
		return AttemptState{}
	}
	select {
	case <-a.ended:
		return AttemptState{Known: true, Ended: true, NotRun: a.notRun, Reply: a.reply}
	case <-ctx.Done():
		return AttemptState{Known: true}
	}
}
