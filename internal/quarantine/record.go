package quarantine

import (
	"slices"
	"time"
)

// sameTime is within which two times told by different hosts are taken to be one: they
// travel as ages, which the way makes longer.
const sameTime = time.Second

// Record is what is held against the requests of one key, as hosts tell it each other. Its
// times are those of the host that has it.
type Record struct {
	Key     Key
	Strikes []Strike
	Cleared time.Time // strikes from before do not count; zero: none was cleared
}

// record returns a copy of what is held against a key.
func (e *entry) record(k Key) Record {
	return Record{Key: k, Strikes: slices.Clone(e.strikes), Cleared: e.cleared}
}

// Record returns what is held against a request; false if it is nothing.
func (t *Table) Record(k Key) (Record, bool) {
	if t.Empty() {
		return Record{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.suspects[k]
	if e == nil || len(e.strikes) == 0 {
		return Record{}, false
	}
	return e.record(k), true
}

// Merge takes what other hosts hold. Strikes add up, whatever the order in which they
// come; what was cleared stays so.
func (t *Table) Merge(records []Record) {
	now := time.Now()
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
	if !known && len(r.Strikes) == 0 {
		return false
	}
	e := t.entry(r.Key)
	before := e.stance(now, t.hold)
	changed := r.Cleared.Sub(e.cleared) > sameTime
	if changed {
		e.suspect.clear(r.Cleared)
	}
	for _, s := range r.Strikes {
		changed = e.add(s) || changed
	}
	if changed {
		t.renumber(e)
		e.wake()
	}
	if before != Quarantined && e.stance(now, t.hold) == Quarantined {
		t.logQuarantined(r.Key, e, "other hosts")
	}
	return changed
}

// known returns what is known of a key, also if nothing is held against it any more.
func (t *Table) known(k Key) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.suspects[k]; e != nil {
		return e.record(k)
	}
	return Record{Key: k, Cleared: time.Now()} // it was cleared before anybody had heard of it
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
