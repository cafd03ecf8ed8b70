package gateway

import (
	"sync"
	"time"
)

// pendingRequests is the requests that the host has not answered yet. A machine that was suspended finds them
// as they were: their timers did not go on, though their callers' time did.
type pendingRequests struct {
	mu        sync.Mutex
	byRequest map[*request]*pendingRequest
}

// pendingRequest is one request that is held.
type pendingRequest struct {
	cancel func()      // ends the wait for its answer
	timer  *time.Timer // does so once its time is over, after a suspension; nil: its own timers do
}

func newPendingRequests() pendingRequests {
	return pendingRequests{byRequest: map[*request]*pendingRequest{}}
}

// add takes a request, and what ends the wait for its answer. release must follow.
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

// expireOverdue ends the requests whose time is over at a time, and returns how many. The others end when
// theirs is, which comes before their own timers by as long as the machine was suspended.
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

// expire ends the wait for the request's answer, as its time is over.
func (r *request) expire(end func()) {
	r.expired.Store(true)
	end()
}

// overdue reports whether the request's time is overdue.
func (r *request) overdue() bool { return r.expired.Load() || !time.Now().Before(r.deadline) }

// onResume answers at once what is too late after a suspension of the machine.
func (g *Gateway) onResume(asleep time.Duration) {
	over := g.pending.expireOverdue(g.state.Clock().Now())
	g.log.Event(evResumed).Dur("asleep", asleep).Int("expired", over).Msg("")
}
