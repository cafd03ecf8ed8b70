package relay

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// complete ends a try that was assigned to a target: it releases the slot,
// updates the policies and dispatches the queue. If it returns a try, the
// caller must run it.
func (p *pool) complete(t *try, a attemptResult) *try {
	now := time.Now()
	latency := now.Sub(t.started)
	signal := t.signal(a)
	p.mu.Lock()
	p.excludeHostPause(now)
	p.running--
	p.releaseSlot(now, t, signal)
	p.recordOutcome(now, t, a, latency)
	p.canRunNext = true
	refused := p.dispatch(now)
	next := p.next
	p.canRunNext, p.next = false, nil
	p.mu.Unlock()
	refused.notify()
	return next
}

// recordOutcome updates the statistics and the health of the target with the
// result of a try.
func (p *pool) recordOutcome(now time.Time, t *try, a attemptResult, latency time.Duration) {
	p.updateSuspect(now, t.target)
	if a.outcome == outcome.Done {
		served := max(latency-(p.paused-t.pausedBefore), 0) // a pause of this host is no service time
		p.queue.Served(served)
		p.observeServiceTime(served)
		t.target.stats.latency.record(now, latency)
		if t.set != nil {
			t.set.observeLatency(now, latency)
		}
		return
	}
	t.target.stats.lastFailure = a.reason
	switch a.reason {
	case query.ReasonOverload:
		t.target.stats.sheds++
	case query.ReasonDraining:
		p.markLeaving(now, t.target, signAnswer)
	case query.ReasonBudget, query.ReasonSnapshotNotHeld:
	default:
		t.target.stats.errors++
	}
	if a.reason == query.ReasonBadAnswer {
		p.recordBadAnswer(now, t.target, a.cause)
	}
}

// badAnswerLogInterval limits the log lines of a target whose answers are
// persistently invalid.
const badAnswerLogInterval = 10 * time.Second

func (p *pool) recordBadAnswer(now time.Time, t *target, cause error) {
	p.relay.metrics.badAnswers.WithLabelValues(p.name).Inc()
	if now.Sub(t.badAnswerLoggedAt) < badAnswerLogInterval {
		return
	}
	t.badAnswerLoggedAt = now
	p.relay.log.Event(evBadAnswer).Str("service", p.name).Str("target", t.conf.ID).
		Str("cause", cause.Error()).Msg("")
}

// updateSuspect logs when a target becomes ejected.
func (p *pool) updateSuspect(now time.Time, t *target) {
	ejected := t.replica.Outlier.Ejected(now)
	if ejected && !t.suspect {
		p.relay.log.Event(evTargetSuspect).Str("service", p.name).Str("target", t.conf.ID).
			Str("reason", string(t.stats.lastFailure)).Float64("failure_ratio", t.replica.Outlier.FailureRatio()).Msg("")
	}
	t.suspect = ejected
}

// releaseSlot releases the slot of the try and reports its result to the
// policies of the target.
func (p *pool) releaseSlot(now time.Time, t *try, sig policy.Signal) {
	peers := t.peers
	if t.set != nil {
		peers = t.set.replicas
	}
	t.target.replica.Done(now, now.Sub(t.started), sig, peers)
}

// markLeaving records a sign of leaving that this host observed and announces
// it if it is the first.
func (p *pool) markLeaving(now time.Time, t *target, s Sign) {
	if t.health.markLeaving(now, s) {
		p.recordLeaving(t)
		p.announce(now, t, s)
	}
}

// recordLeaving logs and counts that a target was first observed to be
// leaving.
func (p *pool) recordLeaving(t *target) {
	p.targetLeft = true
	p.relay.log.Event(evTargetLeaving).Str("service", p.name).Str("target", t.conf.ID).
		Str("sign", string(t.health.leaving)).Msg("")
	p.relay.metrics.leavingTargets.WithLabelValues(p.name, string(t.health.leaving)).Inc()
}
