package operate

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// fakeClaims knows one reservation.
type fakeClaims struct{ down bool }

const reserved = "01JE3W2S6P8N0Q4T7V9X1Z3B5D"

func (f *fakeClaims) Lookup(_ context.Context, id string) (claim.LookupResult, error) {
	if f.down {
		return claim.LookupResult{}, errors.New("platform unavailable")
	}
	s := claim.LookupResult{ReservationID: id, Found: id == reserved}
	if s.Found {
		s.Record = claim.Record{Phase: claim.Sending, Host: "h1", Incarnation: 3, Service: "desk", Target: "desk-t1"}
	}
	return s, nil
}

func TestShowClaim(t *testing.T) {
	run(t, func(t *testing.T, is *is.I, h *testHost) {
		f := &fakeClaims{}
		h.parts.Claims = f
		found := h.do("show claim " + reserved)
		is.Equal(found.Rows[1], []string{"phase", "sending"})
		is.Equal(h.do("show claim 01JE3W2S6P8N0Q4T7V9X1Z3B5E").Rows[1], []string{"phase", "none"})
		is.Equal(h.fail("asha", "show claim nonsense").Reason, query.ReasonBadRequest)
		f.down = true
		is.Equal(h.fail("asha", "show claim "+reserved).Reason, query.ReasonPlatform)
	})
}

// fakeRelay relays one target.
type fakeRelay struct{}

func (fakeRelay) TargetStates() []Target {
	return []Target{{Service: "guest-01", ID: "t2", State: "ready", InFlight: 1, Limit: 2, Sheds: 7, LastReason: query.ReasonOverload}}
}

func TestShowTargetsTellsWhatThisHostRelays(t *testing.T) {
	run(t, func(t *testing.T, is *is.I, h *testHost) {
		h.create("guest-01")
		h.parts.Relay = fakeRelay{}
		s := h.do("show targets")
		is.Equal(s.cell(0, "state"), "")
		is.Equal(s.cell(1, "state"), "ready")
		is.Equal(s.cell(1, "sheds"), "7")
		is.Equal(s.Message, "host h0 relays 1 of 2 targets; states and counts are its own")
	})
}
