package lang

import (
	"encoding/json"
	"time"
)

// Statement is one statement of the language.
type Statement interface {
	// String returns the statement in its canonical form.
	String() string
}

// Change is a statement that modifies the configuration or the state of targets.
// It may be prefixed with "dry run".
type Change interface {
	Statement
	change()
}

// Search queries one service, or all services of one workload; the name of the
// other is empty.
type Search struct {
	Workload    string
	Service     string
	Text        string
	Limit       int           // maximum number of rows; 0: all rows
	MinCoverage float64       // minimum fraction of the shards that must answer; negative: not given
	Budget      time.Duration // 0: the service's default
}

// Reserve requests one reservation.
type Reserve struct {
	Item    string
	Service string
	ID      string // reservation id, a ULID; empty: the client generates one
	Budget  time.Duration
}

// Subject is the table that a Show statement queries.
type Subject string

// Subjects of Show.
const (
	Services  Subject = "services"
	Targets   Subject = "targets"
	Snapshots Subject = "snapshots"
	Hosts     Subject = "hosts"
	Config    Subject = "config"
	Answers   Subject = "answers"
	Coverage  Subject = "coverage"
	Burn      Subject = "burn"
)

// Condition selects the rows whose field equals the value, or with Not the rows
// whose field does not.
type Condition struct {
	Field string
	Not   bool
	Value string
}

// Show queries the table of a subject.
type Show struct {
	Subject Subject
	Where   []Condition   // a row must satisfy all conditions
	Since   time.Duration // age of the oldest data to include; 0: not given
	By      []string      // fields to group by
	Limit   int           // maximum number of rows; 0: all rows
}

// ShowClaim queries the outcome of one reservation.
type ShowClaim struct{ ID string }

// Assignment sets one field of a service.
type Assignment struct {
	Key   string
	Value Value
}

// CreateService creates a service, either from JSON or from assignments.
type CreateService struct {
	Name string
	JSON json.RawMessage
	Set  []Assignment
}

// AlterService sets fields of a service if its current version is Version.
type AlterService struct {
	Name    string
	Set     []Assignment
	Version uint64
}

// DropService deletes a service if its current version is Version.
type DropService struct {
	Name    string
	Version uint64
}

// DrainTarget stops the use of a target in one service or, if Service is empty, in
// all services.
type DrainTarget struct {
	Target  string
	Service string
}

// UndrainTarget ends the drain of a target, in one service or, if Service is empty,
// in all services.
type UndrainTarget struct {
	Target  string
	Service string
}

// PublishSnapshot publishes a snapshot given as JSON.
type PublishSnapshot struct{ JSON json.RawMessage }

// RetireSnapshot deletes an old snapshot of a workload.
type RetireSnapshot struct {
	Workload string
	ID       uint64
}

// DryRun reports the effect of a change without applying it.
type DryRun struct{ Change Change }

func (CreateService) change()   {}
func (AlterService) change()    {}
func (DropService) change()     {}
func (DrainTarget) change()     {}
func (UndrainTarget) change()   {}
func (PublishSnapshot) change() {}
func (RetireSnapshot) change()  {}

// TrimDryRun returns the statement without its "dry run" prefix and reports whether
// it had one.
func TrimDryRun(s Statement) (Statement, bool) {
	if d, ok := s.(DryRun); ok {
		return d.Change, true
	}
	return s, false
}
