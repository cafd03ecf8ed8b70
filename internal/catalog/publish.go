package catalog

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/oklog/ulid/v2"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// PublishSnapshot writes a new snapshot, which must fit the services in force
// on this host. Its id must be above those of the workload's other snapshots,
// so that an id names one snapshot for good.
func (e *Editor) PublishSnapshot(ctx context.Context, s Snapshot, by Author, dryRun bool) Result {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ChangeTimeout.Std())
	defer cancel()
	r := Result{Kind: objstore.KindSnapshot, Name: s.ObjectName(), ChangeID: ulid.Make().String()}
	return e.record(by, e.publish(ctx, s, by, dryRun, r))
}

func (e *Editor) publish(ctx context.Context, s Snapshot, by Author, dryRun bool, r Result) Result {
	if err := ValidateNewSnapshot(s, e.view); err != nil {
		return r.refused(err)
	}
	s.Change = Change{ID: r.ChangeID, Operator: by.Operator, Reason: by.Reason}
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
	return e.put(ctx, write{kind: r.Kind, name: r.Name, value: value, id: r.ChangeID}, r)
}

// RetireSnapshot deletes a snapshot. The newest of a workload is refused,
// since requests are answered from it, and so is one that does not exist. One
// that another operator deletes meanwhile counts as accepted.
func (e *Editor) RetireSnapshot(ctx context.Context, workload string, id uint64, by Author, dryRun bool) Result {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ChangeTimeout.Std())
	defer cancel()
	name := Snapshot{Workload: workload, ID: id}.ObjectName()
	r := Result{Kind: objstore.KindSnapshot, Name: name, ChangeID: ulid.Make().String()}
	return e.record(by, e.retire(ctx, workload, id, dryRun, r))
}

func (e *Editor) retire(ctx context.Context, workload string, id uint64, dryRun bool, r Result) Result {
	if held := e.view.Snapshots(workload); len(held) > 0 && held[0].ID == id {
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
	return e.remove(ctx, o, r)
}

// remove deletes the object and settles an answer that is lost. A snapshot
// never changes, so one that is gone was deleted, if not by this call.
func (e *Editor) remove(ctx context.Context, o objstore.Object, r Result) Result {
	delay := newSettleDelay()
	w := write{kind: o.Kind, name: o.Name, version: o.Version}
	sent := false
	for {
		err := e.store.Delete(ctx, o.Kind, o.Name, o.Version)
		var conflict *objstore.Conflict
		var unanswered *objstore.Unanswered
		switch {
		case err == nil, errors.Is(err, objstore.ErrNotFound):
			return e.gone(ctx, o, r)
		case errors.As(err, &conflict) && conflict.Current.Version == 0:
			return e.gone(ctx, o, r)
		case errors.As(err, &conflict) && sent:
			return r.unknown(Error.New("snapshot %s was written again", o.Name))
		case errors.As(err, &conflict):
			return r.lost(conflict.Current, nil).refused(Error.New("snapshot %s was written again", o.Name))
		}
		sent = sent || errors.As(err, &unanswered)
		if !sent {
			return r.refused(Error.New("nothing was deleted: %w", err))
		}
		current, settled, cause := e.readBack(ctx, w, delay)
		switch {
		case cause != nil:
			return r.unknown(err)
		case settled && current.Version == 0:
			return e.gone(ctx, o, r)
		}
	}
}

// gone accepts a deletion and finds its revision, if the platform still knows.
func (e *Editor) gone(ctx context.Context, o objstore.Object, r Result) Result {
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
