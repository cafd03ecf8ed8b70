package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// entry is a record as the platform holds it; version 0 is no record.
type entry struct {
	rec     Record
	version uint64
	changed time.Time // by the platform's clock
	era     uint64    // of the platform, in which this is what stands
}

// writeResult tells what is known of a conditional write.
type writeResult int

const (
	applied    writeResult = iota // the entry is the one written
	conflict                      // not applied; the entry is the current one
	notApplied                    // not applied, and nothing is known of the record
	ambiguous                     // it may have been applied, or may be later
)

// recordStore keeps one record per reservation in the platform. Writes are
// conditional on the record's version, which only grows.
type recordStore struct{ store objstore.Store }

// put writes rec if the record has the version; 0 creates it.
func (s recordStore) put(ctx context.Context, id reservationID, version uint64, rec Record) (entry, writeResult) {
	value, err := json.Marshal(rec)
	if err != nil {
		return entry{}, notApplied
	}
	obj, err := s.store.Put(ctx, id.kind(), id.String(), version, value)
	if err == nil {
		return entry{rec: rec, version: obj.Version, changed: obj.Changed, era: obj.Era}, applied
	}
	var con *objstore.Conflict
	if errors.As(err, &con) {
		e, _ := decode(con.Current) // a record that cannot be read has no phase, which examine answers with unknown
		return e, conflict
	}
	var un *objstore.Unavailable
	if errors.As(err, &un) {
		return entry{}, notApplied
	}
	return entry{}, ambiguous
}

// get returns the record; version 0 if there is none.
func (s recordStore) get(ctx context.Context, id reservationID) (entry, error) {
	obj, err := s.store.Get(ctx, id.kind(), id.String())
	if errors.Is(err, objstore.ErrNotFound) {
		return entry{}, nil
	}
	if err != nil {
		return entry{}, Error.New("read record: %w", err)
	}
	return decode(obj)
}

func decode(obj objstore.Object) (entry, error) {
	if obj.Version == 0 || obj.Deleted {
		return entry{}, nil
	}
	e := entry{version: obj.Version, changed: obj.Changed, era: obj.Era}
	if err := json.Unmarshal(obj.Value, &e.rec); err != nil {
		return entry{}, Error.New("record %s/%s: %w", obj.Kind, obj.Name, err)
	}
	return e, nil
}

// writtenAt returns when the record was written, by the platform's clock, or a
// little later.
func (c *Claims) writtenAt(e entry) time.Time {
	if now, known := c.store.Now(); known && now.After(e.changed) {
		return now
	}
	return e.changed
}
