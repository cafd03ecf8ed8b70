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

// Reserve sends a reservation to its relays until one returns a final result. The
// claim record of the reservation id prevents a second execution, so another
// relay may be tried after one was lost; the outcome then includes what the
// lost relay may have done.
func (e *Entry) Reserve(ctx context.Context, r query.ReserveRequest) (query.Reservation, *query.Refusal) {
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

func (e *Entry) reserve(ctx context.Context, r query.ReserveRequest) (query.Reservation, *query.Refusal) {
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
	combined := query.Reservation{Outcome: outcome.NotSent, Reason: query.ReasonNoRelay}
	var tried []string
	for n := 1; n <= e.cfg.MaxRelays; n++ {
		h, ok := e.chooseReserveRelay(r, tried)
		if !ok {
			break
		}
		tried = append(tried, h.ID)
		next, unavailable := e.reserveOnRelay(ctx, h, r, n == e.cfg.MaxRelays)
		combined = combineReservations(combined, next)
		if !unavailable || ctx.Err() != nil {
			break
		}
		e.router.callLost(h.ID, time.Now())
		e.metrics.relaysLost.Inc()
	}
	return combined, nil
}

// reserveOnRelay sends the reservation to one relay and reports whether another
// relay should be tried. A remote relay that is not the last try gets only the
// HedgeRelayAfter fraction of the time, so that some is left for another relay
// if it does not respond.
func (e *Entry) reserveOnRelay(ctx context.Context, h member.Host, r query.ReserveRequest, lastTry bool) (query.Reservation, bool) {
	r.Budget = remaining(ctx)
	if allowance := e.cfg.HopAllowance.Std(); r.Budget > 2*allowance {
		r.Budget -= allowance
	}
	if !lastTry && h.ID != e.members.Self().ID {
		timeout := time.Duration(e.cfg.HedgeRelayAfter * float64(remaining(ctx)))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	e.router.callStarted(h.ID)
	defer e.router.callEnded(h.ID)
	result := e.relays.Reserver(h).Reserve(ctx, r)
	timedOut := ctx.Err() != nil && result.Outcome == outcome.Unknown
	return result, timedOut || relayUnavailable(result)
}

// relayUnavailable reports whether the relay could not be reached, was lost, is
// leaving or stale, or does not have the service in its configuration yet.
func relayUnavailable(r query.Reservation) bool {
	switch r.Reason {
	case query.ReasonConnection, query.ReasonDraining, query.ReasonStale, query.ReasonNotRelay,
		query.ReasonNoSnapshot, query.ReasonUnknownService:
		return r.Outcome != outcome.Done
	}
	return false
}

// combineReservations combines the results of two relays for one reservation. If
// an earlier relay may have run it, a later "not run" does not change that.
func combineReservations(combined, next query.Reservation) query.Reservation {
	if next.Outcome.NotRun() && !combined.Outcome.NotRun() {
		return combined
	}
	next.Outcome = outcome.Combine(combined.Outcome, next.Outcome)
	return next
}

// chooseReserveRelay returns the next relay to try. Repeats of one reservation id
// go to the same relay, which joins them. Avoided relays come last, followed
// by the successors of those tried.
func (e *Entry) chooseReserveRelay(r query.ReserveRequest, tried []string) (member.Host, bool) {
	now := time.Now()
	for _, hosts := range [][]member.Host{e.router.candidates(r.Service), e.router.successors(r.Service, tried)} {
		untried := slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return slices.Contains(tried, h.ID) })
		if len(untried) > 0 {
			return slices.MinFunc(untried, e.reservationOrder(r.ReservationID, now)), true
		}
	}
	return member.Host{}, false
}

// reservationOrder returns a comparison of relays for a reservation id: those
// not avoided first, then by rendezvous weight.
func (e *Entry) reservationOrder(id string, now time.Time) func(a, b member.Host) int {
	weight := func(h member.Host) uint64 { return xxhash.Sum64String(id + "\x00" + h.ID) }
	avoidedRank := func(h member.Host) int {
		if e.router.avoided(h.ID, now) {
			return 1
		}
		return 0
	}
	return func(a, b member.Host) int {
		return cmp.Or(cmp.Compare(avoidedRank(a), avoidedRank(b)), cmp.Compare(weight(b), weight(a)))
	}
}
