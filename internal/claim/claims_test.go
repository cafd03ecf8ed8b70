package claim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// inFleet runs a test on a fleet of hosts in virtual time.
func inFleet(t *testing.T, hosts int, test func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hosts)
		defer f.end()
		test(is.New(t), f)
	})
}

func TestReserveOnceAndRepeat(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		r := newReservation()
		first := f.hosts[0].reserve(r)
		is.Equal(first.Outcome, outcome.Done)
		is.True(first.Granted)
		is.True(!first.Repeated)
		is.Equal(first.ReservationID, r.ReservationID)
		for _, h := range f.hosts {
			again := h.reserve(r)
			is.Equal(again.Outcome, outcome.Done)
			is.Equal(again.Answer, first.Answer)
			is.True(again.Repeated)
		}
		lower := r
		lower.ReservationID = strings.ToLower(r.ReservationID)
		is.Equal(f.add().reserve(lower).Answer, first.Answer) // two spellings of one id
		is.Equal(f.runs(r), 1)
	})
}

func TestRefusedIDs(t *testing.T) {
	inFleet(t, 1, func(is *is.I, f *fleet) {
		c := f.hosts[0]
		ask := func(id string) query.Reservation { return c.reserve(reservation(id)) }
		res := ask("not a ULID")
		is.Equal(res.Reason, query.ReasonBadRequest)
		is.Equal(res.Outcome, outcome.NotSent)

		res = ask(newID(time.Now().Add(time.Hour)))
		is.Equal(res.Reason, query.ReasonBadRequest)
		is.Equal(res.Outcome, outcome.NotSent)

		res = ask(newID(time.Now().Add(-25 * time.Hour)))
		is.Equal(res.Reason, query.ReasonExpired)
		is.Equal(res.Outcome, outcome.Unknown) // an expired id is never answered with "not run"

		id := newID(time.Now())
		is.Equal(ask(id).Outcome, outcome.Done)
		other := reservation(id)
		other.Item = "another"
		res = c.reserve(other)
		is.Equal(res.Reason, query.ReasonBadRequest)
		is.Equal(len(f.target.runs), 1)
	})
}

func TestStopWaitsForReservationsAndRecords(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		a := f.hosts[0]
		r := newReservation()
		pending := a.startBlockedReserve(r)
		stopped := make(chan error, 1)
		go func() { stopped <- a.claims.Stop(context.Background()) }()
		synctest.Wait()
		is.Equal(len(stopped), 0)
		late := a.reserve(newReservation())
		is.Equal(late.Outcome, outcome.NotSent)
		is.Equal(late.Reason, query.ReasonDraining)

		a.client.LoseNextRequests(2)
		a.sendGate.set(false)
		first := <-pending
		is.Equal(first.Outcome, outcome.Done)
		is.NoErr(<-stopped)
		a.kill()
		is.Equal(f.hosts[1].reserve(r).Answer, first.Answer)
	})
}

// TestStopDuringOutage stops a host whose records cannot be written. Stop
// returns after StopTimeout, and a repeat on another host gets the outcome
// unknown.
func TestStopDuringOutage(t *testing.T) {
	inFleet(t, 2, func(is *is.I, f *fleet) {
		a := f.hosts[0]
		r := newReservation()
		pending := a.startBlockedReserve(r)
		synctest.Wait()
		a.client.SetDown(true)
		a.sendGate.set(false)
		is.Equal((<-pending).Outcome, outcome.Done)
		start := time.Now()
		is.NoErr(a.claims.Stop(context.Background()))
		is.Equal(time.Since(start), DefaultConfig().StopTimeout.Std())
		a.kill()
		again := f.hosts[1].reserve(r)
		is.Equal(again.Outcome, outcome.Unknown)
		is.Equal(len(f.target.runs), 1)
	})
}

func TestLookup(t *testing.T) {
	inFleet(t, 1, func(is *is.I, f *fleet) {
		c := f.hosts[0].claims
		id := newID(time.Now())
		s, err := c.Lookup(context.Background(), id)
		is.NoErr(err)
		is.True(!s.Found)
		f.hosts[0].reserve(reservation(id))
		s, err = c.Lookup(context.Background(), id)
		is.NoErr(err)
		is.True(s.Found && s.HostAlive)
		is.Equal(s.Record.Phase, Settled)
		is.Equal(s.Record.Outcome, outcome.Done.String())
		_, err = c.Lookup(context.Background(), "x")
		is.True(err != nil)
	})
}

// Hosts with different horizons share the same records, so no host may have a
// horizon that is longer than the lifetime of a record.
func TestConfigBounds(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	c := DefaultConfig()
	c.Horizon = unit.Duration(MaxHorizon + 1)
	c.MaxBackgroundWrites = 0
	err := c.Validate()
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "horizon"))
	is.True(strings.Contains(err.Error(), "background"))
	is.True(removeAfter > MaxHorizon)
}
