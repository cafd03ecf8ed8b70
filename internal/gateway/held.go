package gateway

import (
	"sync"
	"time"
)

// pendingRequests tracks the requests that are not answered yet. Their timers stand still while the
// machine is suspended, though their callers' time limits do not.
type pendingRequests struct {
	mu        sync.Mutex
	byRequest map[*request]*pendingRequest
}

// pendingRequest is one request that is not answered yet.
type pendingRequest struct {
	cancel func()      // ends the wait for the answer
	timer  *time.Timer // set after a suspension, calls cancel at the deadline; nil: the request's own timers do
}

func newPendingRequests() pendingRequests {
	return pendingRequests{byRequest: map[*request]*pendingRequest{}}
}

// add registers a request and the function that ends the wait for its answer. release must follow.
func (h *pendingRequests) add(r *request, end func()) (release func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	one := &pendingRequest{cancel: end}
	h.byRequest[r] = one
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.byRequest, r)
		one.stopTimer()
	}
}

// stopTimer stops the timer of an earlier suspension.
func (h *pendingRequest) stopTimer() {
	if h.timer != nil {
		h.timer.Stop()
	}
}

// expireOverdue ends the requests whose deadline has passed at now on the clock that includes
// suspensions, and returns how many. The others get a timer, as their own fire too late by the
// length of the suspension.
func (h *pendingRequests) expireOverdue(now time.Time) (over int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for r, one := range h.byRequest {
		one.stopTimer()
		left := r.deadline.Sub(r.arrived) - now.Sub(r.arrivedClock)
		if left <= 0 {
			r.expire(one.cancel)
			over++
			continue
		}
		one.timer = time.AfterFunc(left, func() { r.expire(one.cancel) })
	}
	return over
}

// expire marks the request as past its deadline and ends the wait for its answer.
func (r *request) expire(end func()) {
	r.expired.Store(true)
	end()
}

// overdue reports whether the request's deadline has passed.
func (r *request) overdue() bool { return r.expired.Load() || !time.Now().Before(r.deadline) }

// onResume answers the requests whose deadline passed while the machine was suspended.
func (g *Gateway) onResume(asleep time.Duration) {
	over := g.pending.expireOverdue(g.state.Clock().Now())
	g.log.Event(evResumed).Dur("asleep", asleep).Int("expired", over).Msg("")
}
