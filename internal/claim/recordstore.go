package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
)

// entry is a record as stored in the platform. Version 0 means that there is no
// record.
type entry struct {
	rec     Record
	version uint64
	changed time.Time // by the platform's clock
	era     uint64    // the platform's era in which the entry was read or written
}

// writeResult is the result of a conditional write.
type writeResult int

const (
	applied    writeResult = iota // the entry is the one written
	conflict                      // not applied; the entry is the current one
	notApplied                    // not applied; the current entry is unknown
	ambiguous                     // the write may have been applied, or may still be
)

// recordStore stores one record per reservation in the platform. Writes are
// conditional on the record's version, which only increases.
type recordStore struct{ store objstore.Store }

// put writes rec if the stored record has the given version. Version 0 creates
// the record.
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
		e, _ := decode(con.Current) // an unreadable record has no phase, for which evaluateRecord returns unknown
		return e, conflict
	}
	var un *objstore.Unavailable
	if errors.As(err, &un) {
		return entry{}, notApplied
	}
	return entry{}, ambiguous
}

// get returns the record, with version 0 if there is none.
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

// writtenAt returns the time at which the entry was written, by the platform's
// clock, or a slightly later time.
func (c *Claims) writtenAt(e entry) time.Time {
	if now, known := c.store.Now(); known && now.After(e.changed) {
		return now
	}
	return e.changed
}
