package operate

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/lang"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

func (e *Executor) create(ctx context.Context, author catalog.Author, c lang.CreateService, dryRun bool) (*Table, error) {
	s, err := newService(c)
	if err != nil {
		return nil, err
	}
	return e.change(ctx, catalog.Request{Verb: catalog.Create, Service: s, DryRun: dryRun, Author: author})
}

// newService builds the service of a create statement from its field assignments
// or, if it has none, from its JSON.
func newService(c lang.CreateService) (catalog.Service, error) {
	s := catalog.Service{Name: c.Name}
	if len(c.Set) > 0 {
		return applyAssignments(s, c.Set)
	}
	if err := decodeStrict(c.JSON, &s); err != nil {
		return s, err
	}
	if s.Name != c.Name {
		return s, badRequest("the JSON names service %q, the statement %q", s.Name, c.Name)
	}
	return s, nil
}

func (e *Executor) alter(ctx context.Context, author catalog.Author, a lang.AlterService, dryRun bool) (*Table, error) {
	stored, err := e.readService(ctx, a.Name)
	if err != nil {
		return nil, err
	}
	s, err := applyAssignments(stored.Service, a.Set)
	if err != nil {
		return nil, err
	}
	return e.change(ctx, catalog.Request{Verb: catalog.Alter, Service: s, Version: a.Version, DryRun: dryRun, Author: author})
}

func (e *Executor) drop(ctx context.Context, author catalog.Author, d lang.DropService, dryRun bool) (*Table, error) {
	return e.change(ctx, catalog.Request{
		Verb: catalog.Drop, Service: catalog.Service{Name: d.Name}, Version: d.Version, DryRun: dryRun, Author: author,
	})
}

func (e *Executor) publish(ctx context.Context, author catalog.Author, p lang.PublishSnapshot, dryRun bool) (*Table, error) {
	var s catalog.Snapshot
	if err := decodeStrict(p.JSON, &s); err != nil {
		return nil, err
	}
	if err := catalog.ValidateNewSnapshot(s, e.deps.Catalog); err != nil {
		return nil, badRequestFrom(err)
	}
	return e.resultTable(ctx, e.deps.Editor.PublishSnapshot(ctx, s, author, dryRun))
}

// readService reads a service from the store. A service that was dropped is
// refused as unknown.
// readService reads a service from the store. It refuses a dropped service as
// unknown.
func (e *Executor) readService(ctx context.Context, name string) (catalog.Stored, error) {
	s, err := e.deps.Editor.Read(ctx, name)
	switch {
	case errors.Is(err, objstore.ErrNotFound), err == nil && s.Service.Dropped:
		return s, refusal(query.ReasonUnknownService, outcome.NotSent, Error.New("there is no service %q", name))
	case err != nil:
		return s, platformUnavailable(err)
	}
	return s, nil
}

func (e *Executor) change(ctx context.Context, r catalog.Request) (*Table, error) {
	if err := validateRequest(r); err != nil {
		return nil, err
	}
	return e.resultTable(ctx, e.deps.Editor.Change(ctx, r))
}

// validateRequest checks the new state of a service; a drop has none.
// validateRequest checks the new definition of a service; a drop has none.
func validateRequest(r catalog.Request) error {
	if r.Verb == catalog.Drop {
		return nil
	}
	if err := catalog.ValidateService(r.Service); err != nil {
		return badRequestFrom(err)
	}
	return nil
}

// resultTable converts the result of a change to a table, or to a refusal whose
// outcome says whether the change was applied.
func (e *Executor) resultTable(ctx context.Context, r catalog.Result) (*Table, error) {
	if err := resultError(r); err != nil {
		return nil, err
	}
	if r.Status == catalog.Possible {
		return dryRunTable(r), nil
	}
	t := newTable("object", "status", "version", "revision", "change")
	t.addRow(r.Kind+" "+r.Name, string(r.Status), formatNonzero(r.Version), formatRevision(r.Revision), r.ChangeID)
	if r.Revision == 0 {
		t.addNote("accepted; later changes hide the revision, \"show config\" tells what is in force")
		return t, nil
	}
	t.addNote("accepted at version %d; %s", r.Version, describeInForce(e.deps.Catalog.InForce(ctx, r.Revision)))
	return t, nil
}

// dryRunTable lists the fields that the change would set, with their present
// and new values.
func dryRunTable(r catalog.Result) *Table {
	t := newTable("field", "now", "then")
	for _, d := range r.Changes {
		t.addRow(d.Path, d.Current, d.Wanted)
	}
	t.addNote("dry run: %s %s would be accepted, and nothing was written", r.Kind, r.Name)
	return t
}

// resultError returns the refusal of a change that was not accepted, and nil for
// one that was accepted or, in a dry run, would be.
func resultError(r catalog.Result) error {
	problems := strings.Join(r.Problems, "; ")
	switch {
	case r.Status == catalog.Accepted, r.Status == catalog.Possible:
		return nil
	case r.Status == catalog.Unknown:
		return refusal(query.ReasonUnsettled, outcome.Unknown,
			Error.New("%s %s, change %s: %s; look at the object before trying again", r.Kind, r.Name, r.ChangeID, problems))
	case r.Lost != nil:
		return refusal(query.ReasonConflict, outcome.Rejected, Error.New("%s; %s", problems, describeLostRace(r.Lost)))
	}
	return refusal(query.ReasonPlatform, outcome.NotSent, Error.New("%s", problems))
}

// describeLostRace describes the concurrent change that was written first: its
// author, its time and the fields in which it differs from this change.
func describeLostRace(l *catalog.LostRace) string {
	if l.Version == 0 {
		return "nothing stands under that name"
	}
	winner := fmt.Sprintf("version %d was written by %s at %s", l.Version, operatorLabel(l.Winner.Operator), l.Changed.UTC().Format(time.RFC3339))
	if l.Winner.Reason != "" {
		winner += " (" + l.Winner.Reason + ")"
	}
	if l.Winner.ID != "" {
		winner += ", change " + l.Winner.ID
	}
	var differences []string
	for _, d := range l.Differs {
		differences = append(differences, fmt.Sprintf("%s stands at %s, this change wanted %s", d.Path, d.Current, d.Wanted))
	}
	if len(differences) == 0 {
		return winner + "; it differs in nothing from this change"
	}
	return winner + "; it differs in: " + strings.Join(differences, ", ")
}

func operatorLabel(operator string) string {
	if operator == "" {
		return "an unnamed operator"
	}
	return operator
}

// maxDrainTries bounds how often a drain is tried when concurrent changes keep
// invalidating the version that it read. Retrying is safe, as a drain doesn't
// depend on the service's other fields.
const maxDrainTries = 4

// statusUnchanged is the status of a drain of a target that is drained already,
// and of an undrain of one that isn't; nothing is written for it.
const statusUnchanged catalog.Status = "unchanged"

// drain sets or clears the drained flag of a target in the named service, or, if
// service is empty, in every service in force that has the target.
func (e *Executor) drain(ctx context.Context, author catalog.Author, target, service string, drained, dryRun bool) (*Table, error) {
	services := e.servicesWithTarget(target, service)
	if len(services) == 0 {
		return nil, refusal(query.ReasonUnknownService, outcome.NotSent, Error.New("no service in force here has target %q", target))
	}
	t := newTable("service", "target", "drained", "status", "version", "revision", "change")
	var failures []error
	for _, name := range services {
		r, err := e.drainInService(ctx, author, target, name, drained, dryRun)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		t.addRow(name, target, formatBool(drained), string(r.Status), formatNonzero(r.Version), formatRevision(r.Revision), r.ChangeID)
		if r.Revision > 0 {
			t.addNote("%s: %s", name, describeInForce(e.deps.Catalog.InForce(ctx, r.Revision)))
		}
	}
	if len(failures) > 0 {
		return nil, partialFailure(t, failures)
	}
	if dryRun {
		t.addNote("dry run: nothing was written")
	}
	return t, nil
}

// servicesWithTarget returns the names of the services in force that have the
// target, restricted to the named service unless it is empty.
func (e *Executor) servicesWithTarget(target, service string) []string {
	var names []string
	for _, s := range e.deps.Catalog.Services() {
		has := slices.ContainsFunc(s.Targets, func(t catalog.Target) bool { return t.ID == target })
		if has && (service == "" || service == s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

// drainInService drains or undrains the target in one service. It reads the
// service again after losing a race with another change.
func (e *Executor) drainInService(ctx context.Context, author catalog.Author, target, service string, drained, dryRun bool) (catalog.Result, error) {
	var r catalog.Result
	for range maxDrainTries {
		stored, err := e.readService(ctx, service)
		if err != nil {
			return r, err
		}
		s, changed, err := withDrained(stored.Service, target, drained)
		if err != nil {
			return r, err
		}
		if !changed {
			return catalog.Result{Status: statusUnchanged, Version: stored.Version, Revision: stored.Revision}, nil
		}
		r = e.deps.Editor.Change(ctx, catalog.Request{
			Verb: catalog.Alter, Service: s, Version: stored.Version, DryRun: dryRun, Author: author,
		})
		if r.Lost == nil {
			break
		}
	}
	return r, resultError(r)
}

// withDrained returns a copy of the service with the target's drained flag set,
// and whether that changes it.
func withDrained(s catalog.Service, target string, drained bool) (catalog.Service, bool, error) {
	i := slices.IndexFunc(s.Targets, func(t catalog.Target) bool { return t.ID == target })
	if i < 0 {
		return s, false, refusal(query.ReasonConflict, outcome.NotSent, Error.New("service %s has no target %q any more", s.Name, target))
	}
	changed := s.Targets[i].Drained != drained
	s.Targets = slices.Clone(s.Targets)
	s.Targets[i].Drained = drained
	return s, changed, nil
}

// partialFailure returns the refusal of a drain that failed in some services. Its
// detail lists the failures and the services in which the drain succeeded; its
// outcome is combined as that of a request whose attempts had these outcomes.
func partialFailure(succeeded *Table, failures []error) error {
	combined := outcome.NotSent
	details := make([]string, 0, len(failures))
	reason := query.ReasonConflict
	for _, err := range failures {
		var r *query.Refusal
		if errors.As(err, &r) {
			combined, reason = outcome.Combine(combined, r.Outcome), r.Reason
			details = append(details, r.Detail)
		}
	}
	for _, row := range succeeded.Rows {
		combined = outcome.Combine(combined, outcome.Failed)
		details = append(details, "done in service "+row[0])
	}
	return refusal(reason, combined, Error.New("%s", strings.Join(details, "; ")))
}
