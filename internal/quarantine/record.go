package quarantine

import (
	"slices"
	"time"
)

// Record is what is held against the requests of one key, as hosts tell it each other. Its
// times are those of the host that has it.
type Record struct {
	Key     Key
	Strikes []Strike
	Cleared []uint64 // ids of strikes that do not count any more
}

// Until returns when a quarantine by the record ends, of which the first lasts for hold; the zero time
// if there is none.
func (r Record) Until(hold time.Duration) time.Time {
	s := newSuspect(r.Key)
	s.strikes = r.Strikes
	return s.quarantinedUntil(hold)
}

// newest returns when the newest strike was.
func (r Record) newest() time.Time {
	var at time.Time
	for _, s := range r.Strikes {
		if s.At.After(at) {
			at = s.At
		}
	}
	return at
}

// record returns a copy of what is held against a key.
func (e *entry) record(k Key) Record {
	return Record{Key: k, Strikes: slices.Clone(e.strikes), Cleared: slices.Clone(e.cleared)}
}

// Known returns what is known of a request: what is held against it, and what was cleared lately.
func (t *Table) Known(r Request) []Record {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Record
	for _, k := range r.keys() {
		if e := t.suspects[k]; e != nil {
			all = append(all, e.record(k))
		}
	}
	return all
}

// Merge takes what other hosts hold. Strikes add up, whatever the order in which they
// come; what was cleared stays so.
func (t *Table) Merge(records []Record) {
	now := t.clock.Now()
	t.mu.Lock()
	changed := false
	for _, r := range records {
		changed = t.merge(r, now) || changed
	}
	t.mu.Unlock()
	if changed {
		t.tell()
	}
}

// merge takes one record, and reports whether that changed anything. The caller holds the
// lock.
func (t *Table) merge(r Record, now time.Time) bool {
	_, known := t.suspects[r.Key]
	// What was cleared is kept also if the strikes were never heard of: a host that was not told yet
	// may tell them next, and the request would be kept from targets again.
	if !known && len(r.Strikes) == 0 && len(r.Cleared) == 0 {
		return false
	}
	e := t.entry(r.Key)
	before := e.stance(now, t.hold)
	changed := e.clear(now, r.Cleared...)
	for _, s := range r.Strikes {
		if s.At.After(now) {
			s.At = now // the clock of the host that wrote it to the store is ahead
		}
		changed = e.add(s) || changed
	}
	if changed {
		t.renumber(e)
		t.wake()
	}
	if e.stance(now, t.hold) == Quarantined {
		t.noteQuarantined(r.Key, e, before, "other hosts")
	}
	return changed
}

// knownOf returns what is known of a key; false if nothing is.
func (t *Table) knownOf(k Key) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.suspects[k]; e != nil {
		return e.record(k), true
	}
	return Record{}, false
}

// Since returns what changed after a mark for other hosts: all there is after a mark of
// another process. The second result is the mark of the newest change.
func (t *Table) Since(m Mark) ([]Record, Mark) {
	if t == nil {
		return nil, Mark{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Epoch != t.epoch {
		m.Number = 0
	}
	newest := Mark{Epoch: t.epoch, Number: t.number}
	if m.Number == t.number {
		return nil, newest
	}
	var all []Record
	for k, e := range t.suspects {
		if e.number > m.Number {
			all = append(all, e.record(k))
		}
	}
	return all, newest
}
