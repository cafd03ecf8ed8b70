package relay

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// tick runs when the timer of the batch fires.
func (r *run) tick(now time.Time) {
	if !now.Before(r.deadline) {
		r.expire()
		return
	}
	r.hedge(now)
}

// planHedges sets the time of the first look for tries to hedge.
func (r *run) planHedges(now time.Time) {
	r.hedgeAt = time.Time{}
	for i := range r.tasks {
		if k := &r.tasks[i]; !k.final {
			r.lookAt(now, k)
		}
	}
}

func (r *run) lookAt(from time.Time, k *task) {
	delay, on := k.set.hedgeDelay()
	if !on {
		return
	}
	if at := from.Add(delay); r.hedgeAt.IsZero() || at.Before(r.hedgeAt) {
		r.hedgeAt = at
	}
}

// hedge starts second tries beside those that take long.
func (r *run) hedge(now time.Time) {
	r.hedgeAt = time.Time{}
	for i := range r.tasks {
		k := &r.tasks[i]
		if k.final || k.hedged || k.live != 1 {
			continue
		}
		r.hedgeTask(now, k)
	}
}

func (r *run) hedgeTask(now time.Time, k *task) {
	first := k.tries[len(k.tries)-1]
	started, running := r.startOf(first)
	if !running {
		r.lookAt(now, k)
		return
	}
	delay, on := k.set.hedgeDelay()
	if !on {
		return
	}
	if now.Sub(started) < delay {
		r.lookAt(started, k)
		return
	}
	t := new(try)
	r.fill(t, k, policy.Hedge)
	t.spent, t.avoid = first.spent, first.target.conf.FailureDomain
	if !k.pool.hedge(now, t) {
		k.live--
		k.tries = k.tries[:len(k.tries)-1]
		r.lookAt(now, k)
		return
	}
	k.hedged = true
	r.relay.metrics.hedges.Inc()
}

// startOf returns when a try was given to its target, and false while it waits.
func (r *run) startOf(t *try) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.cancel == nil {
		return time.Time{}, false
	}
	return t.started, true
}

// hedgeDelay returns after what time a try of the replica set is hedged.
func (s *replicaSet) hedgeDelay() (time.Duration, bool) {
	d := time.Duration(s.delay.Load())
	return d, d > 0 && len(s.targets) > 1
}

// observe takes the latency of a valid answer; the pool's lock is held.
func (s *replicaSet) observe(now time.Time, latency time.Duration) {
	s.hedger.Observe(now, latency)
	d, _ := s.hedger.Delay()
	s.delay.Store(int64(d))
}
