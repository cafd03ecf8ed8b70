package catalog

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// Verb is what a change does to a service.
type Verb string

// Verbs.
const (
	Create Verb = "create"
	Alter  Verb = "alter"
	Drop   Verb = "drop"
)

// Author is who makes a change, and why.
type Author struct {
	Operator string
	Reason   string
}

// Request is a change of one service that an operator asks for.
type Request struct {
	Verb    Verb
	Service Service // as it shall be; a drop needs the name alone
	Version uint64  // that the operator read; not used by a create
	DryRun  bool    // only tell what would happen
	Author
}

// Status is what became of a change.
type Status string

// Statuses.
const (
	Accepted Status = "accepted" // it is in the platform
	Refused  Status = "refused"  // it is not, and will not be
	Unknown  Status = "unknown"  // the platform has not answered
	Possible Status = "possible" // a dry run that found nothing against it
)

// Result tells truly what became of a change.
type Result struct {
	Status   Status      `json:"status"`
	Kind     string      `json:"kind"`
	Name     string      `json:"name"`
	ChangeID string      `json:"change_id"`
	Version  uint64      `json:"version,omitempty"`  // of the object, if accepted
	Revision uint64      `json:"revision,omitempty"` // ordinal of that at which it was accepted; 0: accepted, but later changes hide the revision
	Problems []string    `json:"problems,omitempty"` // why it was refused, or what is not known
	Lost     *LostRace   `json:"lost,omitempty"`     // to whom, if another change came first
	Changes  []FieldDiff `json:"changes,omitempty"`  // of a dry run: what it would change
}

// LostRace tells who won against a change, and what differs.
type LostRace struct {
	Version uint64      `json:"version"` // of the current object; 0: there is no such object
	Winner  Change      `json:"winner"`  // the change that wrote the current object
	Changed time.Time   `json:"changed"` // when, by the platform's clock
	Differs []FieldDiff `json:"differs"` // fields in which the winner and the refused change differ
}

func (r Result) refused(problems ...error) Result {
	r.Status = Refused
	for _, p := range problems {
		r.Problems = append(r.Problems, messages(p)...)
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

// lost refuses the change because of the current object.
func (r Result) lost(current objstore.Object, wanted []byte) Result {
	r.Status = Refused
	r.Lost = &LostRace{
		Version: current.Version, Winner: changeOf(current), Changed: current.Changed,
		Differs: diffJSON(current.Value, wanted),
	}
	return r
}

// messages takes joined errors apart.
func messages(err error) []string {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []string{err.Error()}
	}
	var all []string
	for _, e := range joined.Unwrap() {
		all = append(all, messages(e)...)
	}
	return all
}
