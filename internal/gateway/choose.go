package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"
)

// nonPreferredCostFactor multiplies the expected latency of targets that this host does not prefer:
// most are in other failure domains, traffic between domains is charged, and a link may be cut.
const nonPreferredCostFactor = 3.5

// maxCostJitter is the maximum fraction by which a target's cost is randomly raised. Without jitter
// all hosts would choose the same one of several equal targets.
const maxCostJitter = 0.1

// maxWaitingPerTarget is the number of requests, per target of a service, that may wait for a
// connection slot. Beyond that the last one is refused at once.
const maxWaitingPerTarget = 8

// Errors of choosing a target; nothing was sent.
var (
	errNoTarget  = errors.New("the service has no usable target")
	errQueueFull = errors.New("all targets of the service are busy and too many requests are waiting")
	errDeadline  = errors.New("no target became available in time")
	errColdLimit = errors.New("the target is cold and has got as much as it bears")
)

// candidates selects the targets to which an attempt may be sent.
type candidates struct {
	except []*target // none of these
	only   []*target // one of these; empty: any target
}

func (c candidates) include(t *target) bool {
	return !contains(c.except, t) && (len(c.only) == 0 || contains(c.only, t))
}

// acquire reserves a connection slot at the candidate with the lowest cost. It waits while all are
// busy. finishAttempt or releaseUnused must follow.
func (s *service) acquire(ctx context.Context, r *request, among candidates) (*target, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	yieldUntil := r.yieldUntil(time.Now())
	if s.waiting.Len() == 0 {
		now := time.Now()
		if c := s.bestTarget(now, r, among); c.target != nil && !c.yields(now, yieldUntil) {
			c.target.reserve(now, r.latencyScale)
			return c.target, nil
		}
	}
	w := s.newSlotWaiter(r, among, yieldUntil)
	t, err := s.acquireInOrder(ctx, w)
	s.leave(w, t != nil)
	return t, err
}

// acquireInOrder is acquire for a request that others may precede. The caller holds the lock.
func (s *service) acquireInOrder(ctx context.Context, w *slotWaiter) (*target, error) {
	r, yieldUntil := w.Item.request, w.Item.yieldUntil
	for {
		now := time.Now()
		if c := s.bestTarget(now, r, w.Item.among); !c.usable {
			return nil, Error.Wrap(errNoTarget)
		}
		if s.enqueue(now, w) && (w.Item.target != nil || w.Item.err != nil) {
			return w.Item.target, w.Item.err
		}
		c := s.bestTarget(now, r, w.Item.among) // what to wait for
		until := r.acquireDeadline()
		if !now.Before(until) {
			return nil, Error.Wrap(errDeadline)
		}
		if err := c.refusal(until); err != nil {
			return nil, Error.Wrap(err)
		}
		if c.yields(now, yieldUntil) {
			until = yieldUntil
		}
		if !c.retryAt.IsZero() && c.retryAt.Before(until) {
			until = c.retryAt
		}
		if err := s.wait(ctx, w, until); err != nil {
			return nil, err
		}
		if w.Item.target != nil || w.Item.err != nil {
			return w.Item.target, w.Item.err
		}
		if !time.Now().Before(r.acquireDeadline()) {
			return nil, Error.Wrap(errDeadline)
		}
	}
}

// yields reports whether a late retry leaves the target to other requests.
func (c choice) yields(now, until time.Time) bool {
	return c.target != nil && c.target.inFlight > 0 && now.Before(until)
}

// tryAcquire is acquire without waiting.
func (s *service) tryAcquire(r *request, among candidates) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t := s.bestTarget(now, r, among).target
	if t != nil {
		t.reserve(now, r.latencyScale)
	}
	return t
}

// acquireDeadline returns until when a request may wait for a connection slot. A part of a query
// that is sent later than the answer is useless and takes the slot of one that is not, which
// matters most where the only target left of a shard is overloaded.
func (r *request) acquireDeadline() time.Time {
	if r.sharded && r.answerBy.Before(r.deadline) {
		return r.answerBy
	}
	return r.deadline
}

// releaseUnused releases a connection slot for which no attempt was made.
func (s *service) releaseUnused(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(t)
}

// release is releaseUnused for callers that hold the lock.
func (s *service) release(t *target) {
	now := time.Now()
	t.inFlight--
	t.pool.CancelReservation()
	t.unreserveSend()
	t.health.CancelSent(now)
	s.grantSlots(now)
}

// inEvacuatedDomain reports whether the target's failure domain is evacuated.
func (s *service) inEvacuatedDomain(t *target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.evacuated
}

// reserve reserves a connection slot for one attempt.
func (t *target) reserve(now time.Time, scale float64) {
	t.inFlight++
	t.pool.Reserve()
	t.cold.reserved++
	t.health.SentScaled(now, scale)
}

// choice is the target to use next, and what to wait for if there is none.
type choice struct {
	target  *target
	usable  bool      // some target may be used, now or later
	busy    bool      // one of the usable targets has no free connection slot
	retryAt time.Time // when a cold target may next be used; zero: no cold target to wait for
}

// bestTarget returns the candidate with the lowest cost that has a free connection slot.
func (s *service) bestTarget(now time.Time, r *request, among candidates) choice {
	var c choice
	var best *target
	var leastCost float64
	leastBusy := math.Inf(1)
	var bestEjected *target // used only if no other target is available
	var leastEjected float64
	rejectionFactor := s.rejectionCostFactor(now)
	for _, t := range s.targets {
		if t.excluded || t.draining || t.addressReused || !among.include(t) || !s.regions.inHomeRegions(r.homeRegions, t.info.Domain) {
			continue
		}
		cold := s.cold(now, t)
		if cold && !s.hasPermit(t) {
			continue
		}
		c.usable = true
		if !t.pool.HasFree() {
			c.busy = true
			leastBusy = min(leastBusy, t.costWithRejections(now, rejectionFactor))
			continue
		}
		if cold {
			if ok, at := s.admitCold(now, t, s.urgent(r)); !ok {
				c.noteRetryAt(at)
				continue
			}
		}
		cost := t.costWithRejections(now, rejectionFactor) * (1 + maxCostJitter*rand.Float64())
		switch {
		case t.health.Ejected(now) && !t.health.ProbeDue(now) && !s.ejectionOff:
			if bestEjected == nil || cost < leastEjected {
				bestEjected, leastEjected = t, cost
			}
		case best == nil || cost < leastCost:
			best, leastCost = t, cost
		}
	}
	c.target = best
	if best == nil {
		c.target = bestEjected
	} else if leastBusy < leastCost && rejectionFactor*best.health.ShedRatio(now) >= waitedForShedRatio && now.Before(r.waitsForBetterUntil()) {
		c.target = nil
		c.noteRetryAt(now.Add(busyRecheckDelay))
	}
	return c
}

const (
	// waitedForShedRatio is the ratio of rejections from which a free target is left alone while one
	// with a lower cost has no free connection slot.
	waitedForShedRatio = 0.1
	// maxBetterWaitFraction is the fraction of the objective for which a request waits for that.
	maxBetterWaitFraction = 0.25
	// busyRecheckDelay is the time until a request that waits for that checks again by itself: the
	// cost of a target that makes no progress grows.
	busyRecheckDelay = 10 * time.Millisecond
)

// waitsForBetterUntil returns until when the request waits for a slot at a target with a lower cost
// rather than use one that rejects many requests.
func (r *request) waitsForBetterUntil() time.Time {
	return r.arrived.Add(time.Duration(maxBetterWaitFraction * float64(r.objective)))
}

// refusal returns why a request that waits until the deadline will not get a slot; nil if it may.
func (c choice) refusal(deadline time.Time) error {
	switch {
	case !c.usable:
		return errNoTarget
	case c.target == nil && !c.busy && !c.retryAt.Before(deadline):
		return errColdLimit // the cold target admits the request only after its deadline
	}
	return nil
}

// noteRetryAt records when a cold target may be used.
func (c *choice) noteRetryAt(at time.Time) {
	if c.retryAt.IsZero() || at.Before(c.retryAt) {
		c.retryAt = at
	}
}

// cost returns the expected latency at the target, multiplied if this host does not prefer it, plus
// the cost of the rejections to expect.
func (t *target) cost(now time.Time) float64 { return t.costWithRejections(now, 1) }

// costWithRejections is cost with a factor on the cost of the rejections.
func (t *target) costWithRejections(now time.Time, factor float64) float64 {
	cost := t.health.ExpectedIfAccepted(now, t.inFlight, float64(t.info.Slots), meanScaledLatency)
	if !t.preferred {
		cost *= nonPreferredCostFactor
	}
	return cost + factor*t.health.ShedCost(now, meanScaledLatency)
}

// maxRejectionCostFactor multiplies the cost of rejections where the retry budget is used up: a rejected request can't
// be sent again then. Without the factor, 21 hosts with a 29th of the budget each served 0.980 to 0.982 of the queries
// while targets rejected six of ten requests, in a replay; with it 0.979 to 0.991.
const maxRejectionCostFactor = 5

// rejectionCostFactor returns the factor on the cost of rejections, 1 if the whole retry budget is left.
func (s *service) rejectionCostFactor(now time.Time) float64 {
	return maxRejectionCostFactor - (maxRejectionCostFactor-1)*s.budget.Left(now)
}

func contains(tried []*target, t *target) bool {
	for _, x := range tried {
		if x == t {
			return true
		}
	}
	return false
}

// hasTarget reports whether there is a usable target other than those in tried.
func (s *service) hasTarget(r *request, tried []*target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bestTarget(time.Now(), r, candidates{except: tried}).usable
}

// countFirstAttempt counts a first attempt in the retry budget.
func (s *service) countFirstAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.First(time.Now())
}

// takeExtraAttempt takes an extra attempt from the retry budget. It reports false if the budget is
// used up.
func (s *service) takeExtraAttempt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(time.Now())
}

// returnExtraAttempt returns an extra attempt to the retry budget that was taken and not made.
func (s *service) returnExtraAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Return()
}
