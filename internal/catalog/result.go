package catalog

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// Verb is the operation of a change on a service.
type Verb string

// Verbs.
const (
	Create Verb = "create"
	Alter  Verb = "alter"
	Drop   Verb = "drop"
)

// Author is the operator who makes a change, and the reason.
type Author struct {
	Operator string
	Reason   string
}

// Request is an operator's request to change one service.
type Request struct {
	Verb    Verb
	Service Service // the new value; a drop needs only the name
	Version uint64  // version that the operator read; ignored by a create
	DryRun  bool    // validate and return the result without writing
	Author
}

// Status is the outcome of a change.
type Status string

// Statuses.
const (
	Accepted Status = "accepted" // the change was written to the platform
	Refused  Status = "refused"  // the change was not written and will not be
	Unknown  Status = "unknown"  // the platform did not respond, so the change may or may not be written
	Possible Status = "possible" // a dry run found no reason to refuse the change
)

// Result is the outcome of a change. It never states an outcome that is not
// certain: if it can't be determined, Status is Unknown.
type Result struct {
	Status   Status      `json:"status"`
	Kind     string      `json:"kind"`
	Name     string      `json:"name"`
	ChangeID string      `json:"change_id"`
	Version  uint64      `json:"version,omitempty"`  // of the object, if accepted
	Revision uint64      `json:"revision,omitempty"` // ordinal of the revision at which it was accepted; 0 if accepted but the revision is unknown, since later changes followed
	Problems []string    `json:"problems,omitempty"` // why it was refused, or why the outcome is unknown
	Lost     *LostRace   `json:"lost,omitempty"`     // set if another change came first
	Changes  []FieldDiff `json:"changes,omitempty"`  // of a dry run: fields that the change would modify
}

// LostRace describes the change that came first and the differences from it.
type LostRace struct {
	Version uint64      `json:"version"` // of the current object; 0: it does not exist
	Winner  Change      `json:"winner"`  // the change that wrote the current object
	Changed time.Time   `json:"changed"` // when the object was last changed, by the platform's clock
	Differs []FieldDiff `json:"differs"` // fields in which the current object and the refused change differ
}

func (r Result) refused(problems ...error) Result {
	r.Status = Refused
	for _, p := range problems {
		r.Problems = append(r.Problems, errorMessages(p)...)
	}
	return r
}

func (r Result) unknown(cause error) Result {
	r.Status = Unknown
	r.Problems = append(r.Problems, "the platform did not tell whether the change was made: "+cause.Error())
	return r
}

func (r Result) accepted(o objstore.Object) Result {
	r.Status, r.Version, r.Revision = Accepted, o.Version, o.At().Ordinal()
	return r
}

// withLostRace returns a refused result that describes the current object.
func (r Result) withLostRace(current objstore.Object, wanted []byte) Result {
	r.Status = Refused
	r.Lost = &LostRace{
		Version: current.Version, Winner: changeOf(current), Changed: current.Changed,
		Differs: diffJSON(current.Value, wanted),
	}
	return r
}

// errorMessages returns the messages of the errors that err joins, or that of
// err itself.
func errorMessages(err error) []string {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []string{err.Error()}
	}
	var all []string
	for _, e := range joined.Unwrap() {
		all = append(all, errorMessages(e)...)
	}
	return all
}
