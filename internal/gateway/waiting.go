package gateway

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// slotWait is a request that waits for a connection slot of a service. Its fields are guarded by the
// service's lock.
type slotWait struct {
	request    *request
	among      candidates
	yieldUntil time.Time // until then it leaves targets to others that have a request in flight
	until      time.Time // when the request checks again by itself
	queued     bool
	ended      chan struct{} // closed when it is no longer queued
	target     *target       // at which a slot was reserved for the request; nil and no err: it has to check again
	err        error         // why the request gets no slot
}

// slotWaiter is a request in the queue of a service.
type slotWaiter = policy.SlotWaiter[*slotWait]

// newSlotWaiter returns a waiter for a request. With WaitingOrder switched off all waiters are equal, and
// are served in the order of their arrival.
func (s *service) newSlotWaiter(r *request, among candidates, yieldUntil time.Time) *slotWaiter {
	w := &slotWaiter{Item: &slotWait{request: r, among: among, yieldUntil: yieldUntil}}
	if !s.waitsInOrderOfArrival {
		w.Rank, w.Due = r.rank, r.arrived.Add(r.objective)
	}
	return w
}

// enqueue adds a waiter to those that wait, unless it is one of them, and grants the free slots. It reports
// whether the wait has ended with that. The caller holds the lock.
func (s *service) enqueue(now time.Time, w *slotWaiter) (ended bool) {
	if !w.Item.queued {
		w.Item.queued, w.Item.ended = true, make(chan struct{})
		if refused := s.waiting.Add(now, w, maxWaitingPerTarget*s.allowedTargets()); refused != nil {
			refused.Item.end(Error.Wrap(errQueueFull))
		}
	}
	s.grantSlots(now)
	return !w.Item.queued
}

// wait waits until the wait of an enqueued waiter has ended, or until a given time. The lock is held on
// entry and on return, and released while it waits.
func (s *service) wait(ctx context.Context, w *slotWaiter, until time.Time) error {
	w.Item.until = until
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-w.Item.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	return Error.Wrap(ctx.Err())
}

// leave removes a waiter, and releases the slot that was reserved for it if the request does not use it.
// The caller holds the lock.
func (s *service) leave(w *slotWaiter, used bool) {
	s.waiting.Remove(w)
	if !used && w.Item.target != nil {
		s.release(w.Item.target)
	}
}

// end ends the wait. The caller holds the lock.
func (w *slotWait) end(err error) {
	w.queued, w.err = false, err
	close(w.ended)
}

// grantSlots reserves the free connection slots for waiting requests, one slot for each, in the order of
// policy.SlotQueue. It ends the wait of those that can't use any of them and have nothing else to wait for.
// The caller holds the lock.
func (s *service) grantSlots(now time.Time) {
	for s.waiting.Len() > 0 && s.hasFreeSlot() {
		var outdated []*slotWaiter
		granted := s.waiting.Next(now, func(w *slotWaiter) bool {
			item := w.Item
			c := s.bestTarget(now, item.request, item.among)
			if c.target != nil && !c.yields(now, item.yieldUntil) {
				item.target = c.target
				return true
			}
			if c.refusal(item.request.acquireDeadline()) != nil || !c.retryAt.IsZero() && c.retryAt.Before(item.until) {
				outdated = append(outdated, w)
			}
			return false
		})
		for _, w := range outdated {
			s.waiting.Remove(w)
			w.Item.end(nil)
		}
		if granted == nil {
			return
		}
		granted.Item.target.reserve(now, granted.Item.request.latencyScale)
		granted.Item.end(nil)
	}
}

// hasFreeSlot reports whether any target has a free connection slot. The caller holds the lock.
func (s *service) hasFreeSlot() bool {
	for _, t := range s.targets {
		if t.pool.HasFree() {
			return true
		}
	}
	return false
}

// recheckWaiters makes all waiting requests check again whether there is a target for them, after a change
// of the targets. The caller holds the lock.
func (s *service) recheckWaiters() {
	for _, w := range s.waiting.Drain() {
		w.Item.end(nil)
	}
}
