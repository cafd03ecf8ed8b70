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

func (e *Executor) create(ctx context.Context, by catalog.Author, c lang.CreateService, dryRun bool) (*Table, error) {
	s, err := newService(c)
	if err != nil {
		return nil, err
	}
	return e.change(ctx, catalog.Request{Verb: catalog.Create, Service: s, DryRun: dryRun, Author: by})
}

// newService returns the service that a create statement describes.
func newService(c lang.CreateService) (catalog.Service, error) {
	s := catalog.Service{Name: c.Name}
	if len(c.Set) > 0 {
		return assign(s, c.Set)
	}
	if err := decodeStrict(c.JSON, &s); err != nil {
		return s, err
	}
	if s.Name != c.Name {
		return s, badRequest("the JSON names service %q, the statement %q", s.Name, c.Name)
	}
	return s, nil
}

func (e *Executor) alter(ctx context.Context, by catalog.Author, a lang.AlterService, dryRun bool) (*Table, error) {
	stored, err := e.read(ctx, a.Name)
	if err != nil {
		return nil, err
	}
	s, err := assign(stored.Service, a.Set)
	if err != nil {
		return nil, err
	}
	return e.change(ctx, catalog.Request{Verb: catalog.Alter, Service: s, Version: a.Version, DryRun: dryRun, Author: by})
}

func (e *Executor) drop(ctx context.Context, by catalog.Author, d lang.DropService, dryRun bool) (*Table, error) {
	return e.change(ctx, catalog.Request{
		Verb: catalog.Drop, Service: catalog.Service{Name: d.Name}, Version: d.Version, DryRun: dryRun, Author: by,
	})
}

func (e *Executor) publish(ctx context.Context, by catalog.Author, p lang.PublishSnapshot, dryRun bool) (*Table, error) {
	var s catalog.Snapshot
	if err := decodeStrict(p.JSON, &s); err != nil {
		return nil, err
	}
	if err := catalog.ValidateNewSnapshot(s, e.parts.Catalog); err != nil {
		return nil, badRequestFrom(err)
	}
	return e.changeTable(ctx, e.parts.Editor.PublishSnapshot(ctx, s, by, dryRun))
}

func (e *Executor) read(ctx context.Context, name string) (catalog.Stored, error) {
	s, err := e.parts.Editor.Read(ctx, name)
	switch {
	case errors.Is(err, objstore.ErrNotFound), err == nil && s.Service.Dropped:
		return s, refusal(query.ReasonUnknownService, outcome.NotSent, Error.New("there is no service %q", name))
	case err != nil:
		return s, platformUnavailable(err)
	}
	return s, nil
}

func (e *Executor) change(ctx context.Context, r catalog.Request) (*Table, error) {
	if err := validate(r); err != nil {
		return nil, err
	}
	return e.changeTable(ctx, e.parts.Editor.Change(ctx, r))
}

func validate(r catalog.Request) error {
	if r.Verb == catalog.Drop {
		return nil
	}
	if err := catalog.ValidateService(r.Service); err != nil {
		return badRequestFrom(err)
	}
	return nil
}

// changeTable turns the result of a change into a table, or into a refusal that
// tells truly whether it was made.
func (e *Executor) changeTable(ctx context.Context, r catalog.Result) (*Table, error) {
	if err := refusalOf(r); err != nil {
		return nil, err
	}
	if r.Status == catalog.Possible {
		return dryRunTable(r), nil
	}
	t := newTable("object", "status", "version", "revision", "change")
	t.add(r.Kind+" "+r.Name, string(r.Status), unlessZero(r.Version), revisionText(r.Revision), r.ChangeID)
	if r.Revision == 0 {
		t.note("accepted; later changes hide the revision, \"show config\" tells what is in force")
		return t, nil
	}
	t.note("accepted at version %d; %s", r.Version, describeInForce(e.parts.Catalog.InForce(ctx, r.Revision)))
	return t, nil
}

func dryRunTable(r catalog.Result) *Table {
	t := newTable("field", "now", "then")
	for _, d := range r.Changes {
		t.add(d.Path, d.Stands, d.Wanted)
	}
	t.note("dry run: %s %s would be accepted, and nothing was written", r.Kind, r.Name)
	return t
}

// refusalOf returns nil for what was accepted or would be.
func refusalOf(r catalog.Result) error {
	problems := strings.Join(r.Problems, "; ")
	switch {
	case r.Status == catalog.Accepted, r.Status == catalog.Possible:
		return nil
	case r.Status == catalog.Unknown:
		return refusal(query.ReasonUnsettled, outcome.Unknown,
			Error.New("%s %s, change %s: %s; look at the object before trying again", r.Kind, r.Name, r.ChangeID, problems))
	case r.Lost != nil:
		return refusal(query.ReasonConflict, outcome.Rejected, Error.New("%s; %s", problems, lostRace(r.Lost)))
	}
	return refusal(query.ReasonPlatform, outcome.NotSent, Error.New("%s", problems))
}

// lostRace describes who won, when, and what differs.
func lostRace(l *catalog.LostRace) string {
	if l.Version == 0 {
		return "nothing stands under that name"
	}
	who := fmt.Sprintf("version %d was written by %s at %s", l.Version, orUnknown(l.Winner.Operator), l.Changed.UTC().Format(time.RFC3339))
	if l.Winner.Reason != "" {
		who += " (" + l.Winner.Reason + ")"
	}
	if l.Winner.ID != "" {
		who += ", change " + l.Winner.ID
	}
	var differs []string
	for _, d := range l.Differs {
		differs = append(differs, fmt.Sprintf("%s stands at %s, this change wanted %s", d.Path, d.Stands, d.Wanted))
	}
	if len(differs) == 0 {
		return who + "; it differs in nothing from this change"
	}
	return who + "; it differs in: " + strings.Join(differs, ", ")
}

func orUnknown(operator string) string {
	if operator == "" {
		return "an unnamed operator"
	}
	return operator
}

// drainTries bounds how often a drain that lost a race reads the service again:
// to drain a target does not depend on the other fields.
const drainTries = 4

// statusUnchanged is the status of a drain or undrain that the target has
// already; nothing is written for it.
const statusUnchanged catalog.Status = "unchanged"

// drain takes a target out of use or into use again, in one service or in
// every one that has it.
func (e *Executor) drain(ctx context.Context, by catalog.Author, target, service string, drained, dryRun bool) (*Table, error) {
	services := e.servicesOf(target, service)
	if len(services) == 0 {
		return nil, refusal(query.ReasonUnknownService, outcome.NotSent, Error.New("no service in force here has target %q", target))
	}
	t := newTable("service", "target", "drained", "status", "version", "revision", "change")
	var failures []error
	for _, name := range services {
		r, err := e.drainIn(ctx, by, target, name, drained, dryRun)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		t.add(name, target, yesNo(drained), string(r.Status), unlessZero(r.Version), revisionText(r.Revision), r.ChangeID)
		if r.Revision > 0 {
			t.note("%s: %s", name, describeInForce(e.parts.Catalog.InForce(ctx, r.Revision)))
		}
	}
	if len(failures) > 0 {
		return nil, partialFailure(t, failures)
	}
	if dryRun {
		t.note("dry run: nothing was written")
	}
	return t, nil
}

func (e *Executor) servicesOf(target, service string) []string {
	var names []string
	for _, s := range e.parts.Catalog.Services() {
		has := slices.ContainsFunc(s.Targets, func(t catalog.Target) bool { return t.ID == target })
		if has && (service == "" || service == s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

func (e *Executor) drainIn(ctx context.Context, by catalog.Author, target, service string, drained, dryRun bool) (catalog.Result, error) {
	var r catalog.Result
	for range drainTries {
		stored, err := e.read(ctx, service)
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
		r = e.parts.Editor.Change(ctx, catalog.Request{
			Verb: catalog.Alter, Service: s, Version: stored.Version, DryRun: dryRun, Author: by,
		})
		if r.Lost == nil {
			break
		}
	}
	return r, refusalOf(r)
}

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

// partialFailure refuses a drain and tells in which services it was made and in
// which not. Its outcome is that of a request whose attempts had these outcomes.
func partialFailure(done *Table, failures []error) error {
	o := outcome.NotSent
	details := make([]string, 0, len(failures))
	reason := query.ReasonConflict
	for _, err := range failures {
		var r *query.Refusal
		if errors.As(err, &r) {
			o, reason = outcome.Combine(o, r.Outcome), r.Reason
			details = append(details, r.Detail)
		}
	}
	for _, row := range done.Rows {
		o = outcome.Combine(o, outcome.Failed)
		details = append(details, "done in service "+row[0])
	}
	return refusal(reason, o, Error.New("%s", strings.Join(details, "; ")))
}
