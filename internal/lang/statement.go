// Package lang reads the query and command language of operators and callers.
// It is pure: Parse turns text into typed statements, and the String method of
// each statement gives text that Parse reads back as the same statement.
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

// Change is a statement that alters how services run, and so may be tried
// with "dry run".
type Change interface {
	Statement
	change()
}

// Search asks one service, or every service of one workload.
type Search struct {
	Workload    string
	Service     string
	Text        string
	Limit       int           // 0: all rows
	MinCoverage float64       // negative: not given
	Budget      time.Duration // 0: the service's default
}

// Reserve asks for one reservation.
type Reserve struct {
	Item    string
	Service string
	ID      string // reservation id, a ULID; empty: the client makes one
	Budget  time.Duration
}

// Subject is what a Show statement shows.
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

// Condition keeps the rows whose field has, or with Not has not, the value.
type Condition struct {
	Field string
	Not   bool
	Value string
}

// Show asks for a table of the subject.
type Show struct {
	Subject Subject
	Where   []Condition   // all must hold
	Since   time.Duration // 0: not given
	By      []string      // fields to group by
	Limit   int           // 0: all rows
}

// ShowClaim asks what became of one reservation.
type ShowClaim struct{ ID string }

// Assignment sets one field of a service.
type Assignment struct {
	Key   string
	Value Value
}

// CreateService creates a service, from its JSON form or from assignments.
type CreateService struct {
	Name string
	JSON json.RawMessage
	Set  []Assignment
}

// AlterService changes fields of the service if it stands at Version.
type AlterService struct {
	Name    string
	Set     []Assignment
	Version uint64
}

// DropService removes the service if it stands at Version.
type DropService struct {
	Name    string
	Version uint64
}

// DrainTarget takes a target out of use, in one service or in all of them.
type DrainTarget struct {
	Target  string
	Service string
}

// UndrainTarget takes a drained target into use again.
type UndrainTarget struct {
	Target  string
	Service string
}

// PublishSnapshot publishes a snapshot in its JSON form.
type PublishSnapshot struct{ JSON json.RawMessage }

// RetireSnapshot deletes an old snapshot of a workload.
type RetireSnapshot struct {
	Workload string
	ID       uint64
}

// DryRun tells what a change would do, and does not do it.
type DryRun struct{ Change Change }

func (CreateService) change()   {}
func (AlterService) change()    {}
func (DropService) change()     {}
func (DrainTarget) change()     {}
func (UndrainTarget) change()   {}
func (PublishSnapshot) change() {}
func (RetireSnapshot) change()  {}

// Unwrap returns the statement without its "dry run" prefix, and whether it
// had one.
func Unwrap(s Statement) (Statement, bool) {
	if d, ok := s.(DryRun); ok {
		return d.Change, true
	}
	return s, false
}
