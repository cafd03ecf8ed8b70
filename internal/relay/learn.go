package relay

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// done ends a granted try: its place goes back, the policies learn from it,
// and the place goes to the next in the queue. A try that it returns is the
// caller's to run.
func (p *pool) done(t *try, a answer) *try {
	now := time.Now()
	took := now.Sub(t.started)
	sig := t.signal(a)
	p.mu.Lock()
	p.running--
	p.release(now, t, sig)
	p.learn(now, t, a, took)
	p.handOn = true
	refused := p.drain(now)
	next := p.next
	p.handOn, p.next = false, nil
	p.mu.Unlock()
	refused.tell()
	return next
}

func (p *pool) learn(now time.Time, t *try, a answer, took time.Duration) {
	p.noteSuspect(now, t.target)
	if a.outcome == outcome.Done {
		p.queue.Served(took)
		p.learnService(took)
		t.target.stats.latency.record(now, took)
		if t.set != nil {
			t.set.observe(now, took)
		}
		return
	}
	t.target.stats.last = a.reason
	switch a.reason {
	case query.ReasonOverload:
		t.target.stats.sheds++
	case query.ReasonDraining:
		p.leave(now, t.target, signAnswer)
	case query.ReasonBudget, query.ReasonSnapshotNotHeld:
	default:
		t.target.stats.errors++
	}
	if a.reason == query.ReasonBadAnswer {
		p.noteBadAnswer(now, t.target, a.cause)
	}
}

// logEvery bounds the log lines of a target that answers badly all the time.
const logEvery = 10 * time.Second

func (p *pool) noteBadAnswer(now time.Time, t *target, cause error) {
	p.relay.metrics.bad.WithLabelValues(p.name).Inc()
	if now.Sub(t.badLogged) < logEvery {
		return
	}
	t.badLogged = now
	p.relay.log.Event(evBadAnswer).Str("service", p.name).Str("target", t.conf.ID).
		Str("cause", cause.Error()).Msg("")
}

// noteSuspect logs that a target has just been set aside.
func (p *pool) noteSuspect(now time.Time, t *target) {
	is := t.rep.Outlier.Ejected(now)
	if is && !t.suspect {
		p.relay.log.Event(evTargetSuspect).Str("service", p.name).Str("target", t.conf.ID).
			Str("reason", string(t.stats.last)).Float64("failure_ratio", t.rep.Outlier.FailureRatio()).Msg("")
	}
	t.suspect = is
}

// release gives the try's place back, and the target's policies learn from
// its end.
func (p *pool) release(now time.Time, t *try, sig policy.Signal) {
	peers := t.peers
	if t.set != nil {
		peers = t.set.replicas
	}
	t.target.rep.Done(now, now.Sub(t.started), sig, peers)
}

// leave notes a sign of leaving.
func (p *pool) leave(now time.Time, t *target, s Sign) {
	if t.health.leave(now, s) {
		p.left(t)
		p.tell(now, t, s)
	}
}

func (p *pool) left(t *target) {
	p.stranding = true
	p.relay.log.Event(evTargetLeaving).Str("service", p.name).Str("target", t.conf.ID).
		Str("sign", string(t.health.leaving)).Msg("")
	p.relay.metrics.leaving.WithLabelValues(p.name, string(t.health.leaving)).Inc()
}
