package gateway

import (
	"sync"
	"time"
)

// held is the requests that the host has not answered yet. A machine that was suspended finds them
// as they were: their timers did not go on, though their callers' time did.
type held struct {
	mu  sync.Mutex
	all map[*request]*hold
}

// hold is one request that is held.
type hold struct {
	end  func()      // ends the wait for its answer
	over *time.Timer // does so once its time is over, after a suspension; nil: its own timers do
}

func newHeld() held { return held{all: map[*request]*hold{}} }

// hold takes a request, and what ends the wait for its answer. release must follow.
func (h *held) hold(r *request, end func()) (release func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	one := &hold{end: end}
	h.all[r] = one
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.all, r)
		one.stop()
	}
}

// stop stops the timer of an earlier suspension.
func (h *hold) stop() {
	if h.over != nil {
		h.over.Stop()
	}
}

// woken ends the requests whose time is over at a time, and returns how many. The others end when
// theirs is, which comes before their own timers by as long as the machine was suspended.
func (h *held) woken(now time.Time) (over int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for r, one := range h.all {
		one.stop()
		left := r.deadline.Sub(r.arrived) - now.Sub(r.came)
		if left <= 0 {
			r.expire(one.end)
			over++
			continue
		}
		one.over = time.AfterFunc(left, func() { r.expire(one.end) })
	}
	return over
}

// expire ends the wait for the request's answer, as its time is over.
func (r *request) expire(end func()) {
	r.expired.Store(true)
	end()
}

// over reports whether the request's time is over.
func (r *request) over() bool { return r.expired.Load() || !time.Now().Before(r.deadline) }

// woken answers at once what is too late after a suspension of the machine.
func (g *Gateway) woken(asleep time.Duration) {
	over := g.held.woken(g.state.Clock().Now())
	g.log.Event(evWoken).Dur("asleep", asleep).Int("expired", over).Msg("")
}
