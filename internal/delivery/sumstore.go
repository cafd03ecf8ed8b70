package delivery

import (
	"context"
	"errors"
	"strings"

	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// write writes the parts of a sum and then its index, from which it counts.
func (c *Compactor) write(ctx context.Context, s *sum) error {
	s.finish()
	name := s.index.name()
	records, err := encodeChunks(s.records, func(r []Record) proto.Message {
		return &deliverypb.RecordPart{Records: recordMessages(r)}
	})
	if err != nil {
		return Error.New("encode records of sum %s: %w", name, err)
	}
	rows, err := encodeChunks(s.timedKeys(), s.part)
	if err != nil {
		return Error.New("encode rows of sum %s: %w", name, err)
	}
	if len(records) > 0 {
		s.index.Records = append(s.index.Records, recordSet{Name: name, Parts: len(records)})
	}
	s.index.Parts = len(rows)
	if err := c.putParts(ctx, objstore.KindRecord, name, records); err != nil {
		return err
	}
	if err := c.putParts(ctx, s.index.partKind(), name, rows); err != nil {
		return err
	}
	head, err := encode(s.index.message())
	if err != nil {
		return Error.New("encode index of sum %s: %w", name, err)
	}
	return c.put(ctx, s.index.kind(), name, head)
}

func (c *Compactor) putParts(ctx context.Context, kind, name string, values [][]byte) error {
	for i, value := range values {
		if err := c.put(ctx, kind, partName(name, i), value); err != nil {
			return err
		}
	}
	return nil
}

// put creates an object. If it exists with the same value, that is no error; an
// index with another value is another host's sum and stays. A part with another
// value is left from a round that was cut short, and is replaced.
func (c *Compactor) put(ctx context.Context, kind, name string, value []byte) error {
	var version uint64
	for {
		err := c.call(ctx, func(ctx context.Context) error {
			_, err := c.store.Put(ctx, kind, name, version, value)
			return err
		})
		var conflict *objstore.Conflict
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &conflict):
			return Error.New("write %s/%s: %w", kind, name, err)
		case sameValue(conflict.Current.Value, value):
			return nil
		case strings.HasPrefix(kind, kindIndex):
			return Error.New("index %s was written by another host", name)
		case conflict.Current.Version == version:
			return Error.New("write %s/%s: %w", kind, name, err)
		}
		version = conflict.Current.Version
	}
}

// removeSum removes a sum that no report reads any more, its index last, so
// that the next round finishes one that was cut short. Records go only when their
// time is over, as a coarser sum names them too.
func (c *Compactor) removeSum(ctx context.Context, x *index, withRecords bool) error {
	for i := range x.Parts {
		if err := c.remove(ctx, x.partKind(), partName(x.name(), i), 1); err != nil {
			return err
		}
	}
	if withRecords {
		if err := c.removeRecords(ctx, x.Records); err != nil {
			return err
		}
	}
	return c.remove(ctx, x.kind(), x.name(), x.version)
}

func (c *Compactor) removeRecords(ctx context.Context, sets []recordSet) error {
	for _, set := range sets {
		for i := range set.Parts {
			if err := c.remove(ctx, objstore.KindRecord, partName(set.Name, i), 1); err != nil {
				return err
			}
		}
	}
	return nil
}

// remove deletes an object at the version, or at its current one if that is
// another. An object that is gone already is no error. Removals keep to the share of the platform's writes that
// all hosts have for windows, as one host makes them for all.
func (c *Compactor) remove(ctx context.Context, kind, name string, version uint64) error {
	if err := c.pace.Wait(ctx); err != nil {
		return Error.New("wait to delete %s/%s: %w", kind, name, err)
	}
	for {
		err := c.call(ctx, func(ctx context.Context) error { return c.store.Delete(ctx, kind, name, version) })
		var conflict *objstore.Conflict
		switch {
		case err == nil, errors.Is(err, objstore.ErrNotFound):
			return nil
		case errors.As(err, &conflict) && conflict.Current.Version == 0:
			return nil
		case errors.As(err, &conflict) && conflict.Current.Version != version:
			version = conflict.Current.Version
		default:
			return Error.New("delete %s/%s: %w", kind, name, err)
		}
	}
}

// errRestored means that the platform came back from an older copy while a round went on: it may lack the sum whose windows
// the round is about to remove.
var errRestored = errors.New("the platform came back from an older copy within the round")

// call makes one call of a round to the platform within the write timeout.
func (c *Compactor) call(ctx context.Context, f func(context.Context) error) error {
	if c.store.Era() != c.era {
		return Error.Wrap(errRestored)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.WriteTimeout.Std())
	defer cancel()
	return f(ctx)
}
