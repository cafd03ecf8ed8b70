package claim

import (
	"context"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// met decides on a record that names another attempt. Either the request has
// its answer (stop), or no attempt of the record can run any more, and next
// may be taken.
func (f *runner) met(e entry) (next entry, res query.Reservation, stop bool) {
	switch {
	case e.version == 0: // removed, which happens only well past the horizon
		return entry{}, expired(), true
	case e.rec.Phase != Sending && e.rec.Phase != Released && e.rec.Phase != Settled:
		return entry{}, unsettled(0), true
	case !e.rec.sameRequest(f.req):
		return entry{}, refuse(query.ReasonBadRequest, 0), true
	case e.rec.Phase == Released:
		return e, query.Reservation{}, false
	case e.rec.Phase == Settled:
		return f.answered(e, e.rec.reply())
	}
	st := f.askOwner(e.rec)
	switch {
	case !st.Known:
		return f.resolve(e)
	case !st.Settled:
		return entry{}, unsettled(f.c.cfg.RetryAfter.Std()), true
	case st.NeverSent:
		f.c.metrics.takeovers.WithLabelValues("never_sent").Inc()
		return e, query.Reservation{}, false
	default:
		return f.answered(e, st.Reply)
	}
}

// answered gives the outcome of an earlier attempt to a repeat.
func (f *runner) answered(e entry, reply query.Reservation) (entry, query.Reservation, bool) {
	if reply.Outcome != outcome.Done && reply.Outcome != outcome.Failed {
		return f.resolve(e)
	}
	reply.Repeated = true
	return entry{}, reply, true
}

// askOwner asks the host in the record about its attempt, for as long as that
// host lives and the budget lasts. The state is not Known when nobody holds
// the attempt any more.
func (f *runner) askOwner(rec Record) State {
	for n := 0; ; n++ {
		self := f.c.view.Self()
		if rec.Host == self.ID {
			if rec.Incarnation != self.Incarnation {
				return State{}
			}
			return f.c.state(f.ctx, f.id.String(), rec.Attempt)
		}
		h, alive := findHost(f.c.view, rec)
		if !alive {
			return State{}
		}
		st, err := f.c.asker.Ask(f.ctx, h, f.id.String(), rec.Attempt)
		if err == nil && (st.Settled || !st.Known) {
			return st
		}
		if !f.c.backoff(f.ctx, n) {
			return State{Known: true}
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
// tell. Only the target's word that it did not run it, and never will, lets
// another attempt take its place.
func (f *runner) resolve(e entry) (next entry, res query.Reservation, stop bool) {
	switch verdict, reply := f.settle(e.rec); verdict {
	case ran:
		f.c.record(f.ctx, f.id, e.version, e.rec.settled(reply), nil)
		reply.Repeated = true
		return entry{}, reply, true
	case neverRan:
		f.c.metrics.takeovers.WithLabelValues("settled").Inc()
		return e, query.Reservation{}, false
	}
	if f.settles(e.rec) {
		return entry{}, unsettled(f.c.cfg.RetryAfter.Std()), true
	}
	return entry{}, unsettled(0), true // nobody will ever know more
}

// settles reports whether the targets of the record's service can be asked.
func (f *runner) settles(rec Record) bool {
	svc, ok := f.c.services.Service(rec.Service)
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
func (f *runner) settle(rec Record) (verdict, query.Reservation) {
	if !f.settles(rec) {
		return undecided, query.Reservation{}
	}
	for n := 0; f.ctx.Err() == nil; n++ {
		s, err := f.c.sender.Settle(f.ctx, rec.Service, rec.Target, rec.Attempt)
		if err != nil || s.AttemptID != rec.Attempt {
			break
		}
		if s.Running {
			f.c.backoff(f.ctx, n)
			continue
		}
		if !s.Ran {
			f.c.metrics.settles.WithLabelValues("never_ran").Inc()
			return neverRan, query.Reservation{}
		}
		f.c.metrics.settles.WithLabelValues("ran").Inc()
		return ran, query.Reservation{
			Outcome: outcome.Done, Granted: s.Answer.Granted, Answer: s.Answer.Text, Target: rec.Target,
		}
	}
	f.c.metrics.settles.WithLabelValues("undecided").Inc()
	return undecided, query.Reservation{}
}

// state waits for the end of one of this host's own attempts until ctx is done.
func (c *Claims) state(ctx context.Context, key, attemptID string) State {
	a := c.mem.find(attemptID)
	if a == nil || a.key != key {
		return State{}
	}
	select {
	case <-a.ended:
		return State{Known: true, Settled: true, NeverSent: a.notRun, Reply: a.reply}
	case <-ctx.Done():
		return State{Known: true}
	}
}
