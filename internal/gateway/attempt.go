package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/targetconn"
)

// request is a caller's request on its way through the host.
type request struct {
	ctx          context.Context // of every attempt; done when the caller left without an answer
	call         Call
	caller       string // address and port
	method       string
	uri          string
	host         string
	header       http.Header // to forward; not changed after it was built
	body         []byte
	arrived      time.Time
	arrivedClock time.Time   // the same by the clock that goes on while the machine is suspended
	expired      atomic.Bool // its time was over when the machine went on after a suspension
	// objective is the latency up to which an answer is worth all: the route's, or
	// the time that the caller waits if that names none.
	objective time.Duration
	answerBy  time.Time // when an answer that lacks parts must leave to be in time
	deadline  time.Time // until which the caller waits, or the route lets it
	// goAhead is set once the host that asked for the query will not gather it itself;
	// nil: the query is this host's own.
	goAhead      *atomic.Bool
	homeRegions  []string    // regions whose targets may get it; none: all
	rank         int         // of its route, the lowest first
	sharded      bool        // its answer is made of parts
	lateRetry    bool        // the caller has spent most of the objective before it sent this
	stats        *routeStats // of the route
	latencyScale float64     // of latencies; see pace
	attempts     atomic.Int32

	cachedKeys quarantine.Request // use keys
	keysOnce   sync.Once

	// What all attempts send alike is encoded with the first.
	encodeOnce  sync.Once
	encodedHead []byte
	headErr     error
}

// result is what became of one attempt.
type result struct {
	target          *target
	outcome         outcome.Outcome
	verdict         Verdict
	answer          targetconn.Answer
	err             error
	took            time.Duration
	shed            bool // the target refused it
	targetTimedOut  bool // the target gave it up when the time that it was given was over
	abandoned       bool // given up before an answer came
	sendChecked     bool // it was asked whether the target may get it
	connectionLost  bool // the connection ended while the target had the request
	targetRestarted bool // another incarnation took the target's place while it had the request
	// unreachable is set if the target took no connection.
	unreachable bool
}

// head returns what all attempts of the request send alike.
func (g *Gateway) head(r *request) ([]byte, error) {
	r.encodeOnce.Do(func() {
		shared := make(http.Header, len(r.header))
		for name, values := range r.header {
			if _, own := g.attemptHeader[name]; !own {
				shared[name] = values
			}
		}
		r.encodedHead, r.headErr = targetconn.NewHead(r.method, r.uri, r.host, shared, len(r.body))
	})
	return r.encodedHead, r.headErr
}

// soleGatherer reports whether no other host may be asking the same shards.
func (r *request) soleGatherer() bool { return r.goAhead == nil || r.goAhead.Load() }

// send makes one attempt at a target that acquire returned, gives the place back, and
// holds the outcome against the target or the request. alone tells that no other attempt of
// the request is made beside it.
func (g *Gateway) send(ctx context.Context, s *service, t *target, r *request, sends *sendTracker, alone bool) result {
	began := time.Now()
	res := g.attempt(ctx, s, t, r, sends, alone)
	res.target = t
	res.took = time.Since(began)
	if res.connectionLost {
		g.noteConnectionLost(t, r, res)
	}
	g.finishAttempt(s, t, r, res)
	g.metrics.attempts.WithLabelValues(res.outcome.String()).Inc()
	g.updateQuarantine(r, s, t, res, alone)
	return res
}

// attempt sends the request once, unless the run is given up before it has a connection.
func (g *Gateway) attempt(ctx context.Context, s *service, t *target, r *request, sends *sendTracker, alone bool) result {
	head, err := g.head(r)
	if err != nil {
		t.pool.Unreserve()
		return result{outcome: outcome.NotSent, err: err}
	}
	conn, err := t.pool.Get(ctx, r.deadline)
	if err != nil {
		abandoned := ctx.Err() != nil
		return result{outcome: outcome.NotSent, err: err, abandoned: abandoned, unreachable: !abandoned && targetconn.Unreachable(err)}
	}
	if doubt, ask := s.needsWarmupQuery(t); ask {
		if conn, err = g.queryWarmup(ctx, conn, s, t, r, doubt); err != nil {
			return result{outcome: outcome.NotSent, err: err, abandoned: true}
		}
	}
	if !sends.begin() {
		conn.Release()
		return result{outcome: outcome.NotSent, err: Error.Wrap(errAbandoned), abandoned: true}
	}
	if err := s.authorizeSend(t, r); err != nil {
		conn.Release()
		sends.end(outcome.NotSent)
		return result{outcome: outcome.NotSent, err: Error.Wrap(err), abandoned: true, sendChecked: true}
	}
	res := g.exchange(ctx, conn, t, r, head, alone)
	res.sendChecked = true
	sends.end(res.outcome)
	return res
}

// errEvacuated means that the target's failure domain was evacuated before an attempt was sent.
var errEvacuated = errors.New("the target's failure domain is evacuated")

// errAbandoned means that the request was answered before an attempt was sent.
var errAbandoned = errors.New("the request was given up before it was sent")

// exchange sends the request over a connection and judges the answer.
func (g *Gateway) exchange(ctx context.Context, conn *targetconn.Conn, t *target, r *request, head []byte, alone bool) result {
	left := time.Until(r.deadline)
	if left <= 0 {
		conn.Discard()
		return result{outcome: outcome.NotSent, err: Error.Wrap(errDeadline), abandoned: true}
	}
	timeout := left
	if !alone && !g.cfg.disabled(BoundedWork) { // one made alone is to show whether its target lives on
		timeout = r.usefulTime(left)
	}
	own := http.Header{}
	g.messages.Attempt(own, t.conf.ID, timeout)
	began := time.Now()
	answer, sent, err := conn.Exchange(ctx, r.deadline, &targetconn.Request{
		Method: r.method, Head: head, Header: own, Body: r.body,
		Mine:  func(h http.Header) bool { return g.answers(h, r) },
		Limit: g.cfg.MaxAnswer,
	})
	if err != nil {
		late := ctx.Err() != nil || !time.Now().Before(r.deadline)
		if !sent {
			return result{outcome: outcome.NotSent, err: err, abandoned: late}
		}
		if t.replaced.Load() && !late {
			return result{outcome: outcome.Unknown, err: Error.Wrap(errTargetRestarted), targetRestarted: true}
		}
		return result{outcome: outcome.Unknown, err: err, abandoned: late, connectionLost: !late && targetconn.BrokeOff(err)}
	}
	res := g.evaluate(t, answer)
	res.targetTimedOut = timeout < left && res.outcome != outcome.Done && time.Since(began) > timeout-targetTimeoutMargin
	return res
}

// errTargetRestarted means that a target has started again while it had a request.
var errTargetRestarted = errors.New("the target has started again; the request may have run")

// targetTimeoutMargin is how long before the end of its time a target may say that it
// was not enough: it counts in milliseconds, on its own clock.
const targetTimeoutMargin = 2 * time.Millisecond

// usefulTime returns how much of the time that is left an attempt is of use: a part
// that comes after the answer has left is not. Told so, a target that can't keep
// up drops such work from its queue and does not make all others late.
func (r *request) usefulTime(left time.Duration) time.Duration {
	if until := time.Until(r.answerBy); r.sharded && until > 0 {
		return min(left, until)
	}
	return left
}

// answers reports whether an answer is the one to the request. An answer that
// names no request is taken as it comes.
func (g *Gateway) answers(h http.Header, r *request) bool {
	id := g.messages.Answer(http.StatusOK, h).RequestID
	return id == "" || id == r.call.RequestID
}

// evaluate tells the outcome of an attempt by the target's answer.
func (g *Gateway) evaluate(t *target, a targetconn.Answer) result {
	v := g.messages.Answer(a.Status, a.Header)
	res := result{verdict: v, answer: a}
	if v.Spoilt {
		g.metrics.unreadableReports.Inc()
	}
	switch v.Kind {
	case Success:
		res.outcome = outcome.Done
	case Failure:
		res.outcome = outcome.Failed
	case NotRun:
		res.outcome, res.shed = outcome.Rejected, true
	case WrongTarget:
		res.outcome = outcome.Rejected
	default:
		res.outcome = outcome.Unknown
		res.err = Error.New("target %s answered status %d without its signature", t.conf.ID, a.Status)
	}
	return res
}

// finishAttempt gives the place at a target back and learns from the attempt.
func (g *Gateway) finishAttempt(s *service, t *target, r *request, res result) {
	now := time.Now()
	if res.outcome == outcome.Done {
		r.stats.observe(res.took)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.inFlight--
	if !res.sendChecked {
		t.unreserveSend()
	}
	s.observeWarmup(now, t, res.verdict.Warmup)
	if res.verdict.Kind == WrongTarget {
		t.addressReused = true
		g.log.Event(evWrongTarget).Str("target", t.conf.ID).Str("service", s.name).Str("address", t.conf.Address).Msg("")
	}
	if t.evacuated {
		t.health.Unsent(now) // what becomes of an evacuated target says nothing of it
		s.wake()
		return
	}
	if load := res.verdict.Load; load != nil && !g.cfg.disabled(LoadReports) {
		s.reportsLoad = true
		t.health.Reported(now, load.report())
	}
	g.noteReachable(t, res)
	before := t.health.SetAsideUntil()
	t.health.ObserveScaled(now, res.took, r.latencyScale, g.signal(res), medianScaledLatency)
	g.reportHealthChange(now, t, before)
	s.wake()
}

// signal is what an attempt shows, by the mechanisms that are on.
func (g *Gateway) signal(res result) policy.Signal {
	s := res.signal()
	if s == policy.Shed && g.cfg.disabled(ShedPenalty) {
		return policy.Abandoned // tells nothing but that it took some time
	}
	return s
}

// signal is what the attempt shows of the target's load and health.
func (r result) signal() policy.Signal {
	switch {
	case r.outcome == outcome.Done:
		return policy.Served
	case r.targetTimedOut:
		return policy.Abandoned
	case r.shed:
		return policy.Shed
	case r.abandoned:
		return policy.Abandoned
	}
	return policy.Errored
}
