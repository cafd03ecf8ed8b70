package query

import (
	"fmt"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// Reason is why a request, or one of its shards, got no answer. The values are
// part of the API and of reports.
type Reason string

const (
	ReasonBadRequest      Reason = "bad_request"         // malformed; the caller must change it
	ReasonUnknownService  Reason = "unknown_service"     // no such service or workload
	ReasonConflict        Reason = "conflict"            // a write lost a race
	ReasonTooLarge        Reason = "too_large"           // header or body over the limit
	ReasonBudget          Reason = "budget_exhausted"    // the budget ended before the answer
	ReasonOverload        Reason = "overload"            // shed by this host or by the target
	ReasonDraining        Reason = "draining"            // the target or host is draining
	ReasonNoSnapshot      Reason = "no_snapshot"         // no snapshot has a holder for every shard
	ReasonSnapshotNotHeld Reason = "snapshot_not_held"   // no target holds the pinned snapshot any more
	ReasonNoTarget        Reason = "no_target"           // no usable target for the shard
	ReasonNoRelay         Reason = "no_relay"            // no usable relay for the service
	ReasonNotRelay        Reason = "not_relay"           // this host is not a relay of the service
	ReasonTargetFailed    Reason = "target_failed"       // target answered with an error
	ReasonBadAnswer       Reason = "bad_answer"          // truncated answer, or one to another request or shard
	ReasonConnection      Reason = "connection"          // the connection failed or was closed
	ReasonCoverage        Reason = "low_coverage"        // coverage below the caller's minimum
	ReasonPlatform        Reason = "platform"            // the platform's object API did not respond
	ReasonExpired         Reason = "reservation_expired" // the reservation id is older than the horizon
	ReasonUnsettled       Reason = "unsettled"           // an earlier attempt may have run; the reservation is not run again
	ReasonStale           Reason = "stale_host"          // this host cannot reach platform and peers
	ReasonQuarantined     Reason = "quarantined"         // targets terminate while running this request
	ReasonCallerLeft      Reason = "caller_left"         // the caller closed its connection before the answer
)

// Refusal is the response to a request that got no answer. Outcome states whether
// the request ran; RetryAfter is the delay before a retry, 0 if a retry is
// useless.
type Refusal struct {
	RequestID  string
	Reason     Reason
	Outcome    outcome.Outcome
	RetryAfter time.Duration
	Detail     string
	Coverage   *Coverage // coverage of a refused search; nil if it did not start
}

// Error returns the reason, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request %s refused: %s (%s): %s", r.RequestID, r.Reason, r.Outcome, r.Detail)
}
