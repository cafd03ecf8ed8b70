// Package operate runs the statements of operators on a host: it shows
// services, targets, hosts, configuration and delivery reports, and changes
// the configuration.
package operate

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/lang"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Catalog is what the executor reads of the configuration in force here.
type Catalog interface {
	catalog.View
	InForce(ctx context.Context, revision uint64) catalog.InForce
	Stale() bool
}

// Editor changes the configuration.
type Editor interface {
	Read(ctx context.Context, name string) (catalog.Stored, error)
	Change(ctx context.Context, r catalog.Request) catalog.Result
	PublishSnapshot(ctx context.Context, s catalog.Snapshot, by catalog.Author, dryRun bool) catalog.Result
	RetireSnapshot(ctx context.Context, workload string, id uint64, by catalog.Author, dryRun bool) catalog.Result
}

// Reports merges the delivery records of all hosts.
type Reports interface {
	Report(ctx context.Context, q delivery.Query) (delivery.Report, error)
	Records(ctx context.Context, since time.Duration, keep func(delivery.Record) bool) ([]delivery.Record, delivery.Completeness, error)
	Burn(ctx context.Context, objectives []delivery.Objective) (delivery.BurnReport, error)
}

// Claims tells what became of reservations.
type Claims interface {
	Lookup(ctx context.Context, reservation string) (claim.LookupResult, error)
}

// Target is what this host, as a relay, knows of a target.
type Target struct {
	Service     string
	ID          string
	State       string
	InFlight    int
	Limit       int
	Connections int
	Attempts    int64
	Sheds       int64
	Errors      int64
	LastReason  query.Reason // of the newest attempt without an answer
}

// Relay tells the targets that this host relays.
type Relay interface{ TargetStates() []Target }

// Parts are what an executor works on. Relay and Claims may be nil. Without a
// Catalog only reports can be shown, and only Reports and Objectives are used.
type Parts struct {
	Members member.View
	Store   objstore.Store
	Catalog Catalog
	Editor  Editor
	Reports Reports
	Claims  Claims
	Relay   Relay
	// Objectives returns those whose burn is shown.
	Objectives func() []delivery.Objective
}

// Executor runs statements.
type Executor struct{ parts Parts }

// New returns an executor.
func New(p Parts) *Executor { return &Executor{parts: p} }

// Execute runs a statement for the named operator; a dry run tells what a
// change would do. The error is a *query.Refusal: its outcome says whether a
// change was made, and Unknown that the platform has not answered.
func (e *Executor) Execute(ctx context.Context, operator string, stmt lang.Statement, dryRun bool) (Table, error) {
	stmt, prefixed := lang.Unwrap(stmt)
	_, changes := stmt.(lang.Change)
	if dryRun && !changes {
		return Table{}, badRequest("a dry run is of a change, and %q changes nothing", stmt)
	}
	t, err := e.execute(ctx, catalog.Author{Operator: operator}, stmt, dryRun || prefixed)
	if err != nil {
		return Table{}, err
	}
	return *t, nil
}

// ExecuteText parses a statement and runs it.
func (e *Executor) ExecuteText(ctx context.Context, operator, text string, dryRun bool) (Table, error) {
	stmt, err := lang.Parse(text)
	if err != nil {
		return Table{}, badRequestFrom(err)
	}
	return e.Execute(ctx, operator, stmt, dryRun)
}

func (e *Executor) execute(ctx context.Context, by catalog.Author, stmt lang.Statement, dryRun bool) (*Table, error) {
	if e.parts.Catalog == nil && !isReport(stmt) {
		return nil, badRequest("%q is not a report on answers, coverage or burn; send it to a host", stmt)
	}
	switch s := stmt.(type) {
	case lang.Show:
		return e.show(ctx, s)
	case lang.ShowClaim:
		return e.showClaim(ctx, s)
	case lang.CreateService:
		return e.create(ctx, by, s, dryRun)
	case lang.AlterService:
		return e.alter(ctx, by, s, dryRun)
	case lang.DropService:
		return e.drop(ctx, by, s, dryRun)
	case lang.DrainTarget:
		return e.drain(ctx, by, s.Target, s.Service, true, dryRun)
	case lang.UndrainTarget:
		return e.drain(ctx, by, s.Target, s.Service, false, dryRun)
	case lang.PublishSnapshot:
		return e.publish(ctx, by, s, dryRun)
	case lang.RetireSnapshot:
		return e.changeTable(ctx, e.parts.Editor.RetireSnapshot(ctx, s.Workload, s.ID, by, dryRun))
	}
	return nil, badRequest("%q is a caller's statement; send it to a host's caller address", stmt)
}

// isReport reports whether a statement needs only the delivery records.
func isReport(stmt lang.Statement) bool {
	s, ok := stmt.(lang.Show)
	return ok && (s.Subject == lang.Answers || s.Subject == lang.Coverage || s.Subject == lang.Burn)
}

func (e *Executor) show(ctx context.Context, s lang.Show) (*Table, error) {
	switch s.Subject {
	case lang.Answers:
		return e.showAnswers(ctx, s)
	case lang.Coverage:
		return e.showCoverage(ctx, s)
	case lang.Burn:
		return e.showBurn(ctx, s)
	}
	t := e.present(ctx, s)
	if err := t.refine(s); err != nil {
		return nil, err
	}
	return t, nil
}

func (e *Executor) present(ctx context.Context, s lang.Show) *Table {
	switch s.Subject {
	case lang.Services:
		return e.services(ctx)
	case lang.Targets:
		return e.targets()
	case lang.Snapshots:
		return e.snapshots()
	case lang.Config:
		return e.config(ctx)
	}
	return e.hosts()
}
