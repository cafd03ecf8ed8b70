package gateway

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// minHedgeFraction is the fraction of the latency objective after which a hedge starts at the
// earliest. Earlier hedges use up the retry budget that requests at slow targets need.
const minHedgeFraction = 0.3

// maxHedgeFraction is the fraction of the objective after which a hedge starts at the latest, so
// that it has time left to complete.
const maxHedgeFraction = 0.55

// run executes one request, or one shard of a query, at the targets of one service.
type run struct {
	gateway           *Gateway
	service           *service
	request           *request
	route             *routing.Route
	mu                sync.Mutex // guards writes of tried, which triedTargets reads from another goroutine
	tried             []*target
	results           chan result // results of attempts in flight; sending never blocks
	inFlight          int
	reached           int // targets that may have received the request, including those of other hosts
	otherHostAttempts int // attempts of other hosts, included in reached
	repeats           repeats
	sends             sendTracker
	lastFailure       result // latest result that is not a success
	admitErr          error  // why no target was acquired
}

func (g *Gateway) newRun(s *service, r *request, route *routing.Route) *run {
	return &run{gateway: g, service: s, request: r, route: route, results: make(chan result, maxAttempts(route)+maxUnsentRetries)}
}

// maxAttempts is the maximum number of targets that one request may reach.
func maxAttempts(route *routing.Route) int { return max(route.MaxAttempts, 1) }

// maxUnsentRetries is the maximum number of additional attempts of a request for those of which
// provably nothing was sent.
const maxUnsentRetries = 3

// execute makes attempts until one succeeds, no further one is allowed, or ctx is done. It returns the
// successful result, or false. Attempts still in flight continue, so that their connections can be
// reused; they are canceled only when the caller disconnects.
func (r *run) execute(ctx context.Context) (result, bool) {
	if !r.start(ctx) {
		return result{}, false
	}
	if r.otherHostAttempts == 0 {
		r.service.countFirstAttempt()
	}
	timer := time.NewTimer(r.hedgeDelay())
	defer timer.Stop()
	end, stop := r.deadlineTimer()
	defer stop()
	for {
		select {
		case res := <-r.results:
			r.inFlight--
			if res.outcome == outcome.Done {
				return res, true
			}
			r.noteFailure(res)
			r.retry(ctx, res)
			if r.ended() {
				return result{}, false
			}
		case <-r.repeats.due:
			r.repeat(ctx)
			if r.ended() {
				return result{}, false
			}
		case <-timer.C:
			r.hedge()
		case <-end:
			r.sends.giveUp()
			return result{}, false
		case <-ctx.Done():
			r.sends.giveUp()
			return result{}, false
		}
	}
}

// ended reports whether no attempt is in flight and none will follow.
func (r *run) ended() bool { return r.inFlight == 0 && r.repeats.due == nil }

// deadlineTimer returns a channel that fires at the request's deadline. The runs of a query need no
// timer: the code that gathers the parts ends them all.
func (r *run) deadlineTimer() (end <-chan time.Time, stop func()) {
	if r.request.sharded {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(r.request.deadline))
	return timer.C, func() { timer.Stop() }
}

// triedTargets returns the name of the service and the ids of the targets tried, for the log.
func (r *run) triedTargets() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.tried))
	for _, t := range r.tried {
		ids = append(ids, t.info.ID)
	}
	return r.service.name + "(" + strings.Join(ids, ",") + ")"
}

// start makes the first attempt once a connection slot at a target is available.
func (r *run) start(ctx context.Context) bool {
	alone, err := r.admit(ctx)
	if err != nil {
		r.admitErr = err
		return false
	}
	t, err := r.acquireFirst(ctx)
	if err != nil {
		r.admitErr = err
		r.releaseAdmission(alone)
		return false
	}
	if r.otherHostAttempts > 0 && (r.reached >= maxAttempts(r.route) || !r.service.takeExtraAttempt()) {
		r.service.releaseUnused(t)
		r.releaseAdmission(alone)
		r.sends.merge(outcome.Unknown)
		return false
	}
	r.launch(t, alone)
	return true
}

// launch starts an admitted attempt at a target with a reserved connection slot.
func (r *run) launch(t *target, alone bool) {
	if !contains(r.tried, t) {
		r.mu.Lock()
		r.tried = append(r.tried, t)
		r.mu.Unlock()
		r.reached++
	}
	r.inFlight++
	r.request.attempts.Add(1)
	r.request.mayHaveRun.Add(1)
	go func() {
		res := r.gateway.send(r.request.ctx, r.service, t, r.request, &r.sends, alone)
		r.releaseAdmission(alone)
		r.results <- res
	}()
}

// noteFailure records an attempt without a successful answer.
func (r *run) noteFailure(res result) {
	if res.outcome.NotRun() {
		r.request.mayHaveRun.Add(-1)
	}
	if res.outcome == outcome.NotSent && !r.repeats.rejectedBy(res.target) {
		r.reached--
	}
	r.repeats.note(res)
	// An error response of a target says more than a broken connection.
	if r.lastFailure.outcome != outcome.Failed {
		r.lastFailure = res
	}
}

// retry makes another attempt after a failed one, if the route, the retry budget and the outcomes
// so far allow it.
func (r *run) retry(ctx context.Context, res result) {
	if r.mayRetry(ctx, errors.Is(res.err, errVersionMoved)) && !r.launchAnother(ctx, res.outcome == outcome.NotSent) {
		r.scheduleRepeat()
	}
}

// mayRetry reports whether the request may be sent again after the outcomes so far. An attempt whose
// version gets no requests any more is made again even if retries are disabled.
func (r *run) mayRetry(ctx context.Context, versionMoved bool) bool {
	if ctx.Err() != nil || !time.Now().Before(r.request.deadline) || r.gateway.cfg.disabled(Retries) && !versionMoved {
		return false
	}
	return r.sends.outcome().NotRun() || r.route.Idempotent && r.request.soleGatherer()
}

// mayTryAnother reports whether the request may be sent to a target that was not tried yet. While
// another host may gather the query too, it may reach one target here.
func (r *run) mayTryAnother() bool {
	if !r.request.soleGatherer() && r.reached > r.otherHostAttempts {
		return false
	}
	return r.reached < maxAttempts(r.route) && len(r.tried) < maxAttempts(r.route)+maxUnsentRetries
}

// launchAnother starts an attempt at a target that was not tried yet. It returns false if there is
// none, or none may be started now. free means that it is not charged to the retry budget.
func (r *run) launchAnother(ctx context.Context, free bool) bool {
	if !r.mayTryAnother() || !r.service.hasTarget(r.request, r.tried) {
		return false
	}
	if r.inFlight > 0 {
		r.launchConcurrent(free)
		return true
	}
	return r.launchAlone(ctx, candidates{except: r.tried}, free)
}

// launchAlone starts an attempt at one of the candidates while no other is in flight. It waits for a
// connection slot, and returns false if the attempt may not be made.
func (r *run) launchAlone(ctx context.Context, among candidates, free bool) bool {
	alone, err := r.admit(ctx)
	if err != nil {
		r.admitErr = err
		return false
	}
	if !free && !r.service.takeExtraAttempt() {
		r.releaseAdmission(alone)
		return false
	}
	t, err := r.service.acquire(ctx, r.request, among)
	if err != nil {
		r.admitErr = err
		r.releaseAdmission(alone)
		if !free {
			r.service.returnExtraAttempt()
		}
		return false
	}
	r.launch(t, alone)
	return true
}

// launchConcurrent starts an attempt next to one in flight, if it needs no wait. free means that it
// is not charged to the retry budget.
func (r *run) launchConcurrent(free bool) {
	if mode, _ := r.gateway.quarantineMode(r.request); mode != quarantine.Free {
		return
	}
	t := r.service.tryAcquire(r.request, candidates{except: r.tried})
	if t == nil {
		return
	}
	if !free && !r.service.takeExtraAttempt() {
		r.service.releaseUnused(t)
		return
	}
	r.launch(t, false)
}

// hedge starts a second attempt while the first one is slow.
func (r *run) hedge() {
	if r.gateway.cfg.disabled(Hedges) {
		return
	}
	if !r.route.Idempotent || !r.request.soleGatherer() || r.reached >= r.route.MaxAttempts || r.inFlight == 0 {
		return
	}
	if r.service.hasTarget(r.request, r.tried) {
		r.launchConcurrent(false)
	}
}

// hedgeDelay returns when a hedge starts: once the first attempt is slow for its route, but in time
// for the hedge to complete within the objective. The route's own latencies are used because the
// parts of one query arrive one after another on a host with a narrow link.
func (r *run) hedgeDelay() time.Duration {
	earliest := time.Duration(minHedgeFraction * float64(r.request.objective))
	latest := time.Duration(maxHedgeFraction * float64(r.request.objective))
	return min(max(earliest, r.request.stats.slowThreshold()), latest)
}

// single forwards a request to a target of one service and writes the answer.
func (g *Gateway) single(ctx context.Context, w *reply, r *request, route *routing.Route, service string) {
	run := g.newRun(g.registry.service(service), r, route)
	res, ok := run.execute(ctx)
	w.triedTargets = run.triedTargets()
	switch {
	case ok:
		w.whole(res)
	case r.ctx.Err() != nil:
		w.gone()
	case run.sends.outcome().NotRun():
		w.refuse(run.refusal())
	case run.lastFailure.outcome == outcome.Failed:
		w.whole(run.lastFailure)
	case r.stopped.Load():
		w.stopped()
	case r.overdue():
		w.timeout()
	default:
		w.unknown(run.lastFailure.err)
	}
}

// refusal returns the reason why a request did not run.
func (r *run) refusal() refusal {
	switch {
	case r.request.stopped.Load():
		return refusalStopping
	case errors.Is(r.admitErr, errNoTarget):
		return refusalNoTarget
	case errors.Is(r.admitErr, quarantine.ErrQuarantined):
		return refusalQuarantined
	case errors.Is(r.admitErr, errColdLimit):
		return refusalCold
	case errors.Is(r.admitErr, errDeadline), errors.Is(r.admitErr, quarantine.ErrBusy):
		return refusalTimeout
	}
	return refusalBusy
}
