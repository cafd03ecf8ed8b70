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
	ended     bool // endAll was called: requests that are added later end at once
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
func (pending *pendingRequests) add(r *request, end func()) (release func()) {
	pending.mu.Lock()
	defer pending.mu.Unlock()
	p := &pendingRequest{cancel: end}
	pending.byRequest[r] = p
	if pending.ended {
		r.endByStop(end)
	}
	return func() {
		pending.mu.Lock()
		defer pending.mu.Unlock()
		delete(pending.byRequest, r)
		p.stopTimer()
	}
}

// stopTimer stops the timer of an earlier suspension.
func (p *pendingRequest) stopTimer() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// expireOverdue ends the requests whose deadline has passed at now on the clock that includes
// suspensions, and returns how many. The others get a timer, as their own fire too late by the
// length of the suspension.
func (pending *pendingRequests) expireOverdue(now time.Time) (expired int) {
	pending.mu.Lock()
	defer pending.mu.Unlock()
	for r, p := range pending.byRequest {
		p.stopTimer()
		left := r.deadline.Sub(r.arrived) - now.Sub(r.arrivedClock)
		if left <= 0 {
			r.expire(p.cancel)
			expired++
			continue
		}
		p.timer = time.AfterFunc(left, func() { r.expire(p.cancel) })
	}
	return expired
}

// expire marks the request as past its deadline and ends the wait for its answer.
func (r *request) expire(end func()) {
	r.expired.Store(true)
	end()
}

// endAll ends the wait for the answers of all requests, and of those that are added later. It returns how many
// there are.
func (pending *pendingRequests) endAll() int {
	pending.mu.Lock()
	defer pending.mu.Unlock()
	pending.ended = true
	for r, p := range pending.byRequest {
		r.endByStop(p.cancel)
	}
	return len(pending.byRequest)
}

// endByStop marks the request as ended by the host's stop and ends the wait for its answer.
func (r *request) endByStop(end func()) {
	r.stopped.Store(true)
	end()
}

// overdue reports whether the request's deadline has passed.
func (r *request) overdue() bool { return r.expired.Load() || !time.Now().Before(r.deadline) }

// onResume answers the requests whose deadline passed while the machine was suspended.
func (g *Gateway) onResume(asleep time.Duration) {
	expired := g.pending.expireOverdue(g.state.Clock().Now())
	g.log.Event(evResumed).Dur("asleep", asleep).Int("expired", expired).Msg("")
}
