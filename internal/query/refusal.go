package query

import (
	"fmt"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// Reason tells why a request or a shard of it got no answer. The values are
// part of the API and of the reports.
type Reason string

const (
	ReasonBadRequest      Reason = "bad_request"         // malformed; the caller must change it
	ReasonUnknownService  Reason = "unknown_service"     // no such service or workload
	ReasonConflict        Reason = "conflict"            // a write lost a race
	ReasonTooLarge        Reason = "too_large"           // header or body over the limit
	ReasonBudget          Reason = "budget_exhausted"    // the budget ended first
	ReasonOverload        Reason = "overload"            // shed here or by the target
	ReasonDraining        Reason = "draining"            // target or host is leaving
	ReasonNoSnapshot      Reason = "no_snapshot"         // no snapshot with a holder for every shard
	ReasonSnapshotNotHeld Reason = "snapshot_not_held"   // no target holds the pinned snapshot any more
	ReasonNoTarget        Reason = "no_target"           // no usable target for the shard
	ReasonNoRelay         Reason = "no_relay"            // no usable relay for the service
	ReasonNotRelay        Reason = "not_relay"           // this host is not a relay of the service
	ReasonTargetFailed    Reason = "target_failed"       // target answered with an error
	ReasonBadAnswer       Reason = "bad_answer"          // truncated, crossed or foreign answer
	ReasonConnection      Reason = "connection"          // connection failed or was cut
	ReasonCoverage        Reason = "low_coverage"        // answered less than the caller's minimum
	ReasonPlatform        Reason = "platform"            // the platform's object API did not answer
	ReasonExpired         Reason = "reservation_expired" // reservation id is past the horizon
	ReasonUnsettled       Reason = "unsettled"           // an earlier attempt may have run; it is never run again
	ReasonStale           Reason = "stale_host"          // cut off from platform and peers
	ReasonQuarantined     Reason = "quarantined"         // targets end under the request
	ReasonCallerLeft      Reason = "caller_left"         // the caller closed its connection before the answer
)

// Refusal is the honest answer to a request that has no answer. Outcome tells
// whether the request ran; RetryAfter when to come back, 0 for never.
type Refusal struct {
	RequestID  string
	Reason     Reason
	Outcome    outcome.Outcome
	RetryAfter time.Duration
	Detail     string
	Coverage   *Coverage // searches: what was reached, if any
}

// Error tells the reason, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request %s refused: %s (%s): %s", r.RequestID, r.Reason, r.Outcome, r.Detail)
}
