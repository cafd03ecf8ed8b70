package delivery

import (
	"context"
	"errors"
	"strings"

	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// writeAggregate writes the parts of an aggregate and then its index, which
// makes the aggregate count.
func (c *Compactor) writeAggregate(ctx context.Context, s *aggregate) error {
	s.finish()
	name := s.index.name()
	records, err := encodeChunks(s.records, func(r []Record) proto.Message {
		return &deliverypb.RecordPart{Records: recordMessages(r)}
	})
	if err != nil {
		return Error.New("encode records of aggregate %s: %w", name, err)
	}
	rows, err := encodeChunks(s.timedKeys(), s.part)
	if err != nil {
		return Error.New("encode rows of aggregate %s: %w", name, err)
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
		return Error.New("encode index of aggregate %s: %w", name, err)
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

// put creates an object. An existing object with the same value is not an
// error. An existing index with another value is the aggregate of another host
// and is not replaced. An existing part with another value was left by an
// interrupted round and is replaced.
func (c *Compactor) put(ctx context.Context, kind, name string, value []byte) error {
	var version uint64
	for {
		err := c.callPlatform(ctx, func(ctx context.Context) error {
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
			return Error.New("write index %s: another host has written a different one", name)
		case conflict.Current.Version == version:
			return Error.New("write %s/%s: %w", kind, name, err)
		}
		version = conflict.Current.Version
	}
}

// removeAggregate removes an aggregate that reports no longer read. The index
// is removed last, so that the next round completes an interrupted removal.
// Records are removed only at the end of retention, because coarser aggregates
// refer to them too.
func (c *Compactor) removeAggregate(ctx context.Context, x *index, withRecords bool) error {
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

// remove deletes an object at the given version, or at its current version if
// that differs. An object that does not exist is not an error. Removals are
// rate limited to a share of the platform's writes for windows, as one host
// makes the removals for all hosts.
func (c *Compactor) remove(ctx context.Context, kind, name string, version uint64) error {
	if err := c.removalLimiter.Wait(ctx); err != nil {
		return Error.New("wait to delete %s/%s: %w", kind, name, err)
	}
	for {
		err := c.callPlatform(ctx, func(ctx context.Context) error { return c.store.Delete(ctx, kind, name, version) })
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

// errRestored means that the platform was restored from an older copy during a
// round. The copy may lack the aggregate whose windows the round is about to
// remove.
var errRestored = errors.New("the platform was restored from an older copy during the compaction round")

// callPlatform makes one platform call of a round within WriteTimeout. It fails
// if the platform's era has changed since the round started.
func (c *Compactor) callPlatform(ctx context.Context, f func(context.Context) error) error {
	if c.store.Era() != c.era {
		return Error.Wrap(errRestored)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.WriteTimeout.Std())
	defer cancel()
	return f(ctx)
}
