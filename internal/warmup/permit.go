// Package warmup divides what cold targets bear among the hosts. A cold target falls over at more than a few
// requests a second from all hosts together, and no host knows what the others send. So each target gets one
// permit, which names some hosts and what each may send in any second; it is written to the store once, under a
// condition, and never changed. Whatever a host believes of the others, the sum stays. After the store came back from an older
// copy none is written until those that it may have lost count on no host.
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

// errForeign means that a permit in the store is not one that a host wrote.
var errForeign = errors.New("want a target's id, hosts, and 1 or more requests")

// stored is a permit as the store holds it.
type stored struct {
	Target string   `json:"target"`
	Hosts  []string `json:"hosts"`
	Each   int      `json:"each"`
}

// permit returns the permit of an era.
func (s stored) permit(era uint64) discovery.Permit {
	return discovery.Permit{Target: s.Target, Hosts: s.Hosts, Each: s.Each, Era: era}
}

// write writes a permit, unless its target has one. It returns the one that stands.
func write(ctx context.Context, store objstore.Store, p discovery.Permit) (discovery.Permit, error) {
	value, err := json.Marshal(stored{Target: p.Target, Hosts: p.Hosts, Each: p.Each})
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

// decode reads the permit of a target.
func decode(target string, o objstore.Object) (discovery.Permit, error) {
	var s stored
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return discovery.Permit{}, Error.New("decode permit of %s: %w", target, err)
	}
	if s.Target != target || len(s.Hosts) == 0 || s.Each < 1 {
		return discovery.Permit{}, Error.New("permit of %s: %w", target, errForeign)
	}
	return s.permit(o.Era), nil
}
