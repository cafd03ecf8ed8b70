// Package claim runs reservations at most once. Before a byte of a
// reservation is sent to a target, a claim record is created in the platform
// under the caller's reservation id; who creates it sends, and nobody else
// ever does.
package claim

import (
	"context"

	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// Sender sends reservation attempts to targets; the relay implements it.
type Sender interface {
	// Pick chooses a target for the reservation, none of those excluded. The
	// refusal says why there is none.
	Pick(r query.Reserve, exclude []string) (target string, refusal *query.Refusal)
	// Send sends the attempt to the target, exactly one time, and never after
	// ctx is done. The reservation's Outcome is what the sender knows of it.
	Send(ctx context.Context, r query.Reserve, target, attempt string) query.Reservation
	// Settle asks the target what became of an attempt; if it did not run the
	// target refuses it from then on. An error means that nothing is known.
	Settle(ctx context.Context, service, target, attempt string) (targetapi.Settlement, error)
}

// Reserver runs a reservation to its result. Its Outcome says truly whether the
// reservation ran: NotSent and Rejected mean that it did not and will not.
type Reserver interface {
	Reserve(ctx context.Context, r query.Reserve) query.Reservation
}
