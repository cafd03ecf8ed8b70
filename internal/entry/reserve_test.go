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

func counterValue(c prometheus.Counter) float64 { return testutil.ToFloat64(c) }

var testReservation = query.ReserveRequest{RequestID: "r1", Caller: "guest", ReservationID: "01J", Service: "guest-portal-00", Item: "pressure cooker"}

// TestReserveOverTwoRelays runs every pair of outcomes of a first relay that was
// lost and a second one. If the first may have run the reservation, a later
// "not run" must not be reported to the caller.
func TestReserveOverTwoRelays(t *testing.T) {
	is := is.New(t)
	all := []outcome.Outcome{outcome.NotSent, outcome.Rejected, outcome.Failed, outcome.Unknown, outcome.Done}
	for _, first := range all {
		for _, second := range all {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(2, 2, 1)
				e := cluster.entry()
				one, _ := e.chooseReserveRelay(testReservation, nil)
				two, _ := e.chooseReserveRelay(testReservation, []string{one.ID})
				cluster.relays[one.ID].reserve = func() query.Reservation {
					return query.Reservation{Outcome: first, Reason: query.ReasonConnection}
				}
				cluster.relays[two.ID].reserve = func() query.Reservation {
					return query.Reservation{Outcome: second, Reason: query.ReasonOverload}
				}
				got, refusal := e.Reserve(context.Background(), testReservation)
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

// TestReserveFrozenRelay freezes the relay that is tried first: another one must
// answer within the budget.
func TestReserveFrozenRelay(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(3, 3, 1)
		e := cluster.entry()
		for _, r := range cluster.relays {
			r.reserve = func() query.Reservation { return query.Reservation{Outcome: outcome.Done, Granted: true} }
		}
		r := testReservation
		first, _ := e.chooseReserveRelay(r, nil)
		for ; first.ID == cluster.hosts[0].ID; first, _ = e.chooseReserveRelay(r, nil) {
			r.ReservationID += "a"
		}
		cluster.relays[first.ID].frozen = true
		start := time.Now()
		got, refusal := e.Reserve(context.Background(), r)
		is.True(refusal == nil)
		is.True(got.Granted)
		is.True(time.Since(start) < testBudget)
	})
}

// TestSuccessorReplacesOnlyRelay has the only relay of a service refuse it as
// unknown, as a host does that has just started: the entry must try the
// successor of the relay.
func TestSuccessorReplacesOnlyRelay(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(3, 1, 4)
		e := cluster.entry()
		for _, r := range cluster.relays {
			r.reserve = func() query.Reservation { return query.Reservation{Outcome: outcome.Done, Granted: true} }
		}
		only := cluster.relays[e.router.candidates("guest-portal-00")[0].ID]
		only.refuse = query.ReasonUnknownService
		only.reserve = func() query.Reservation { return query.Reservation{Reason: query.ReasonUnknownService} }
		answer, _ := e.Search(context.Background(), workloadSearch)
		is.True(answer != nil && answer.Coverage.Complete())
		got, refusal := e.Reserve(context.Background(), testReservation)
		is.True(refusal == nil)
		is.True(got.Granted)
	})
}
