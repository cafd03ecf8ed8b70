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

// request is a caller's request while it is processed.
type request struct {
	ctx          context.Context // parent of every attempt; done when the caller disconnects without an answer
	call         Call
	caller       string // address and port
	method       string
	uri          string
	host         string
	header       http.Header // to forward; immutable once built
	body         []byte
	arrived      time.Time
	arrivedClock time.Time   // arrival on the clock that also advances while the machine is suspended
	expired      atomic.Bool // the deadline had passed when the machine resumed from a suspension
	stopped      atomic.Bool // the host's stop ended the wait for the answer
	// objective is the latency within which the answer counts as in time: the route's, or the time
	// limit if the route has none.
	objective time.Duration
	answerBy  time.Time // when an answer with missing parts must be sent to be in time
	deadline  time.Time // end of the time limit of the caller, the route and the settings
	// goAhead is set once the host that delegated the query has confirmed that it does not gather
	// the query itself; nil: this host received the query from the caller.
	goAhead      *atomic.Bool
	homeRegions  []string    // regions whose targets may get the request; empty: all
	rank         int         // priority of the route; lower ranks go first
	sharded      bool        // the answer is merged from the parts of several shards
	lateRetry    bool        // the caller had spent most of the objective before it sent this request
	stats        *routeStats // of the route
	latencyScale float64     // factor that normalizes latencies; see routeStats
	attempts     atomic.Int32
	memory       requestMemory
	mayHaveRun   atomic.Int32 // attempts, at any shard, that are in flight or have not certainly not run

	cachedKeys quarantine.Request // access through quarantineKeys
	keysOnce   sync.Once

	// The head that all attempts share is encoded once, by the first attempt.
	encodeOnce  sync.Once
	encodedHead []byte
	headErr     error
}

// result describes how one attempt ended.
type result struct {
	target  *target
	verdict Verdict
	answer  targetconn.Response
	err     error
	latency time.Duration
	// coldSend is the charge to the permit of a cold target; nil: none.
	coldSend *policy.ColdSend
	// exchangeTime is the part of latency after the connection was available.
	exchangeTime    time.Duration
	outcome         outcome.Outcome
	shed            bool // the target rejected the request as overloaded
	targetTimedOut  bool // the target gave up when the time it was given had passed
	abandoned       bool // canceled before an answer came
	sendChecked     bool // authorizeSend was called, which ends the reservation
	connectionLost  bool // the connection broke after the request was sent
	targetRestarted bool // another incarnation registered while the target had the request
	unreachable     bool // the target refused the connection
}

// head returns the encoded request head that all attempts share.
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

// soleGatherer reports whether no other host may be sending the query to the same shards.
func (r *request) soleGatherer() bool { return r.goAhead == nil || r.goAhead.Load() }

// send makes one attempt at a target that acquire returned, releases the connection slot and
// updates the health of the target and the quarantine record of the request. alone reports that the
// quarantine lets no other attempt of the request run at the same time.
func (g *Gateway) send(ctx context.Context, s *service, t *target, r *request, sends *sendTracker, alone bool) result {
	began := time.Now()
	res := g.attempt(ctx, s, t, r, sends, alone)
	res.target = t
	res.latency = time.Since(began)
	if res.connectionLost {
		g.noteConnectionLost(t, r, res)
	}
	g.finishAttempt(s, t, r, res)
	g.metrics.attempts.WithLabelValues(res.outcome.String()).Inc()
	g.updateQuarantine(r, s, t, res, alone)
	return res
}

// attempt sends the request once, unless the run is abandoned before a connection is available.
func (g *Gateway) attempt(ctx context.Context, s *service, t *target, r *request, sends *sendTracker, alone bool) result {
	head, err := g.head(r)
	if err != nil {
		t.pool.CancelReservation()
		return result{outcome: outcome.NotSent, err: err}
	}
	conn, err := t.pool.Get(ctx, r.deadline, r.call.RequestID)
	if err != nil {
		abandoned := ctx.Err() != nil
		return result{outcome: outcome.NotSent, err: err, abandoned: abandoned, unreachable: !abandoned && targetconn.Unreachable(err)}
	}
	if signs, ask := s.needsWarmupQuery(t); ask {
		if conn, err = g.queryWarmup(ctx, conn, s, t, r, signs); err != nil {
			return result{outcome: outcome.NotSent, err: err, abandoned: true}
		}
	}
	if !sends.begin() {
		conn.Release()
		return result{outcome: outcome.NotSent, err: Error.Wrap(errAbandoned), abandoned: true}
	}
	coldSend, err := s.authorizeSend(t, r)
	if err != nil {
		conn.Release()
		sends.end(outcome.NotSent)
		return result{outcome: outcome.NotSent, err: Error.Wrap(err), abandoned: true, sendChecked: true}
	}
	began := time.Now()
	res := g.exchange(ctx, conn, t, r, head, alone)
	res.exchangeTime = time.Since(began)
	res.sendChecked, res.coldSend = true, coldSend
	sends.end(res.outcome)
	return res
}

// errEvacuated means that the target's failure domain was evacuated before the attempt was sent.
var errEvacuated = errors.New("the target's failure domain is evacuated")

// errAbandoned means that the request was answered before the attempt was sent.
var errAbandoned = errors.New("the request was abandoned before it was sent")

// exchange sends the request over a connection and evaluates the response.
func (g *Gateway) exchange(ctx context.Context, conn *targetconn.Conn, t *target, r *request, head []byte, alone bool) result {
	left := time.Until(r.deadline)
	if left <= 0 {
		conn.Discard()
		return result{outcome: outcome.NotSent, err: Error.Wrap(errDeadline), abandoned: true}
	}
	timeout := left
	if !alone && !g.cfg.disabled(BoundedWork) { // an exclusive attempt must show whether its target survives, so it keeps all the time
		timeout = r.usefulTime(left)
	}
	own := http.Header{}
	g.messages.Attempt(own, t.info.ID, timeout)
	began := time.Now()
	answer, sent, err := conn.Exchange(ctx, r.deadline, &targetconn.Request{
		Method: r.method, Head: head, Header: own, Body: r.body, ID: r.call.RequestID,
		Match:        func(status int, h http.Header) targetconn.Match { return g.match(r, status, h) },
		MaxBodyBytes: g.cfg.MaxAnswer, Memory: g.memory.Targets,
		OnLarge: func(part targetconn.Part, received int64) { g.noteLargeResponse(t, r, part, received) },
	})
	if err != nil {
		late := ctx.Err() != nil || !time.Now().Before(r.deadline)
		if !sent {
			return result{outcome: outcome.NotSent, err: err, abandoned: late}
		}
		g.noteLimitExceeded(t, r, err)
		if res, ok := g.cutRejection(t, r, answer); ok {
			return res
		}
		if t.replaced.Load() && !late {
			return result{outcome: outcome.Unknown, err: Error.Wrap(errTargetRestarted), targetRestarted: true}
		}
		return result{outcome: outcome.Unknown, err: err, abandoned: late, connectionLost: !late && targetconn.ConnectionLost(err)}
	}
	r.memory.hold(answer.Memory)
	res := g.evaluate(t, answer)
	if res.outcome == outcome.Rejected {
		g.log.Event(evRejected).Str("request", r.call.RequestID).Str("target", t.info.ID).Str("service", t.info.Service).
			Int("status", answer.Status).Uint64("connection", answer.Connection).Dur("after", time.Since(began)).Msg("")
	}
	res.targetTimedOut = timeout < left && res.outcome != outcome.Done && time.Since(began) > timeout-targetTimeoutMargin
	return res
}

// cutRejection returns the result of a response whose body is missing, if its header tells that the
// request did not run.
func (g *Gateway) cutRejection(t *target, r *request, answer targetconn.Response) (result, bool) {
	if answer.Status == 0 || g.match(r, answer.Status, answer.Header) != targetconn.NotRun {
		return result{}, false
	}
	return g.evaluate(t, answer), true
}

// errTargetRestarted means that the target started again while it had the request.
var errTargetRestarted = errors.New("the target restarted while it had the request, which may have run")

// targetTimeoutMargin is how long before the end of its time a target may report a timeout: the
// time is sent in milliseconds and measured by the target's clock.
const targetTimeoutMargin = 2 * time.Millisecond

// usefulTime returns how much of the remaining time an attempt can contribute to the answer: a part
// that arrives after the answer was sent is discarded. A target that is overloaded drops such work
// from its queue instead of delaying all other requests.
func (r *request) usefulTime(left time.Duration) time.Duration {
	if until := time.Until(r.answerBy); r.sharded && until > 0 {
		return min(left, until)
	}
	return left
}

// verdict interprets the response to a request. A rejection that names no request proves nothing: it may be a
// copy of the rejection of a health check, which has no id.
func (g *Gateway) verdict(status int, h http.Header) Verdict {
	v := g.messages.Answer(status, h)
	if v.RequestID == "" && (v.Kind == NotRun || v.Kind == WrongTarget) {
		v.Kind = Unreadable
	}
	return v
}

// match returns what a response is to the request. A response without a request id is accepted.
func (g *Gateway) match(r *request, status int, h http.Header) targetconn.Match {
	v := g.verdict(status, h)
	switch {
	case v.RequestID != "" && v.RequestID != r.call.RequestID:
		return targetconn.Foreign
	case v.Kind == NotRun || v.Kind == WrongTarget:
		return targetconn.NotRun
	}
	return targetconn.Answer
}

// evaluate returns the result of an attempt by the target's response.
func (g *Gateway) evaluate(t *target, a targetconn.Response) result {
	v := g.verdict(a.Status, a.Header)
	res := result{verdict: v, answer: a}
	if v.MalformedReport {
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
		res.err = Error.New("target %s answered with status %d, without a signature or a rejection of this request", t.info.ID, a.Status)
	}
	return res
}

// finishAttempt releases the connection slot and updates the state of the target by the result.
func (g *Gateway) finishAttempt(s *service, t *target, r *request, res result) {
	now := time.Now()
	if res.outcome == outcome.Done {
		r.stats.observe(res.latency)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.inFlight--
	if !res.sendChecked {
		t.unreserveSend()
	}
	res.endColdSend(now)
	s.observeWarmup(now, t, res.verdict.Warmup)
	s.countForRollout(g.metrics, t, r, res)
	if res.verdict.Kind == WrongTarget {
		t.addressReused = true
		s.recheckWaiters()
		g.log.Event(evWrongTarget).Str("target", t.info.ID).Str("service", s.name).Str("address", t.info.Address).Msg("")
	}
	if t.evacuated {
		t.health.CancelSent(now) // attempts at an evacuated target do not count for its health
		s.grantSlots(now)
		return
	}
	if load := res.verdict.Load; load != nil && !g.cfg.disabled(LoadReports) {
		s.reportsLoad = true
		t.health.Reported(now, load.report())
	}
	g.noteReachable(t, res)
	ejectedUntil := t.health.SetAsideUntil()
	t.health.ObserveScaled(now, res.latency, r.latencyScale, g.signal(res), medianScaledLatency)
	g.reportHealthChange(now, t, ejectedUntil)
	if res.shed {
		g.reportSheds(now, t)
	}
	s.grantSlots(now)
}

// signal returns the health signal of a result, depending on the enabled mechanisms.
func (g *Gateway) signal(res result) policy.Signal {
	s := res.signal()
	if s == policy.Shed && g.cfg.disabled(ShedPenalty) {
		return policy.Abandoned // counts as latency only
	}
	return s
}

// signal returns what the result shows about the target's load and health.
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
