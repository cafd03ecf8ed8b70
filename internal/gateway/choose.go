package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// nonPreferredCostFactor is how many times longer a target that is not a home of this host
// is taken to answer: most stand in other failure domains, bytes between domains
// are paid for, and a link may be cut.
const nonPreferredCostFactor = 3.5

// maxCostJitter is up to which part of its cost a target's is raised by a random draw: of targets that are alike the
// same one would be asked first by all hosts.
const maxCostJitter = 0.1

// maxWaitingPerTarget is how many requests may wait for a place at a service's
// targets, per target. More are refused at once.
const maxWaitingPerTarget = 8

// Errors of choosing a target. Nothing was sent.
var (
	errNoTarget  = errors.New("the service has no target that may be asked")
	errQueueFull = errors.New("every target of the service is busy and too many requests wait")
	errDeadline  = errors.New("no target came free in time")
	errColdLimit = errors.New("the target is cold and has got as much as it bears")
)

// acquire takes a place at the target that is expected to answer first, among
// those not in tried. It waits for one while all are busy. release must follow.
func (s *service) acquire(ctx context.Context, r *request, tried []*target) (*target, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	yieldUntil := r.yieldUntil(time.Now())
	for {
		now := time.Now()
		c := s.bestTarget(now, r, tried)
		yields := c.target != nil && c.target.inFlight > 0 && now.Before(yieldUntil)
		if c.target != nil && !yields {
			c.target.reserve(now, r.latencyScale)
			return c.target, nil
		}
		if !c.usable {
			return nil, Error.Wrap(errNoTarget)
		}
		if s.waiting >= maxWaitingPerTarget*len(s.targets) {
			return nil, Error.Wrap(errQueueFull)
		}
		until := r.acquireDeadline()
		if !now.Before(until) {
			return nil, Error.Wrap(errDeadline)
		}
		if c.target == nil && !c.busy && !c.next.Before(until) {
			return nil, Error.Wrap(errColdLimit) // what may be sent then comes too late
		}
		if yields {
			until = yieldUntil
		}
		if !c.next.IsZero() && c.next.Before(until) {
			until = c.next
		}
		if err := s.waitForChange(ctx, until); err != nil {
			return nil, err
		}
		if !time.Now().Before(r.acquireDeadline()) {
			return nil, Error.Wrap(errDeadline)
		}
	}
}

// tryAcquire is acquire without the wait.
func (s *service) tryAcquire(r *request, tried []*target) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t := s.bestTarget(now, r, tried).target
	if t != nil {
		t.reserve(now, r.latencyScale)
	}
	return t
}

// acquireDeadline returns until when a request may wait for a place: a part that is asked
// for after the answer has left is of no use, and takes the place of one that is,
// most of all where one target of a shard is left for more work than it can do.
func (r *request) acquireDeadline() time.Time {
	if r.sharded && r.answerBy.Before(r.deadline) {
		return r.answerBy
	}
	return r.deadline
}

// releaseUnused gives a place back that was not used.
func (s *service) releaseUnused(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.inFlight--
	t.pool.Unreserve()
	t.unreserveSend()
	t.health.Unsent(time.Now())
	s.wake()
}

// inEvacuatedDomain reports whether the failure domain of a target is evacuated.
func (s *service) inEvacuatedDomain(t *target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.evacuated
}

// reserve takes a place for one attempt.
func (t *target) reserve(now time.Time, scale float64) {
	t.inFlight++
	t.pool.Reserve()
	t.cold.reserved++
	t.health.SentScaled(now, scale)
}

// waitForChange returns when something has changed, or at a time. The lock is held before
// and after.
func (s *service) waitForChange(ctx context.Context, until time.Time) error {
	changed := s.changed
	s.waiting++
	s.mu.Unlock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	var err error
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		err = Error.Wrap(ctx.Err())
	}
	s.mu.Lock()
	s.waiting--
	return err
}

// choice is the target to ask next, and what to wait for if there is none.
type choice struct {
	target *target
	usable bool      // there is a target that may be asked, now or later
	busy   bool      // one of these has no connection to spare
	next   time.Time // when one that is cold may be asked; zero: none is waited for
}

// bestTarget returns the target with the lowest cost that has a connection to spare.
func (s *service) bestTarget(now time.Time, r *request, tried []*target) choice {
	var c choice
	var best *target
	var leastCost float64
	var bestEjected *target // set aside, but better than none
	var leastEjected float64
	for _, t := range s.targets {
		if t.draining || t.addressReused || contains(tried, t) || !s.regions.inHomeRegions(r.homeRegions, t.conf.Domain) {
			continue
		}
		cold := s.cold(now, t)
		if cold && !s.hasPermit(t) {
			continue
		}
		c.usable = true
		if !t.pool.Free() {
			c.busy = true
			continue
		}
		if cold {
			if ok, at := s.admitCold(now, t, s.urgent(r)); !ok {
				c.noteNext(at)
				continue
			}
		}
		cost := t.cost(now) * (1 + maxCostJitter*rand.Float64())
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
	}
	return c
}

// noteNext notes when a cold target may be asked.
func (c *choice) noteNext(at time.Time) {
	if c.next.IsZero() || at.Before(c.next) {
		c.next = at
	}
}

// cost is the expected time to an answer, more for a target that is not a home.
func (t *target) cost(now time.Time) float64 {
	cost := t.health.Expected(now, t.inFlight, float64(t.conf.Slots), meanScaledLatency)
	if !t.preferred {
		cost *= nonPreferredCostFactor
	}
	return cost
}

func contains(tried []*target, t *target) bool {
	for _, x := range tried {
		if x == t {
			return true
		}
	}
	return false
}

// hasTarget reports whether a target could be asked.
func (s *service) hasTarget(r *request, tried []*target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bestTarget(time.Now(), r, tried).usable
}

// countFirstAttempt counts a countFirstAttempt attempt in the budget.
func (s *service) countFirstAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.First(time.Now())
}

// takeExtraAttempt asks the budget for a further attempt.
func (s *service) takeExtraAttempt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(time.Now())
}
