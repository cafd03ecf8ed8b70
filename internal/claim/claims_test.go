package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// inWorld runs a test in virtual time.
func inWorld(t *testing.T, hosts int, f func(is *is.I, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(hosts)
		defer w.end()
		f(is.New(t), w)
	})
}

func TestReserveOnceAndRepeat(t *testing.T) {
	inWorld(t, 2, func(is *is.I, w *world) {
		r := reservation(newID(time.Now()))
		first := w.hosts[0].reserve(r)
		is.Equal(first.Outcome, outcome.Done)
		is.True(first.Granted)
		is.True(!first.Repeated)
		is.Equal(first.ReservationID, r.ReservationID)
		for _, h := range w.hosts {
			again := h.reserve(r)
			is.Equal(again.Outcome, outcome.Done)
			is.Equal(again.Answer, first.Answer)
			is.True(again.Repeated)
		}
		is.Equal(len(w.target.runs[r.ReservationID]), 1)
	})
}

func TestRefusedIDs(t *testing.T) {
	inWorld(t, 1, func(is *is.I, w *world) {
		c := w.hosts[0]
		ask := func(id string) query.Reservation { return c.reserve(reservation(id)) }
		res := ask("not a ULID")
		is.Equal(res.Reason, query.ReasonBadRequest)
		is.Equal(res.Outcome, outcome.NotSent)

		res = ask(newID(time.Now().Add(time.Hour)))
		is.Equal(res.Reason, query.ReasonBadRequest)
		is.Equal(res.Outcome, outcome.NotSent)

		res = ask(newID(time.Now().Add(-25 * time.Hour)))
		is.Equal(res.Reason, query.ReasonExpired)
		is.Equal(res.Outcome, outcome.Unknown) // expired is not told as not run

		id := newID(time.Now())
		is.Equal(ask(id).Outcome, outcome.Done)
		other := reservation(id)
		other.Item = "another"
		res = c.reserve(other)
		is.Equal(res.Reason, query.ReasonBadRequest)
		is.Equal(len(w.target.runs), 1)
	})
}
