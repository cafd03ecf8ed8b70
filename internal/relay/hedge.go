package relay

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// onTimer runs when the timer of the batch fires.
func (r *batchRun) onTimer(now time.Time) {
	if !now.Before(r.deadline) {
		r.expire()
		return
	}
	r.startDueHedges(now)
}

// scheduleHedges sets the time of the first check for tries to hedge.
func (r *batchRun) scheduleHedges(now time.Time) {
	r.nextHedgeCheck = time.Time{}
	for i := range r.tasks {
		if k := &r.tasks[i]; !k.final {
			r.scheduleHedgeCheck(now, k)
		}
	}
}

// scheduleHedgeCheck moves the next hedge check forward to the hedge delay of
// the task after from.
func (r *batchRun) scheduleHedgeCheck(from time.Time, k *task) {
	delay, on := k.set.hedgeDelay()
	if !on {
		return
	}
	if at := from.Add(delay); r.nextHedgeCheck.IsZero() || at.Before(r.nextHedgeCheck) {
		r.nextHedgeCheck = at
	}
}

// startDueHedges starts a hedge for each task whose only try has run for
// longer than the hedge delay.
func (r *batchRun) startDueHedges(now time.Time) {
	r.nextHedgeCheck = time.Time{}
	for i := range r.tasks {
		k := &r.tasks[i]
		if k.final || k.hedged || k.active != 1 {
			continue
		}
		r.hedgeTask(now, k)
	}
}

func (r *batchRun) hedgeTask(now time.Time, k *task) {
	first := k.tries[len(k.tries)-1]
	started, running := r.startTime(first)
	if !running {
		r.scheduleHedgeCheck(now, k)
		return
	}
	delay, on := k.set.hedgeDelay()
	if !on {
		return
	}
	if now.Sub(started) < delay {
		r.scheduleHedgeCheck(started, k)
		return
	}
	t := new(try)
	r.initTry(t, k, policy.Hedge)
	t.excluded, t.avoidDomain = first.excluded, first.target.conf.FailureDomain
	if !k.pool.startHedge(now, t) {
		k.active--
		k.tries = k.tries[:len(k.tries)-1]
		r.scheduleHedgeCheck(now, k)
		return
	}
	k.hedged = true
	r.relay.metrics.hedges.Inc()
}

// startTime returns when the try was assigned to its target; false while it is
// queued.
func (r *batchRun) startTime(t *try) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.cancel == nil {
		return time.Time{}, false
	}
	return t.started, true
}

// hedgeDelay returns how long a try runs before it is hedged; false if hedging
// is off.
func (s *replicaSet) hedgeDelay() (time.Duration, bool) {
	d := time.Duration(s.hedgeDelayNanos.Load())
	return d, d > 0 && len(s.targets) > 1
}

// observeLatency records the latency of a valid answer. The caller holds the
// lock of the pool.
func (s *replicaSet) observeLatency(now time.Time, latency time.Duration) {
	s.hedger.Observe(now, latency)
	d, _ := s.hedger.Delay()
	s.hedgeDelayNanos.Store(int64(d))
}
