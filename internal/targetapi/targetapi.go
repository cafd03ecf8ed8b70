// Package targetapi defines the HTTP/JSON interface of a target: paths, headers
// and bodies. The relay and the target stand-in both use it; docs/TARGETS.md
// describes it. It contains no client or server code. Start reading at Request
// and Answer.
package targetapi

// Paths of a target.
const (
	PathShard  = "/v1/shard"    // POST Request: run one shard request
	PathStatus = "/v1/status"   // GET: Status; may be outdated or wrong
	PathSettle = "/v1/attempts" // POST /v1/attempts/{attempt id}/settle: Settlement; optional
)

// Headers of a shard request. The body of the answer repeats all of them except
// the budget, and the relay verifies each one.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderAttempt  = "X-Attempt-Id"
	HeaderService  = "X-Service"
	HeaderShard    = "X-Shard"
	HeaderSnapshot = "X-Snapshot"
	HeaderBudget   = "X-Budget-Ms" // remaining budget in milliseconds, decimal, fractions allowed
)

// Kinds of a shard request.
const (
	KindSearch  = "search"
	KindReserve = "reserve"
)

// Request is the body of a shard request.
type Request struct {
	Kind          string `json:"kind"`
	Text          string `json:"text,omitempty"`
	Limit         int    `json:"limit,omitempty"`
	Caller        string `json:"caller,omitempty"`
	ReservationID string `json:"reservation_id,omitempty"`
	Item          string `json:"item,omitempty"`
}

// Answer is the body of status 200. RowCount must equal len(Rows).
type Answer struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Service   string `json:"service"`
	Shard     uint32 `json:"shard"`
	Snapshot  uint64 `json:"snapshot"`
	RowCount  int    `json:"row_count"`
	TotalRows int    `json:"total_rows"` // rows found, before the limit
	Rows      []Row  `json:"rows"`
	Granted   bool   `json:"granted,omitempty"` // reservations only
	Text      string `json:"text,omitempty"`    // reservations: text of the target
}

// Row is one row of an answer.
type Row struct {
	Key   string  `json:"key"`
	Value string  `json:"value"`
	Score float64 `json:"score"`
}

// Rejection is the body of status 409 and 503: the request did not run. With any
// status other than 200, 409 and 503 it may have run. Status 500 with this body
// and Code "failed" means that it ran and failed.
type Rejection struct {
	Code         string   `json:"code"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
	Snapshots    []uint64 `json:"snapshots,omitempty"`  // snapshots held for the service
	AttemptID    string   `json:"attempt_id,omitempty"` // from the request header; with another id the request may have run, as may a reservation without one
}

// Codes of a Rejection.
const (
	CodeSnapshotNotHeld = "snapshot_not_held" // 409
	CodeDraining        = "draining"          // 503
	CodeShed            = "shed"              // 503
	CodeRefusedAttempt  = "refused_attempt"   // 409: the attempt was settled as not run
	CodeFailed          = "failed"            // 500
)

// States of a Status.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	StateDraining = "draining"
)

// Status is the response body of PathStatus. Incarnation increases with each
// start of the target.
type Status struct {
	ID             string              `json:"id"`
	State          string              `json:"state"`
	Incarnation    uint64              `json:"incarnation"`
	Load           float64             `json:"load"` // running requests divided by slots
	Slots          int                 `json:"slots"`
	Snapshots      map[string][]uint64 `json:"snapshots"` // snapshots held, by service
	SupportsSettle bool                `json:"settles"`   // the target implements PathSettle
}

// Settlement is the response body of PathSettle: whether an attempt ran. If it did
// not, the target rejects the attempt from then on.
type Settlement struct {
	AttemptID string `json:"attempt_id"`
	Ran       bool   `json:"ran"`
	Running   bool   `json:"running"` // still running; query again later
	Answer    Answer `json:"answer"`  // set if it ran
}
