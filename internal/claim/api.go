package claim

import (
	"context"

	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// Sender sends reservation attempts to targets. The relay implements it.
type Sender interface {
	// Pick selects a target for the reservation that is not in exclude. If
	// there is none, refusal states the reason.
	Pick(r query.ReserveRequest, exclude []string) (target string, refusal *query.Refusal)
	// Send sends the attempt to the target exactly once, and never after ctx is
	// done. The Outcome of the returned reservation is the result as far as the
	// sender observed it.
	Send(ctx context.Context, r query.ReserveRequest, target, attempt string) query.Reservation
	// Settle queries the target for the result of an attempt. If the target has
	// not run the attempt, it rejects it from then on. An error means that the
	// result is unknown.
	Settle(ctx context.Context, service, target, attempt string) (targetapi.Settlement, error)
}

// Reserver runs a reservation to completion. The Outcome of the result is
// reliable: NotSent and Rejected guarantee that the reservation did not run and
// will not run.
type Reserver interface {
	Reserve(ctx context.Context, r query.ReserveRequest) query.Reservation
}
