package relay

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	maxWindowQueued      = 2    // tries of one batch in the queue of the service beyond its capacity
	serviceTimeSmoothing = 0.1  // weight of the newest sample in the mean service time
	serviceTimeDecay     = 0.99 // factor on the mean service time when a batch has refusals, so that too high an estimate recovers
	minAdmitted          = 1    // tries of a batch that the estimate never refuses
)

// submitWindow limits how many tasks of a batch are submitted to one service
// at a time. Otherwise a wide batch would fill the queue alone and have its
// own shards refused although no other batch waits, and a narrow batch that
// arrives later would wait behind all of it.
type submitWindow struct {
	pool        *pool
	unsubmitted []*try // first tries that are not submitted yet
	outstanding int    // tasks submitted and not final
	size        int    // maximum of outstanding
}

// capacity returns how many attempts from this host the targets of the service
// accept concurrently. The caller holds the lock of the pool.
func (p *pool) capacity() float64 {
	capacity := 0.0
	for _, t := range p.targets {
		if t.usable() {
			capacity += t.replica.Limiter.Limit()
		}
	}
	return capacity
}

// admit sets the size of the window. It returns how many of the unsubmitted
// tries can be served before the deadline, given the work that is already
// queued, and the retry delay for the others.
func (w *submitWindow) admit(now, deadline time.Time) (n int, retryAfter time.Duration) {
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	capacity := max(p.capacity(), 1)
	w.size = int(capacity) + maxWindowQueued
	n = len(w.unsubmitted)
	interval := time.Duration(float64(p.meanServiceTime) / capacity)
	if interval > 0 {
		queued := p.queue.Len() + p.unsubmitted
		servable := int((deadline.Sub(now)-p.meanServiceTime)/interval) + int(capacity) - queued
		n = min(n, max(servable, minAdmitted))
		retryAfter = time.Duration(queued+len(w.unsubmitted)) * interval
	}
	if n < len(w.unsubmitted) {
		p.meanServiceTime = time.Duration(serviceTimeDecay * float64(p.meanServiceTime))
	}
	p.unsubmitted += n
	return n, policy.RetryAfter(retryAfter, p.rng.Float64())
}

// observeServiceTime updates the mean service time with the time from the
// assignment of a try to its answer. The caller holds the lock of the pool.
func (p *pool) observeServiceTime(latency time.Duration) {
	if p.meanServiceTime == 0 {
		p.meanServiceTime = latency
		return
	}
	p.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(latency-p.meanServiceTime))
}

// startWindow submits the first tries and refuses those that cannot be served
// within the budget.
func (r *batchRun) startWindow(w *submitWindow) {
	now := time.Now()
	n, retryAfter := w.admit(now, r.deadline)
	refused := w.unsubmitted[n:]
	w.unsubmitted = w.unsubmitted[:n]
	r.refuseTries(w, refused, retryAfter)
	w.refill(now)
}

// refill submits as many tries as the window has room for.
func (w *submitWindow) refill(now time.Time) {
	n := min(w.size-w.outstanding, len(w.unsubmitted))
	if n <= 0 {
		return
	}
	next := w.unsubmitted[:n]
	w.unsubmitted = w.unsubmitted[n:]
	w.outstanding += n
	w.pool.removeUnsubmitted(n)
	w.pool.submit(now, next...)
}

func (p *pool) removeUnsubmitted(n int) {
	p.mu.Lock()
	p.unsubmitted -= n
	p.mu.Unlock()
}

// clear removes and returns the unsubmitted tries.
func (w *submitWindow) clear() []*try {
	tries := w.unsubmitted
	w.unsubmitted = nil
	if len(tries) > 0 {
		w.pool.removeUnsubmitted(len(tries))
	}
	return tries
}

// refuseUnsubmitted refuses the unsubmitted tries of the window, after a try
// ahead of them was refused for overload.
func (r *batchRun) refuseUnsubmitted(w *submitWindow, retryAfter time.Duration) {
	r.refuseTries(w, w.clear(), retryAfter)
}

func (r *batchRun) refuseTries(w *submitWindow, tries []*try, retryAfter time.Duration) {
	w.outstanding += len(tries)
	for _, t := range tries {
		k := t.task
		k.active = 0
		k.recordFailure(&tryReport{try: t, refused: true, attemptResult: attemptResult{
			outcome: outcome.NotSent, reason: query.ReasonOverload, retryAfter: retryAfter,
		}})
		r.giveUp(k)
	}
}
