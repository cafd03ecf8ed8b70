package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// pool is the state of one service: its targets, the queue of the tries that
// wait for them, and the budgets of extra attempts.
type pool struct {
	relay *Relay
	name  string

	mu      sync.Mutex
	conf    catalog.Service
	targets []*target
	byID    map[string]*target
	queue   *policy.Queue[*try]
	retries *policy.Budget
	sets    map[string]*replicaSet
	maps    map[uint64]*placement // by snapshot
	rng     *rand.Rand
	pacing  *time.Timer // wakes the queue when pacing is all that holds it
	expired time.Time   // when the queue was last looked through
	running int
	handOn  bool          // the granting goroutine can run a try itself
	next    *try          // that it is to run
	held    int           // tries that batches hold back from the queue
	service time.Duration // mean time from place to valid answer
	// stranding tells that a target left since the queue was last granted
	// from, so that some of those who wait may have no holder any more.
	stranding bool
	hosts     []member.Host // that share the service's targets
	relays    int           // their number, 1 at least
	own       bool          // this host is one of them
}

// refusal is the word on a try that gets no place.
type refusal struct {
	try    *try
	reason query.Reason
	after  time.Duration
}

type refusals []refusal

// tell hands the refusals to their owners, who may take locks of their own.
func (r refusals) tell() {
	for _, x := range r {
		x.try.owner.refused(x.try, x.reason, x.after)
	}
}

// submit gives each try to a free holder or lets it wait. The owners of those
// refused at once are told before it returns.
func (p *pool) submit(now time.Time, tries ...*try) {
	var out refusals
	p.mu.Lock()
	for _, t := range tries {
		if x, ok := p.admit(now, t); !ok {
			out = append(out, x)
		}
	}
	out = append(out, p.drain(now)...)
	p.mu.Unlock()
	out.tell()
}

// resubmit is submit for a further try of a task. It reports false, and tells
// nobody, if the retry budget is used up; free tries do not count against it.
func (p *pool) resubmit(now time.Time, t *try, free bool) bool {
	p.mu.Lock()
	if !t.anyUsable() || (!free && !p.retries.Take(now)) {
		p.mu.Unlock()
		return false
	}
	var out refusals
	if x, ok := p.admit(now, t); !ok {
		out = append(out, x)
	}
	out = append(out, p.drain(now)...)
	p.mu.Unlock()
	out.tell()
	return true
}

// admit puts the try in the queue, from which grant takes it. A refusal is
// made at once, with the time to come back.
func (p *pool) admit(now time.Time, t *try) (refusal, bool) {
	if !t.anyUsable() {
		return refusal{t, p.whyNone(t), p.relay.cfg.RetryAfter.Std()}, false
	}
	t.waiter.Item = t
	a := p.queue.Push(now, &t.waiter)
	if !a.Admitted {
		p.relay.metrics.shed.WithLabelValues(p.name).Inc()
		return refusal{t, query.ReasonOverload, policy.RetryAfter(a.RetryAfter, p.rng.Float64())}, false
	}
	return refusal{}, true
}

// hedge starts a second try beside the first one, if the budget allows it and
// another holder has a free place. A hedge never waits.
func (p *pool) hedge(now time.Time, t *try) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	saturated := p.queue.Saturated(now) || !p.healthyFree(now, t)
	if !t.set.hedger.Take(now, saturated) || !p.take(now, t) {
		return false
	}
	go p.work(t)
	return true
}

func (t *try) anyUsable() bool {
	for i := range t.holders {
		if t.holds(i) {
			return true
		}
	}
	return false
}

// whyNone tells why a try has no holder to ask.
func (p *pool) whyNone(t *try) query.Reason {
	for i, h := range t.holders {
		if t.spent&(1<<i) == 0 && !h.usable() {
			return query.ReasonDraining
		}
	}
	return query.ReasonNoTarget
}

// drain grants what places there are, and returns the tries that can no
// longer be served, to be told without the lock.
func (p *pool) drain(now time.Time) refusals {
	out := p.expire(now, nil)
	stranded := false
	fits := func(t *try) bool {
		if !t.anyUsable() {
			stranded = true
			return true
		}
		return p.take(now, t)
	}
	for p.queue.Len() > 0 && p.mayGrant(now) {
		stranded = false
		w := p.queue.Pop(now, fits)
		if w == nil {
			break
		}
		if stranded {
			out = append(out, refusal{w.Item, p.whyNone(w.Item), p.relay.cfg.RetryAfter.Std()})
			continue
		}
		p.granted(now, w.Item)
	}
	p.stranding = false
	p.pace(now)
	return out
}

// granted hands the try to the goroutine that has just ended another one, if
// that is who grants, or to a new one.
func (p *pool) granted(now time.Time, t *try) {
	if t.set != nil && t.kind == policy.FirstTry {
		p.retries.First(now)
		t.set.hedger.First(now)
	}
	if p.handOn && p.next == nil {
		p.next = t
		return
	}
	go p.work(t)
}

// work runs a granted try, and then whatever its end leaves a place for.
func (p *pool) work(t *try) {
	for t != nil {
		a := t.owner.send(t)
		next := p.done(t, a)
		t.owner.ended(t, a)
		t = next
	}
}

// mayGrant spares the queue a search that can't find anything.
func (p *pool) mayGrant(now time.Time) bool {
	if p.stranding {
		return true
	}
	for _, t := range p.targets {
		if t.free(now) {
			return true
		}
	}
	return false
}

// expireEvery bounds how often the whole queue is looked through.
const expireEvery = 2 * time.Millisecond

// expire takes out who had to make room, and now and then who can no longer
// be served.
func (p *pool) expire(now time.Time, out refusals) refusals {
	for _, w := range p.queue.Evictions() {
		out = append(out, p.refuse(now, w))
	}
	if now.Sub(p.expired) < expireEvery {
		return out
	}
	p.expired = now
	for _, w := range p.queue.Expire(now) {
		out = append(out, p.refuse(now, w))
	}
	return out
}

// refuse gives up a try before its budget has ended, for load.
func (p *pool) refuse(now time.Time, w *policy.Waiter[*try]) refusal {
	p.relay.metrics.shed.WithLabelValues(p.name).Inc()
	after := policy.RetryAfter(p.queue.ExpectedWait(now, w.Urgency), p.rng.Float64())
	return refusal{w.Item, query.ReasonOverload, after}
}

// queueLook is the longest time for which nobody looks at a queue in which
// tries wait: the targets may all be frozen, and then no release does.
const queueLook = 20 * time.Millisecond

// pace sets the timer that wakes the queue when no release will.
func (p *pool) pace(now time.Time) {
	if p.queue.Len() == 0 {
		return
	}
	wait := queueLook
	for _, t := range p.targets {
		if w := t.rep.Limiter.Wait(now); w > 0 {
			wait = min(wait, w)
		}
	}
	if p.pacing == nil {
		p.pacing = time.AfterFunc(wait, p.wake)
		return
	}
	p.pacing.Reset(wait)
}

// wake grants what has become possible without a release.
func (p *pool) wake() {
	p.mu.Lock()
	refused := p.drain(time.Now())
	p.mu.Unlock()
	refused.tell()
}

// forget takes a try out of the queue and reports whether it still waited.
func (p *pool) forget(t *try) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Remove(&t.waiter)
}
