package rollout

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// ID identifies an order. A new object in the store, or another version in the same object, is
// another order.
type ID struct {
	Service string
	Version string            // to which the service's requests are to be moved
	Created revision.Revision // of the store, when the order's object was created
}

// State is the state of an order in the store.
type State string

// States of an order. Succeeded and rolled back are final.
const (
	StateNone       State = "" // no host has written a status yet
	StateRunning    State = "running"
	StateSucceeded  State = "succeeded"   // the targets of other versions end at once, without draining
	StateRolledBack State = "rolled_back" // the targets of the new version drain
)

// Final reports whether the state is final.
func (s State) Final() bool { return s == StateSucceeded || s == StateRolledBack }

// Status is the status of an order's object. It survives a change of the ordered version, so it
// belongs to an order only if the version is the same.
type Status struct {
	State   State
	Version string
}

// Order is a rollout order as the store holds it.
type Order struct {
	ID
	Duration time.Duration     // from the order to the end of the rollout
	Written  revision.Revision // of the last change of the object; the condition of a status write
	Status   Status
	// FirstSeen is when the first host saw the order, by the clock of the cached state that holds
	// it; the zero time if no host knows, because all that did were lost.
	FirstSeen time.Time
}

// State returns the state of the order: its status, unless that belongs to another version.
func (o Order) State() State {
	if o.Status.Version != o.Version {
		return StateNone
	}
	return o.Status.State
}

// Phase is how far a host or a coordinator is with an order. Of two phases the greater one takes
// precedence; a final state in the store takes precedence over all phases.
type Phase uint8

// Phases of an order. The values are sent between hosts.
const (
	PhaseWaiting    Phase = iota // the new version gets nothing
	PhaseCanary                  // the new version gets a share of the first attempts
	PhaseMoving                  // new requests go to the new version only; those in flight at the old one end
	PhaseRolledBack              // the new version gets nothing any more
	PhaseSucceeded               // only the new version gets requests
)

// Plan is how a host treats the versions of a service at this moment.
type Plan struct {
	ID    ID
	Phase Phase
	// Share is the probability that a first attempt goes to the new version, in PhaseCanary.
	Share float64
	// OnTrial is the ids of the new targets that get the share at this moment; empty: all of them.
	OnTrial []string
	// NonIdempotent is set if requests that must not run twice may go to the new version, too.
	NonIdempotent bool
}

// Counts is the results of the requests of one route at one target of the new version, or at all
// targets of other versions together. All counts are totals since the host has known the order.
type Counts struct {
	Route  string
	Target string // empty: all targets of other versions
	Sent   uint64 // attempts that may have reached the target, including rejected ones
	// Failed is the attempts that the target answered with a failure of its own, or whose connection
	// broke after the request was sent. Rejected attempts and refused connections are not counted.
	Failed    uint64
	Latencies Histogram // of successful answers, and of attempts that were given up before an answer
}

// Evidence is what one host has counted for one order.
type Evidence struct {
	OldInFlight int // attempts in flight at targets of other versions
	Counts      []Counts
}

// HostEvidence is the evidence of one host, with how far it is with the order.
type HostEvidence struct {
	ID     ID
	Phase  Phase
	Age    time.Duration // since the order was first seen by any host; negative: unknown
	Reason string        // why the order was rolled back, if the host knows
	Evidence
}

// Directive is what a coordinator has decided on an order.
type Directive struct {
	ID            ID
	Phase         Phase
	Share         float64 // mean probability that a first attempt goes to the new version
	NonIdempotent bool    // as in Plan
	Reason        string  // why it was rolled back, or what it waits for
	Age           time.Duration
}
