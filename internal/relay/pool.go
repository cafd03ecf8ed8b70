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
// wait for them, and the budgets of retries and hedges.
type pool struct {
	relay *Relay
	name  string

	mu              sync.Mutex
	conf            catalog.Service
	targets         []*target
	byID            map[string]*target
	queue           *policy.Queue[*try]
	retries         *policy.Budget
	replicaSets     map[string]*replicaSet // by sorted target ids
	placements      map[uint64]*placement  // by snapshot id
	rng             *rand.Rand
	wakeTimer       *time.Timer   // dispatches the queue when no slot release will
	lastExpiry      time.Time     // last check of the queue for expired tries
	lastUse         time.Time     // last use of the queue
	paused          time.Duration // sum of the pauses of this host while tries waited
	running         int           // tries assigned to targets
	canRunNext      bool          // the dispatching goroutine can run one try itself
	next            *try          // the try that it is to run
	unsubmitted     int           // tries that the windows of batches hold back from the queue
	meanServiceTime time.Duration // from assignment to valid answer
	// targetLeft is set if the set of usable targets changed since the last
	// dispatch, so that queued tries may have no usable candidate left.
	targetLeft bool
	relayHosts []member.Host // relays of the service
	relayCount int           // their number, at least 1
	assigned   bool          // this host is one of them
}

// refusal is the result of a try that is not sent.
type refusal struct {
	try        *try
	reason     query.Reason
	retryAfter time.Duration
}

type refusals []refusal

// notify passes the refusals to the owners of the tries. It must be called
// without the lock of the pool, because owners take their own locks.
func (r refusals) notify() {
	for _, x := range r {
		x.try.owner.refused(x.try, x.reason, x.retryAfter)
	}
}

// submit queues the tries and dispatches the queue. The owners of tries that
// are refused immediately are notified before it returns.
func (p *pool) submit(now time.Time, tries ...*try) {
	var refused refusals
	p.mu.Lock()
	for _, t := range tries {
		if x, ok := p.enqueue(now, t); !ok {
			refused = append(refused, x)
		}
	}
	refused = append(refused, p.dispatch(now)...)
	p.mu.Unlock()
	refused.notify()
}

// resubmit queues a further try of a task. It reports false, without notifying
// the owner, if no candidate is left or the retry budget is exhausted. Free
// tries are not charged to the retry budget.
func (p *pool) resubmit(now time.Time, t *try, free bool) bool {
	p.mu.Lock()
	if !t.anyEligible() || (!free && !p.retries.Take(now)) {
		p.mu.Unlock()
		return false
	}
	var refused refusals
	if x, ok := p.enqueue(now, t); !ok {
		refused = append(refused, x)
	}
	refused = append(refused, p.dispatch(now)...)
	p.mu.Unlock()
	refused.notify()
	return true
}

// enqueue adds the try to the queue. If it cannot, it reports false and
// returns the refusal.
func (p *pool) enqueue(now time.Time, t *try) (refusal, bool) {
	p.excludeHostPause(now)
	if !t.anyEligible() {
		return refusal{t, p.unavailableReason(t), p.relay.cfg.RetryAfter.Std()}, false
	}
	t.waiter.Item = t
	a := p.queue.Push(now, &t.waiter)
	if !a.Admitted {
		p.relay.metrics.shed.WithLabelValues(p.name).Inc()
		return refusal{t, query.ReasonOverload, policy.RetryAfter(a.RetryAfter, p.rng.Float64())}, false
	}
	return refusal{}, true
}

// startHedge starts a hedge if the hedge budget permits and a candidate has a
// free slot. Hedges are never queued.
func (p *pool) startHedge(now time.Time, t *try) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	saturated := p.queue.Saturated(now) || !p.hasHealthyCapacity(now, t)
	if !t.set.hedger.Take(now, saturated) || !p.assignTarget(now, t) {
		return false
	}
	go p.runTries(t)
	return true
}

func (t *try) anyEligible() bool {
	for i := range t.candidates {
		if t.eligible(i) {
			return true
		}
	}
	return false
}

// unavailableReason returns why a try has no eligible candidate.
func (p *pool) unavailableReason(t *try) query.Reason {
	for i, c := range t.candidates {
		if t.excluded&(1<<i) == 0 && !c.usable() {
			return query.ReasonDraining
		}
	}
	return query.ReasonNoTarget
}

// dispatch assigns queued tries to free slots. It returns the tries that can
// no longer be served, for the caller to notify after releasing the lock.
func (p *pool) dispatch(now time.Time) refusals {
	p.excludeHostPause(now)
	refused := p.removeExpired(now, nil)
	unservable := false
	fits := func(t *try) bool {
		if !t.anyEligible() {
			unservable = true
			return true
		}
		return p.assignTarget(now, t)
	}
	for p.queue.Len() > 0 && p.canDispatch(now) {
		unservable = false
		w := p.queue.Pop(now, fits)
		if w == nil {
			break
		}
		if unservable {
			refused = append(refused, refusal{w.Item, p.unavailableReason(w.Item), p.relay.cfg.RetryAfter.Std()})
			continue
		}
		p.launch(now, w.Item)
	}
	p.targetLeft = false
	p.setWakeTimer(now)
	return refused
}

// launch runs an assigned try: on the goroutine that has just completed
// another one, if that is dispatching, or else on a new one.
func (p *pool) launch(now time.Time, t *try) {
	if t.set != nil && t.kind == policy.FirstTry {
		p.retries.First(now)
		t.set.hedger.First(now)
	}
	if p.canRunNext && p.next == nil {
		p.next = t
		return
	}
	go p.runTries(t)
}

// runTries runs a try, and then each try that takes over the released slot.
func (p *pool) runTries(t *try) {
	for t != nil {
		a := t.owner.send(t)
		next := p.complete(t, a)
		t.owner.ended(t, a)
		t = next
	}
}

// canDispatch reports whether a search of the queue can find anything.
func (p *pool) canDispatch(now time.Time) bool {
	if p.targetLeft {
		return true
	}
	for _, t := range p.targets {
		if t.hasCapacity(now) {
			return true
		}
	}
	return false
}

// expiryInterval is the minimum time between two checks of the whole queue for
// expired tries.
const expiryInterval = 2 * time.Millisecond

// removeExpired removes the evicted tries and, at most once per
// expiryInterval, the tries that can no longer be served.
func (p *pool) removeExpired(now time.Time, refused refusals) refusals {
	for _, w := range p.queue.Evictions() {
		refused = append(refused, p.shed(now, w))
	}
	if now.Sub(p.lastExpiry) < expiryInterval {
		return refused
	}
	p.lastExpiry = now
	for _, w := range p.queue.Expire(now) {
		refused = append(refused, p.shed(now, w))
	}
	return refused
}

// shed refuses a queued try for overload before its budget has ended.
func (p *pool) shed(now time.Time, w *policy.Waiter[*try]) refusal {
	p.relay.metrics.shed.WithLabelValues(p.name).Inc()
	retryAfter := policy.RetryAfter(p.queue.ExpectedWait(now, w.Urgency), p.rng.Float64())
	return refusal{w.Item, query.ReasonOverload, retryAfter}
}

// minHostPause is the time between two uses of a queue from which this host
// must have stood still, if requests waited: a timer dispatches the queue every
// maxWakeInterval.
const minHostPause = 2 * maxWakeInterval

// excludeHostPause excludes a pause of this host from what the queue measures.
// Answers that arrived during the pause have not been read yet, so that the
// queue would be taken for a standing one, and its requests refused, while the
// targets are idle.
func (p *pool) excludeHostPause(now time.Time) {
	if unused := now.Sub(p.lastUse); p.queue.Len() > 0 && unused >= minHostPause {
		p.queue.Paused(unused - maxWakeInterval)
		p.paused += unused - maxWakeInterval
	}
	if now.After(p.lastUse) {
		p.lastUse = now
	}
}

// maxWakeInterval is the maximum time between two dispatches of a queue that
// is not empty. If all targets are frozen, no slot release triggers one.
const maxWakeInterval = 20 * time.Millisecond

// setWakeTimer sets the timer that dispatches the queue when no slot release
// does.
func (p *pool) setWakeTimer(now time.Time) {
	if p.queue.Len() == 0 {
		return
	}
	wait := maxWakeInterval
	for _, t := range p.targets {
		if w := t.replica.Limiter.Wait(now); w > 0 {
			wait = min(wait, w)
		}
	}
	if p.wakeTimer == nil {
		p.wakeTimer = time.AfterFunc(wait, p.wake)
		return
	}
	p.wakeTimer.Reset(wait)
}

// wake dispatches the queue when the timer fires.
func (p *pool) wake() {
	p.mu.Lock()
	refused := p.dispatch(time.Now())
	p.mu.Unlock()
	refused.notify()
}

// dequeue removes a try from the queue and reports whether it was still
// queued.
func (p *pool) dequeue(t *try) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Remove(&t.waiter)
}
