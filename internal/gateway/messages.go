package gateway

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/policy"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

// Call holds the parameters of a caller's request.
type Call struct {
	RequestID string        // id of this attempt of the caller
	Budget    time.Duration // time that the caller waits; 0: not given
}

// VerdictKind classifies a target's response.
type VerdictKind uint8

// Kinds of verdicts.
const (
	Unreadable  VerdictKind = iota // not a valid response of a target: the request may have run
	Success                        // ran; the body is the answer
	Failure                        // ran and failed; the response is the target's own error
	NotRun                         // did not run and will not
	WrongTarget                    // did not run: the response is that of another target
)

// Verdict is the interpretation of a target's response.
type Verdict struct {
	Kind      VerdictKind
	RequestID string // id of the request that is answered; empty: not given
	Signature string // of the target; empty: none
	Load      *Load  // reported by the target; nil: not reported
	// Warmup is the remaining warm-up time that the target reported; 0: not reported.
	Warmup time.Duration
	// MalformedReport is set if the load or warm-up time in the response is malformed. The response is used
	// nevertheless.
	MalformedReport bool
}

// Load is the load that a target reports.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Slowness float64 // current duration of work on its machine relative to the usual one; 1 if not reported
}

// report converts the load for the choice of targets.
func (l Load) report() policy.Report {
	return policy.NewReport(l.Slowness, l.Running, l.Waiting, l.Slots)
}

// Messages reads and writes the headers of the deployment's protocols. Headers are modified in
// place.
type Messages interface {
	// ReadyPath returns the path at which the load balancer checks readiness.
	ReadyPath() string
	// Call parses the header of a caller's request.
	Call(h http.Header) (Call, error)
	// Attempt sets the target and the time limit on a request to a target.
	Attempt(h http.Header, target string, left time.Duration)
	// Answer interprets the status and header of a target's response.
	Answer(status int, h http.Header) Verdict
	// Whole marks an answer that is a single target's response.
	Whole(h http.Header, requestID, signature string)
	// Merged marks an answer that was merged from parts, with the number of missing parts.
	Merged(h http.Header, requestID string, signatures []string, missing int)
	// Refused marks an error response of this host. after is the time after which to retry, 0 if
	// the request may have run.
	Refused(h http.Header, requestID string, after time.Duration)
}
