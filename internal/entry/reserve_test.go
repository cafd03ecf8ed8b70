package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

func testutilCount(c prometheus.Counter) float64 { return testutil.ToFloat64(c) }

var oneReservation = query.Reserve{RequestID: "r1", Caller: "guest", ReservationID: "01J", Service: "guest-portal-00", Item: "pressure cooker"}

// TestReserveOverTwoRelays tries every pair of words of a first relay that was
// lost and a second one. A relay that may have run the reservation makes a
// later "not run" unknown.
func TestReserveOverTwoRelays(t *testing.T) {
	is := is.New(t)
	all := []outcome.Outcome{outcome.NotSent, outcome.Rejected, outcome.Failed, outcome.Unknown, outcome.Done}
	for _, first := range all {
		for _, second := range all {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(2, 2, 1)
				e := w.entry()
				one, _ := e.reserveRelay(oneReservation, nil)
				two, _ := e.reserveRelay(oneReservation, []string{one.ID})
				w.relays[one.ID].reserve = func() query.Reservation {
					return query.Reservation{Outcome: first, Reason: query.ReasonConnection}
				}
				w.relays[two.ID].reserve = func() query.Reservation {
					return query.Reservation{Outcome: second, Reason: query.ReasonOverload}
				}
				got, refusal := e.Reserve(context.Background(), oneReservation)
				if first == outcome.Done {
					is.Equal(got.Outcome, outcome.Done)
					return
				}
				is.Equal(got.Outcome, outcome.Combine(first, second))
				is.Equal(refusal == nil, second == outcome.Done)
				if refusal != nil {
					is.Equal(refusal.Outcome.NotRun(), first.NotRun() && second.NotRun())
				}
			})
		}
	}
}

// TestReserveFrozenRelay freezes the relay that is asked first: another one is
// asked within the budget.
func TestReserveFrozenRelay(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, 3, 1)
		e := w.entry()
		for _, r := range w.relays {
			r.reserve = func() query.Reservation { return query.Reservation{Outcome: outcome.Done, Granted: true} }
		}
		r := oneReservation
		first, _ := e.reserveRelay(r, nil)
		for ; first.ID == w.hosts[0].ID; first, _ = e.reserveRelay(r, nil) {
			r.ReservationID += "a"
		}
		w.relays[first.ID].frozen = true
		start := time.Now()
		got, refusal := e.Reserve(context.Background(), r)
		is.True(refusal == nil)
		is.True(got.Granted)
		is.True(time.Since(start) < testBudget)
	})
}

// TestOnlyRelayDoesNotKnowTheService has the one relay of a service refuse, as
// a host does that has just started: its successor is asked.
func TestOnlyRelayDoesNotKnowTheService(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, 1, 4)
		e := w.entry()
		for _, r := range w.relays {
			r.reserve = func() query.Reservation { return query.Reservation{Outcome: outcome.Done, Granted: true} }
		}
		only := w.relays[e.router.candidates("guest-portal-00")[0].ID]
		only.refuse = query.ReasonUnknownService
		only.reserve = func() query.Reservation { return query.Reservation{Reason: query.ReasonUnknownService} }
		answer, _ := e.Search(context.Background(), wholeWorkload)
		is.True(answer != nil && answer.Coverage.Complete())
		got, refusal := e.Reserve(context.Background(), oneReservation)
		is.True(refusal == nil)
		is.True(got.Granted)
	})
}
