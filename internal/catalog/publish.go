package catalog

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/oklog/ulid/v2"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// PublishSnapshot writes a new snapshot, which must match the services in force
// on this host. Its id must be above those of the workload's other snapshots,
// so that an id is never reused.
func (e *Editor) PublishSnapshot(ctx context.Context, s Snapshot, author Author, dryRun bool) Result {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ChangeTimeout.Std())
	defer cancel()
	r := Result{Kind: objstore.KindSnapshot, Name: s.ObjectName(), ChangeID: ulid.Make().String()}
	return e.report(author, e.publish(ctx, s, author, dryRun, r))
}

func (e *Editor) publish(ctx context.Context, s Snapshot, author Author, dryRun bool, r Result) Result {
	if err := ValidateNewSnapshot(s, e.view); err != nil {
		return r.refused(err)
	}
	s.Change = Change{ID: r.ChangeID, Operator: author.Operator, Reason: author.Reason}
	value, err := json.Marshal(s)
	if err != nil {
		return r.refused(Error.New("encode: %w", err))
	}
	if len(value) > objstore.MaxValue {
		return r.refused(Error.New("snapshot has %d bytes, the platform takes %d", len(value), objstore.MaxValue))
	}
	if dryRun {
		r.Status = Possible
		return r
	}
	return e.put(ctx, write{kind: r.Kind, name: r.Name, value: value, changeID: r.ChangeID}, r)
}

// RetireSnapshot deletes a snapshot. It refuses to delete the newest snapshot
// of a workload, since requests are answered from it, and one that does not
// exist. If another operator deletes it at the same time, the result is Accepted.
func (e *Editor) RetireSnapshot(ctx context.Context, workload string, id uint64, author Author, dryRun bool) Result {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ChangeTimeout.Std())
	defer cancel()
	name := Snapshot{Workload: workload, ID: id}.ObjectName()
	r := Result{Kind: objstore.KindSnapshot, Name: name, ChangeID: ulid.Make().String()}
	return e.report(author, e.retire(ctx, workload, id, dryRun, r))
}

func (e *Editor) retire(ctx context.Context, workload string, id uint64, dryRun bool, r Result) Result {
	if snapshots := e.view.Snapshots(workload); len(snapshots) > 0 && snapshots[0].ID == id {
		return r.refused(Error.New("snapshot %s is the newest of its workload; publish another one first", r.Name))
	}
	o, err := e.current(ctx, r.Kind, r.Name)
	switch {
	case err != nil:
		return r.refused(Error.New("nothing was deleted, as the platform can't be read: %w", err))
	case o.Version == 0:
		return r.refused(Error.New("there is no snapshot %s", r.Name))
	case dryRun:
		r.Status = Possible
		return r
	}
	return e.deleteSnapshot(ctx, o, r)
}

// deleteSnapshot deletes the object. If the response is lost, it reads the
// object back and retries while it exists. A snapshot is never changed, so one
// that no longer exists was deleted, by this call or by another one.
func (e *Editor) deleteSnapshot(ctx context.Context, o objstore.Object, r Result) Result {
	delay := newReadBackDelay()
	w := write{kind: o.Kind, name: o.Name, version: o.Version}
	answerLost := false
	for {
		err := e.store.Delete(ctx, o.Kind, o.Name, o.Version)
		var conflict *objstore.Conflict
		var unanswered *objstore.Unanswered
		switch {
		case err == nil, errors.Is(err, objstore.ErrNotFound):
			return e.acceptDeletion(ctx, o, r)
		case errors.As(err, &conflict) && conflict.Current.Version == 0:
			return e.acceptDeletion(ctx, o, r)
		case errors.As(err, &conflict) && answerLost:
			return r.unknown(Error.New("snapshot %s was written again", o.Name))
		case errors.As(err, &conflict):
			return r.withLostRace(conflict.Current, nil).refused(Error.New("snapshot %s was written again", o.Name))
		}
		answerLost = answerLost || errors.As(err, &unanswered)
		if !answerLost {
			return r.refused(Error.New("nothing was deleted: %w", err))
		}
		current, versionChanged, cause := e.readBack(ctx, w, delay)
		switch {
		case cause != nil:
			return r.unknown(err)
		case versionChanged && current.Version == 0:
			return e.acceptDeletion(ctx, o, r)
		}
	}
}

// acceptDeletion returns an accepted result, with the revision of the deletion
// if the platform still keeps that change.
func (e *Editor) acceptDeletion(ctx context.Context, o objstore.Object, r Result) Result {
	r.Status = Accepted
	l, err := e.store.Watch(ctx, o.At(), 0, o.Kind)
	if err != nil {
		return r
	}
	for _, c := range l.Objects {
		if c.Name == o.Name && c.Deleted {
			r.Version, r.Revision = c.Version, c.At().Ordinal()
		}
	}
	return r
}
