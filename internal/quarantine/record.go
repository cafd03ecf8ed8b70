package quarantine

import (
	"slices"
	"time"
)

// Record holds the strikes against the requests of one key, in the form that hosts exchange. Its
// times are by the clock of the host that has it.
type Record struct {
	Key     Key
	Strikes []Strike
	Cleared []uint64 // ids of strikes that no longer count
}

// Until returns when a quarantine by the record ends, where the first one lasts for hold; the zero
// time if there was none.
func (r Record) Until(hold time.Duration) time.Time {
	s := newSuspect(r.Key)
	s.strikes = r.Strikes
	return s.quarantinedUntil(hold)
}

// newestStrikeAt returns the time of the newest strike.
func (r Record) newestStrikeAt() time.Time {
	var at time.Time
	for _, s := range r.Strikes {
		if s.At.After(at) {
			at = s.At
		}
	}
	return at
}

// record returns a copy of the entry as a Record.
func (e *entry) record(k Key) Record {
	return Record{Key: k, Strikes: slices.Clone(e.strikes), Cleared: slices.Clone(e.cleared)}
}

// Known returns the records of a request, with strikes and recently cleared ones.
func (t *Table) Known(r Request) []Record {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for _, k := range r.keys() {
		if e := t.suspects[k]; e != nil {
			records = append(records, e.record(k))
		}
	}
	return records
}

// Merge adds the records of other hosts. The result does not depend on their order: strikes are
// united, and cleared ones stay cleared.
func (t *Table) Merge(records []Record) {
	now := t.clock.Now()
	t.mu.Lock()
	changed := false
	for _, r := range records {
		changed = t.merge(r, now) || changed
	}
	t.mu.Unlock()
	if changed {
		t.notifyFollowers()
	}
}

// merge adds one record, and reports whether it changed the table. The caller holds the lock.
func (t *Table) merge(r Record, now time.Time) bool {
	_, known := t.suspects[r.Key]
	// Cleared ids are kept even if their strikes were never received: a host that lacks the clear
	// may send the strikes next, and the request would be quarantined again.
	if !known && len(r.Strikes) == 0 && len(r.Cleared) == 0 {
		return false
	}
	e := t.entry(r.Key)
	before := e.status(now, t.hold)
	changed := e.clear(now, r.Cleared...)
	for _, s := range r.Strikes {
		if s.At.After(now) {
			s.At = now // the clock of the host that wrote the strike to the store is ahead
		}
		changed = e.add(s) || changed
	}
	if changed {
		t.renumber(e)
		t.notifyWaiters()
	}
	if e.status(now, t.hold) == Quarantined {
		t.noteQuarantined(r.Key, e, before, "other hosts")
	}
	return changed
}

// lookup returns the record of a key; false if there is none.
func (t *Table) lookup(k Key) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.suspects[k]; e != nil {
		return e.record(k), true
	}
	return Record{}, false
}

// Since returns the records that changed after a mark; all records if the mark is of another
// process. The second result is the mark of the newest change.
func (t *Table) Since(m Mark) ([]Record, Mark) {
	if t == nil {
		return nil, Mark{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Epoch != t.epoch {
		m.Number = 0
	}
	newest := Mark{Epoch: t.epoch, Number: t.lastNumber}
	if m.Number == t.lastNumber {
		return nil, newest
	}
	var all []Record
	for k, e := range t.suspects {
		if e.changeNumber > m.Number {
			all = append(all, e.record(k))
		}
	}
	return all, newest
}
