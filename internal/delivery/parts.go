package delivery

import (
	"context"
	"errors"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// partReader reads the parts of aggregates: with one read per part, or with one
// list of a kind if many of its parts are needed.
type partReader struct {
	store  objstore.Store
	listed map[string]map[string][]byte // values by kind and name
}

// minPartsToList is the number of parts from which one list of a kind costs the
// platform less than one read per part.
const minPartsToList = 40

func newPartReader(ctx context.Context, store objstore.Store, wanted []*index) (*partReader, error) {
	r := &partReader{store: store, listed: map[string]map[string][]byte{}}
	parts := map[string]int{}
	for _, x := range wanted {
		parts[x.partKind()] += x.Parts
	}
	for kind, n := range parts {
		if n < minPartsToList {
			continue
		}
		if err := r.list(ctx, kind); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *partReader) list(ctx context.Context, kind string) error {
	l, err := r.store.List(ctx, kind)
	if err != nil {
		return Error.New("list %s: %w", kind, err)
	}
	r.listed[kind] = map[string][]byte{}
	for _, o := range l.Objects {
		r.listed[kind][o.Name] = o.Value
	}
	return nil
}

// errPartGone means that an aggregate was removed after its index was read: it
// was replaced by a coarser one, or was past retention.
var errPartGone = Error.New("a part of a sum is gone")

// part returns the value of a part.
func (r *partReader) part(ctx context.Context, kind, name string) ([]byte, error) {
	if listed, ok := r.listed[kind]; ok {
		value, ok := listed[name]
		if !ok {
			return nil, errPartGone
		}
		return value, nil
	}
	o, err := r.store.Get(ctx, kind, name)
	if errors.Is(err, objstore.ErrNotFound) {
		return nil, errPartGone
	}
	if err != nil {
		return nil, Error.New("read %s/%s: %w", kind, name, err)
	}
	return o.Value, nil
}

// rows calls visit for each slot's rows in the parts of an aggregate.
func (r *partReader) rows(ctx context.Context, x *index, visit func(timedRows)) error {
	for i := range x.Parts {
		value, err := r.part(ctx, x.partKind(), partName(x.name(), i))
		if err != nil {
			return err
		}
		if err := eachSlot(value, visit); err != nil {
			return Error.New("read %s/%s: %w", x.partKind(), partName(x.name(), i), err)
		}
	}
	return nil
}

// eachSlot calls visit for each slot's rows in a part.
func eachSlot(value []byte, visit func(timedRows)) error {
	m := &deliverypb.RowPart{}
	if err := decode(value, m); err != nil {
		return err
	}
	for _, slot := range m.GetSlots() {
		if err := checkRows(slot.GetRows()); err != nil {
			return err
		}
		visit(timedRows{end: fromMillis(slot.GetEndMs()), rows: slot.GetRows()})
	}
	return nil
}

// records returns the individual records of an aggregate.
func (r *partReader) records(ctx context.Context, x *index) ([]Record, error) {
	var all []Record
	for _, set := range x.Records {
		for i := range set.Parts {
			value, err := r.part(ctx, objstore.KindRecord, partName(set.Name, i))
			if err != nil {
				return nil, err
			}
			m := &deliverypb.RecordPart{}
			if err := decode(value, m); err != nil {
				return nil, Error.New("read %s/%s: %w", objstore.KindRecord, partName(set.Name, i), err)
			}
			all = append(all, recordsOf(m.GetRecords())...)
		}
	}
	return all, nil
}
