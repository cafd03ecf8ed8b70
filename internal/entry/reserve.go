package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Reserve runs a reservation to its final word. The claim record under the
// reservation id arbitrates, so a lost relay may be followed by another; what
// the lost one did is then part of the outcome.
func (e *Entry) Reserve(ctx context.Context, r query.Reserve) (query.Reservation, *query.Refusal) {
	start := time.Now()
	result, refusal := e.reserve(ctx, r)
	result.RequestID, result.ReservationID = r.RequestID, r.ReservationID
	d := delivery.Delivery{
		RequestID: r.RequestID, ReservationID: r.ReservationID, Caller: r.Caller, Service: r.Service,
		Outcome: result.Outcome, Latency: time.Since(start),
	}
	if refusal == nil && result.Outcome != outcome.Done {
		refusal = e.refuseReservation(result)
	}
	if refusal != nil {
		refusal.RequestID = r.RequestID
		d.Outcome, d.Reason = refusal.Outcome, refusal.Reason
	}
	e.record(d)
	return result, refusal
}

func (e *Entry) refuseReservation(r query.Reservation) *query.Refusal {
	refusal := e.refuse(r.Reason, r.Outcome, "the reservation was not answered")
	if r.RetryAfter > 0 {
		refusal.RetryAfter = r.RetryAfter
	}
	return refusal
}

func (e *Entry) reserve(ctx context.Context, r query.Reserve) (query.Reservation, *query.Refusal) {
	service, ok := e.catalog.Service(r.Service)
	if !ok {
		return query.Reservation{}, e.refuse(query.ReasonUnknownService, outcome.NotSent, "no service "+r.Service)
	}
	budget, refusal := e.budget(r.Budget, service.Rules.DefaultBudget.Std())
	if refusal != nil {
		return query.Reservation{}, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	last := query.Reservation{Outcome: outcome.NotSent, Reason: query.ReasonNoRelay}
	var tried []string
	for n := 1; n <= e.cfg.MaxRelays; n++ {
		h, ok := e.reserveRelay(r, tried)
		if !ok {
			break
		}
		tried = append(tried, h.ID)
		next, lost := e.reserveAt(ctx, h, r, n == e.cfg.MaxRelays)
		last = follow(last, next)
		if !lost || ctx.Err() != nil {
			break
		}
		e.router.lost(h.ID, time.Now())
		e.metrics.lost.Inc()
	}
	return last, nil
}

// reserveAt asks one relay and reports whether it was lost, so that another
// may know or do more. A remote relay that is not the last gets a part of the
// time: a frozen one must leave some to ask another.
func (e *Entry) reserveAt(ctx context.Context, h member.Host, r query.Reserve, final bool) (query.Reservation, bool) {
	r.Budget = remaining(ctx)
	if allowance := e.cfg.HopAllowance.Std(); r.Budget > 2*allowance {
		r.Budget -= allowance
	}
	if !final && h.ID != e.members.Self().ID {
		timeout := time.Duration(e.cfg.HedgeRelayAfter * float64(remaining(ctx)))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	e.router.begin(h.ID)
	defer e.router.end(h.ID)
	result := e.relays.Reserver(h).Reserve(ctx, r)
	late := ctx.Err() != nil && result.Outcome == outcome.Unknown
	return result, late || relayLost(result)
}

// relayLost reports whether the relay could not be reached, was lost, is
// leaving, or has not learned of the service yet.
func relayLost(r query.Reservation) bool {
	switch r.Reason {
	case query.ReasonConnection, query.ReasonDraining, query.ReasonStale, query.ReasonNotRelay,
		query.ReasonNoSnapshot, query.ReasonUnknownService:
		return r.Outcome != outcome.Done
	}
	return false
}

// follow combines the words of two relays on one reservation. A relay that may
// have run it makes any later "not run" unknown.
func follow(last, next query.Reservation) query.Reservation {
	if next.Outcome.NotRun() && !last.Outcome.NotRun() {
		return last
	}
	next.Outcome = outcome.Combine(last.Outcome, next.Outcome)
	return next
}

// reserveRelay returns the relay to be asked next. Repeats of one id meet at
// the same relay, where they join; relays that were lost of late come last,
// and then the successors of those tried.
func (e *Entry) reserveRelay(r query.Reserve, tried []string) (member.Host, bool) {
	now := time.Now()
	for _, hosts := range [][]member.Host{e.router.candidates(r.Service), e.router.successors(r.Service, tried)} {
		left := slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return slices.Contains(tried, h.ID) })
		if len(left) > 0 {
			return slices.MinFunc(left, e.byReservation(r.ReservationID, now)), true
		}
	}
	return member.Host{}, false
}

// byReservation orders relays for a reservation id.
func (e *Entry) byReservation(id string, now time.Time) func(a, b member.Host) int {
	weight := func(h member.Host) uint64 { return xxhash.Sum64String(id + "\x00" + h.ID) }
	late := func(h member.Host) int {
		if e.router.avoided(h.ID, now) {
			return 1
		}
		return 0
	}
	return func(a, b member.Host) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(weight(b), weight(a)))
	}
}
