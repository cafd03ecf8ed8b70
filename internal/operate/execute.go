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

// Catalog is the read access to the configuration in force on this host.
type Catalog interface {
	catalog.View
	InForce(ctx context.Context, revision uint64) catalog.InForce
	Stale() bool
}

// Editor reads and changes the configuration in the store.
type Editor interface {
	Read(ctx context.Context, name string) (catalog.Stored, error)
	Change(ctx context.Context, r catalog.Request) catalog.Result
	PublishSnapshot(ctx context.Context, s catalog.Snapshot, author catalog.Author, dryRun bool) catalog.Result
	RetireSnapshot(ctx context.Context, workload string, id uint64, author catalog.Author, dryRun bool) catalog.Result
}

// Reports merges the delivery records of all hosts.
type Reports interface {
	Report(ctx context.Context, q delivery.Query) (delivery.Report, error)
	Records(ctx context.Context, since time.Duration, keep func(delivery.Record) bool) ([]delivery.Record, delivery.Completeness, error)
	Burn(ctx context.Context, objectives []delivery.Objective) (delivery.BurnReport, error)
}

// Claims looks up the stored state of reservations.
type Claims interface {
	Lookup(ctx context.Context, reservation string) (claim.LookupResult, error)
}

// RelayedTarget is the state of a target as observed by this host, which relays to it.
// Attempts, Sheds and Errors are counters.
type RelayedTarget struct {
	Service     string
	ID          string
	State       string
	InFlight    int
	Limit       int
	Connections int
	Attempts    int64
	Sheds       int64
	Errors      int64
	LastReason  query.Reason // why the newest attempt without an answer failed
}

// Relay returns the states of the targets that this host relays to.
type Relay interface{ TargetStates() []RelayedTarget }

// Dependencies are the dependencies of an executor. Relay and Claims may be nil. If
// Catalog is nil, only reports can be shown, and only Reports and Objectives are
// used.
type Dependencies struct {
	Members member.View
	Store   objstore.Store
	Catalog Catalog
	Editor  Editor
	Reports Reports
	Claims  Claims
	Relay   Relay
	// Objectives returns the objectives whose burn rates are reported.
	Objectives func() []delivery.Objective
}

// Executor runs the statements of operators.
type Executor struct{ deps Dependencies }

// New returns an executor with the given dependencies.
func New(p Dependencies) *Executor { return &Executor{deps: p} }

// Execute runs a statement for the named operator. A dry run checks a change and
// shows its effect without writing it; a statement with the "dry run" prefix is
// one too. The error is a *query.Refusal: its outcome says whether the change was
// applied, and is Unknown if the platform did not answer.
func (e *Executor) Execute(ctx context.Context, operator string, stmt lang.Statement, dryRun bool) (Table, error) {
	stmt, dryRunPrefix := lang.TrimDryRun(stmt)
	_, changes := stmt.(lang.Change)
	if dryRun && !changes {
		return Table{}, badRequest("a dry run is of a change, and %q changes nothing", stmt)
	}
	t, err := e.execute(ctx, catalog.Author{Operator: operator}, stmt, dryRun || dryRunPrefix)
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

// execute runs a statement whose dry run prefix has been removed.
func (e *Executor) execute(ctx context.Context, author catalog.Author, stmt lang.Statement, dryRun bool) (*Table, error) {
	if e.deps.Catalog == nil && !isReport(stmt) {
		return nil, badRequest("%q is not a report on answers, coverage or burn; send it to a host", stmt)
	}
	switch s := stmt.(type) {
	case lang.Show:
		return e.show(ctx, s)
	case lang.ShowClaim:
		return e.showClaim(ctx, s)
	case lang.CreateService:
		return e.create(ctx, author, s, dryRun)
	case lang.AlterService:
		return e.alter(ctx, author, s, dryRun)
	case lang.DropService:
		return e.drop(ctx, author, s, dryRun)
	case lang.DrainTarget:
		return e.drain(ctx, author, s.Target, s.Service, true, dryRun)
	case lang.UndrainTarget:
		return e.drain(ctx, author, s.Target, s.Service, false, dryRun)
	case lang.PublishSnapshot:
		return e.publish(ctx, author, s, dryRun)
	case lang.RetireSnapshot:
		return e.resultTable(ctx, e.deps.Editor.RetireSnapshot(ctx, s.Workload, s.ID, author, dryRun))
	}
	return nil, badRequest("%q is a caller's statement; send it to a host's caller address", stmt)
}

// isReport reports whether a statement needs only the delivery records.
func isReport(stmt lang.Statement) bool {
	s, ok := stmt.(lang.Show)
	return ok && (s.Subject == lang.Answers || s.Subject == lang.Coverage || s.Subject == lang.Burn)
}

// show runs a show statement: reports come from the delivery records of a time
// range, all other subjects show the current state.
func (e *Executor) show(ctx context.Context, s lang.Show) (*Table, error) {
	switch s.Subject {
	case lang.Answers:
		return e.showAnswers(ctx, s)
	case lang.Coverage:
		return e.showCoverage(ctx, s)
	case lang.Burn:
		return e.showBurn(ctx, s)
	}
	t := e.showState(ctx, s)
	if err := t.applyClauses(s); err != nil {
		return nil, err
	}
	return t, nil
}

// showState returns the unfiltered table of a subject that has no history.
func (e *Executor) showState(ctx context.Context, s lang.Show) *Table {
	switch s.Subject {
	case lang.Services:
		return e.showServices(ctx)
	case lang.Targets:
		return e.showTargets()
	case lang.Snapshots:
		return e.showSnapshots()
	case lang.Config:
		return e.showConfig(ctx)
	}
	return e.showHosts()
}
