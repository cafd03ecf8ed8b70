package claim

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

// recordOutcome ends the attempt and writes its outcome into the record e. It
// waits a short time for the write, so that the outcome is usually stored if
// the host fails right after its reply. The write continues in the background.
func (c *Claims) recordOutcome(ctx context.Context, id reservationID, e entry, a *attempt, res query.Reservation) {
	c.mem.markEnded(a, res)
	c.writeSettled(ctx, id, e.version, e.rec.settled(res), a)
}

// writeSettled writes a settled record; see recordOutcome. The attempt, which
// may be nil, stays in memory at least until the write has ended.
func (c *Claims) writeSettled(ctx context.Context, id reservationID, version uint64, rec Record, a *attempt) {
	written := c.writeInBackground(id, func(ctx context.Context) bool {
		e, result := c.records.put(ctx, id, version, rec)
		if result == conflict && (e.rec.Attempt != rec.Attempt || e.rec.Phase != Settled) {
			c.log.Event(evRecordTaken).Str("reservation", id.String()).Str("attempt", rec.Attempt).
				Str("found_attempt", e.rec.Attempt).Str("found_phase", string(e.rec.Phase)).Msg("")
		}
		return result == applied || result == conflict
	}, a)
	t := time.NewTimer(c.cfg.OutcomeWait.Std())
	defer t.Stop()
	select {
	case <-written:
	case <-t.C:
	case <-ctx.Done():
	}
}

// release makes the record available to another attempt. The attempts are this
// host's own; none of them ran or will run. version is the one on which their
// writes were conditional. If none of these writes has been applied yet, the
// released record is written in its place, so that a delayed write conflicts
// from then on.
func (c *Claims) release(id reservationID, version uint64, attempts ...*attempt) {
	rec := attempts[0].rec.released()
	c.writeInBackground(id, func(ctx context.Context) bool {
		for {
			e, result := c.records.put(ctx, id, version, rec)
			if result != conflict {
				return result == applied
			}
			if e.rec.Phase != Sending || !namesAny(e.rec, attempts) || e.version == version {
				return true
			}
			version = e.version
		}
	}, attempts...)
}

// namesAny reports whether the record names one of the attempts.
func namesAny(rec Record, attempts []*attempt) bool {
	for _, a := range attempts {
		if rec.Attempt == a.id {
			return true
		}
	}
	return false
}

// writeInBackground calls try until it returns true or BackgroundWriteTimeout
// has passed. The attempts stay in memory until then, so that a host that reads
// the record before can query their state. The returned channel is closed at
// the end.
func (c *Claims) writeInBackground(id reservationID, try func(ctx context.Context) bool, attempts ...*attempt) <-chan struct{} {
	ended := make(chan struct{})
	select {
	case c.writeSlots <- struct{}{}:
	default:
		c.abandon(id, "too many background writes", attempts)
		close(ended)
		return ended
	}
	c.writing.Add(1)
	c.metrics.background.Inc()
	go func() {
		defer c.writing.Done()
		defer close(ended)
		c.retry(id, try, attempts)
		c.metrics.background.Dec()
		<-c.writeSlots
	}()
	return ended
}

func (c *Claims) retry(id reservationID, try func(ctx context.Context) bool, attempts []*attempt) {
	ctx, cancel := context.WithTimeout(c.ctx, c.cfg.BackgroundWriteTimeout.Std())
	defer cancel()
	for n := 0; ; n++ {
		if try(ctx) {
			c.allowEviction(attempts)
			return
		}
		if !c.backoff(ctx, n) {
			c.abandon(id, "the platform did not accept the write in time", attempts)
			return
		}
	}
}

// abandon ends a background write that did not succeed. The record keeps its
// current phase, which is never wrong: repeats get the outcome unknown once
// this host has evicted the attempt.
func (c *Claims) abandon(id reservationID, cause string, attempts []*attempt) {
	c.metrics.abandoned.Inc()
	c.log.Event(evWriteAbandoned).Str("reservation", id.String()).Str("cause", cause).Msg("")
	c.allowEviction(attempts)
}

func (c *Claims) allowEviction(attempts []*attempt) {
	for _, a := range attempts {
		if a != nil {
			c.mem.markEvictable(a)
		}
	}
}
