package warmup

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// Error is the class of this package's errors.
var Error = errs.Class("warmup")

// errInvalidPermit means that an object in the store is not a permit that a host wrote.
var errInvalidPermit = errors.New("want the target's id, at least one host and at least one request")

// storedPermit is the encoding of a permit in the store.
type storedPermit struct {
	Target string   `json:"target"`
	Hosts  []string `json:"hosts"`
	Each   int      `json:"each"`
}

// permit decodes the permit, which the store returned in an era.
func (s storedPermit) permit(era uint64) discovery.Permit {
	return discovery.Permit{Target: s.Target, Hosts: s.Hosts, Each: s.Each, Era: era}
}

// write writes a permit unless its target has one, and returns the stored one.
func write(ctx context.Context, store objstore.Store, p discovery.Permit) (discovery.Permit, error) {
	value, err := json.Marshal(storedPermit{Target: p.Target, Hosts: p.Hosts, Each: p.Each})
	if err != nil {
		return discovery.Permit{}, Error.Wrap(err)
	}
	o, err := store.Put(ctx, objstore.KindPermit, p.Target, 0, value)
	var conflict *objstore.Conflict
	if errors.As(err, &conflict) && conflict.Current.Version > 0 {
		return decode(p.Target, conflict.Current)
	}
	if err != nil {
		return discovery.Permit{}, Error.New("write permit of %s: %w", p.Target, err)
	}
	p.Era = o.Era
	return p, nil
}

// decode decodes and validates the permit of a target.
func decode(target string, o objstore.Object) (discovery.Permit, error) {
	var s storedPermit
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return discovery.Permit{}, Error.New("decode permit of %s: %w", target, err)
	}
	if s.Target != target || len(s.Hosts) == 0 || s.Each < 1 {
		return discovery.Permit{}, Error.New("permit of %s: %w", target, errInvalidPermit)
	}
	return s.permit(o.Era), nil
}
