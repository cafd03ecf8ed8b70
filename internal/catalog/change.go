package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// maxPreviousChanges is the number of earlier change ids stored in an object, by which a
// change is still recognized after others have followed it.
const maxPreviousChanges = 8

// Editor makes operators' changes to the configuration. Every change is one
// conditional write of one object.
type Editor struct {
	cfg     Config
	store   objstore.Store
	view    View
	log     *event.Log
	changes *prometheus.CounterVec
}

// NewEditor returns an editor that validates snapshots against the
// configuration of the catalog.
func NewEditor(c *Catalog) *Editor {
	return &Editor{cfg: c.cfg, store: c.store, view: c, log: c.log, changes: c.metrics.changes}
}

// Stored is a service as stored in the platform, without defaults filled in.
type Stored struct {
	Service  Service
	Version  uint64    // to be sent with a change
	Revision uint64    // ordinal of the object's revision
	Changed  time.Time // by the platform's clock
}

// Read reads a service from the platform. A dropped service is returned with
// Dropped set; objstore.ErrNotFound means that it never existed.
func (e *Editor) Read(ctx context.Context, name string) (Stored, error) {
	o, err := e.store.Get(ctx, objstore.KindService, name)
	if err != nil {
		return Stored{}, Error.New("read service %q: %w", name, err)
	}
	s, err := readService(o)
	if err != nil {
		return Stored{}, err
	}
	return Stored{Service: *s, Version: o.Version, Revision: o.At().Ordinal(), Changed: o.Changed}, nil
}

// Change makes an operator's change of a service and returns its result. The
// change is refused unless the service's current version is the one that the
// operator read. If the response to the write is lost, the object is read back
// until ctx ends or the change timeout expires; only then the result is Unknown.
func (e *Editor) Change(ctx context.Context, req Request) Result {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ChangeTimeout.Std())
	defer cancel()
	r := Result{Kind: objstore.KindService, Name: req.Service.Name, ChangeID: ulid.Make().String()}
	return e.report(req.Author, e.change(ctx, req, r))
}

func (e *Editor) change(ctx context.Context, req Request, r Result) Result {
	if req.Verb != Drop {
		if err := ValidateService(req.Service); err != nil {
			return r.refused(err)
		}
	}
	current, err := e.current(ctx, objstore.KindService, req.Service.Name)
	if err != nil {
		return r.refused(Error.New("nothing was written, as the platform can't be read: %w", err))
	}
	value, r, ok := e.prepare(req, current, r)
	if !ok {
		return r
	}
	if req.DryRun {
		r.Status, r.Changes = Possible, diffJSON(current.Value, value)
		return r
	}
	w := write{kind: r.Kind, name: r.Name, version: current.Version, value: value, changeID: r.ChangeID}
	return e.put(ctx, w, r)
}

// prepare validates the request against the current object. It returns the
// value to write and true, or a refused result and false.
func (e *Editor) prepare(req Request, current objstore.Object, r Result) ([]byte, Result, bool) {
	live := current.Version > 0 && !isDropped(current)
	wanted := req.Service
	if req.Verb == Drop {
		wanted = droppedService(req.Service.Name, current)
	}
	wanted.Dropped = req.Verb == Drop
	wanted.Change = nextChange(r.ChangeID, req.Author, current)
	value, err := json.Marshal(wanted)
	switch {
	case err != nil:
		return nil, r.refused(Error.New("encode: %w", err)), false
	case req.Verb == Create && live:
		return nil, r.withLostRace(current, value).refused(Error.New("service %q exists", r.Name)), false
	case req.Verb == Create:
		return value, r, true
	case req.Verb != Alter && req.Verb != Drop:
		return nil, r.refused(Error.New("%q is not a change", req.Verb)), false
	case !live:
		return nil, r.withLostRace(current, value).refused(Error.New("there is no service %q", r.Name)), false
	case req.Version != current.Version:
		problem := Error.New("service %q stands at version %d, not %d", r.Name, current.Version, req.Version)
		return nil, r.withLostRace(current, value).refused(problem), false
	}
	return value, r, true
}

// droppedService returns the service that a drop writes: the current one, or only
// its name if the current one can't be decoded.
func droppedService(name string, current objstore.Object) Service {
	if s, err := readService(current); err == nil {
		return *s
	}
	return Service{Name: name}
}

func isDropped(o objstore.Object) bool {
	var s Service
	return json.Unmarshal(o.Value, &s) == nil && s.Dropped
}

// current reads the object from the platform; its version is 0 if it does not exist.
func (e *Editor) current(ctx context.Context, kind, name string) (objstore.Object, error) {
	o, err := e.store.Get(ctx, kind, name)
	if errors.Is(err, objstore.ErrNotFound) {
		return objstore.Object{Kind: kind, Name: name}, nil
	}
	return o, err
}

// nextChange returns the change that follows the one that wrote the current object.
func nextChange(id string, author Author, current objstore.Object) Change {
	before := changeOf(current)
	c := Change{ID: id, Operator: author.Operator, Reason: author.Reason}
	if current.Version > 0 {
		c.Previous = append([]string{before.ID}, before.Previous...)
		c.Previous = c.Previous[:min(maxPreviousChanges, len(c.Previous))]
	}
	return c
}

// changeOf returns the change that wrote an object; empty if the object contains none.
func changeOf(o objstore.Object) Change {
	var v struct {
		Change Change `json:"change"`
	}
	if json.Unmarshal(o.Value, &v) != nil {
		return Change{}
	}
	return v.Change
}

// report counts and logs the result of a change.
func (e *Editor) report(author Author, r Result) Result {
	e.changes.WithLabelValues(string(r.Status)).Inc()
	ev := evChangeRefused
	switch r.Status {
	case Possible:
		return r
	case Accepted:
		ev = evChangeAccepted
	case Unknown:
		ev = evChangeUnknown
	}
	line := e.log.Event(ev).Str("kind", r.Kind).Str("object", r.Name).Str("change", r.ChangeID).Str("operator", author.Operator)
	if r.Status == Accepted {
		line.Str("reason", author.Reason).Uint64("version", r.Version).Stringer("revision", revision.FromOrdinal(r.Revision)).Msg("")
		return r
	}
	line.Strs("error", r.Problems).Msg("")
	return r
}
