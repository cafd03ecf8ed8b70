package entry

import (
	"context"
	"slices"
	"strconv"
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
	order := e.reserveOrder(r)
	order = order[:min(len(order), e.cfg.MaxRelays)]
	for i, h := range order {
		next, lost := e.reserveAt(ctx, h, r, i == len(order)-1)
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
		patience := time.Duration(e.cfg.RelayPatience * float64(remaining(ctx)))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, patience)
		defer cancel()
	}
	e.router.begin(h.ID)
	defer e.router.end(h.ID)
	result := e.relays.Reserver(h).Reserve(ctx, r)
	late := ctx.Err() != nil && result.Outcome == outcome.Unknown
	return result, late || relayLost(result)
}

// relayLost reports whether the relay could not be reached, was lost, or is
// leaving.
func relayLost(r query.Reservation) bool {
	switch r.Reason {
	case query.ReasonConnection, query.ReasonDraining, query.ReasonStale, query.ReasonNotRelay, query.ReasonNoSnapshot:
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

// reserveOrder returns the relays of the service in the order in which they
// are asked: repeats of one id meet at the same relay, where they join, and
// relays that were lost of late come last.
func (e *Entry) reserveOrder(r query.Reserve) []member.Host {
	now := time.Now()
	hosts := slices.Clone(e.router.candidates(r.Service))
	weight := func(h member.Host) uint64 { return xxhash.Sum64String(r.ReservationID + "\x00" + h.ID) }
	slices.SortFunc(hosts, func(a, b member.Host) int {
		if x, y := e.router.avoided(a.ID, now), e.router.avoided(b.ID, now); x != y {
			if y {
				return -1
			}
			return 1
		}
		if weight(a) > weight(b) {
			return -1
		}
		return 1
	})
	return hosts
}

// bandOf returns the label of a coverage in metrics.
func bandOf(coverage float64) string {
	switch {
	case coverage >= 1:
		return "complete"
	case coverage == 0:
		return "none"
	}
	return "partial_" + strconv.Itoa(int(coverage*10)*10)
}
