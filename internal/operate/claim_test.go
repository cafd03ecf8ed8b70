package operate

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// fakeClaims has the record of one reservation; down makes it unavailable.
type fakeClaims struct{ down bool }

const reservedID = "01JE3W2S6P8N0Q4T7V9X1Z3B5D"

func (f *fakeClaims) Lookup(_ context.Context, id string) (claim.LookupResult, error) {
	if f.down {
		return claim.LookupResult{}, errors.New("platform unavailable")
	}
	s := claim.LookupResult{ReservationID: id, Found: id == reservedID}
	if s.Found {
		s.Record = claim.Record{Phase: claim.Sending, Host: "h1", Incarnation: 3, Service: "desk", Target: "desk-t1"}
	}
	return s, nil
}

func TestShowClaim(t *testing.T) {
	runWithHost(t, func(t *testing.T, is *is.I, h *testHost) {
		f := &fakeClaims{}
		h.deps.Claims = f
		found := h.mustRun("show claim " + reservedID)
		is.Equal(found.Rows[1], []string{"phase", "sending"})
		is.Equal(h.mustRun("show claim 01JE3W2S6P8N0Q4T7V9X1Z3B5E").Rows[1], []string{"phase", "none"})
		is.Equal(h.mustRefuse("asha", "show claim nonsense").Reason, query.ReasonBadRequest)
		f.down = true
		is.Equal(h.mustRefuse("asha", "show claim "+reservedID).Reason, query.ReasonPlatform)
	})
}

// fakeRelay relays to one target.
type fakeRelay struct{}

func (fakeRelay) TargetStates() []RelayedTarget {
	return []RelayedTarget{{Service: "guest-01", ID: "t2", State: "ready", InFlight: 1, Limit: 2, Sheds: 7, LastReason: query.ReasonOverload}}
}

func TestShowTargetsIncludesStateOfRelayedTargets(t *testing.T) {
	runWithHost(t, func(t *testing.T, is *is.I, h *testHost) {
		h.create("guest-01")
		h.deps.Relay = fakeRelay{}
		s := h.mustRun("show targets")
		is.Equal(s.cell(0, "state"), "")
		is.Equal(s.cell(1, "state"), "ready")
		is.Equal(s.cell(1, "sheds"), "7")
		is.Equal(s.Message, "host h0 relays 1 of 2 targets; states and counts are its own")
	})
}
