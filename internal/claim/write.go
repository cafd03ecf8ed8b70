package claim

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

// conclude ends the attempt and writes its outcome into the record e. It
// waits a short time for the write, so that a host lost right after its
// answer leaves the outcome behind; the write goes on in the background.
func (c *Claims) conclude(ctx context.Context, id reservationID, e entry, a *attempt, res query.Reservation) {
	c.mem.end(a, res)
	c.writeSettled(ctx, id, e.version, e.rec.settled(res), a)
}

// writeSettled writes a settled record; see conclude. The attempt, if any, is
// remembered at least until the write has ended.
func (c *Claims) writeSettled(ctx context.Context, id reservationID, version uint64, rec Record, a *attempt) {
	written := c.inBackground(id, func(ctx context.Context) bool {
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

// release makes the record free for another attempt. The attempts are this
// host's own and none of them ran or will; version is the one that their
// writes were based on. If no record has landed yet, the released record
// takes its place, so that a late write meets a conflict for ever.
func (c *Claims) release(id reservationID, version uint64, mine ...*attempt) {
	rec := mine[0].rec.released()
	c.inBackground(id, func(ctx context.Context) bool {
		for {
			e, result := c.records.put(ctx, id, version, rec)
			if result != conflict {
				return result == applied
			}
			if e.rec.Phase != Sending || !names(e.rec, mine) || e.version == version {
				return true
			}
			version = e.version
		}
	}, mine...)
}

// names reports whether the record names one of the attempts.
func names(rec Record, attempts []*attempt) bool {
	for _, a := range attempts {
		if rec.Attempt == a.id {
			return true
		}
	}
	return false
}

// inBackground repeats try until it reports its end, for a bounded time. The
// attempts are remembered until then: whoever meets the record before can ask.
// The channel is closed at the end.
func (c *Claims) inBackground(id reservationID, try func(ctx context.Context) bool, attempts ...*attempt) <-chan struct{} {
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
	ctx, cancel := context.WithTimeout(c.ctx, c.cfg.GiveUpAfter.Std())
	defer cancel()
	for n := 0; ; n++ {
		if try(ctx) {
			c.forget(attempts)
			return
		}
		if !c.backoff(ctx, n) {
			c.abandon(id, "the platform did not take it in time", attempts)
			return
		}
	}
}

// abandon ends a background write that was not done. The record stays as it
// is and is never wrong: repeats read unknown once this host has forgotten.
func (c *Claims) abandon(id reservationID, why string, attempts []*attempt) {
	c.metrics.abandoned.Inc()
	c.log.Event(evWriteAbandoned).Str("reservation", id.String()).Str("cause", why).Msg("")
	c.forget(attempts)
}

func (c *Claims) forget(attempts []*attempt) {
	for _, a := range attempts {
		if a != nil {
			c.mem.recorded(a)
		}
	}
}
