package member

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// updates returns at most n host records for a message to the host receiver:
// first what is held against that host, so that it can refute; then the
// changes sent least; then others in turn, so that tables that differ for any
// reason come together without ever being sent whole.
func (t *table) updates(n int, receiver string) []update {
	var out []update
	chosen := map[string]bool{receiver: true}
	if r, known := t.rows[receiver]; known && r.State != Alive && !r.unconfirmed {
		out = append(out, r.update)
	}
	for _, r := range t.pending() {
		if len(out) < n && !chosen[r.ID] {
			chosen[r.ID] = true
			r.sends--
			out = append(out, r.update)
		}
	}
	for range t.order {
		if len(out) >= n {
			break
		}
		t.filled = (t.filled + 1) % len(t.order)
		r := t.rows[t.order[t.filled]]
		if !chosen[r.ID] && !r.unconfirmed {
			chosen[r.ID] = true
			out = append(out, r.update)
		}
	}
	return out
}

// pending returns the changes that are still to be sent, least sent first.
func (t *table) pending() []*row {
	var rows []*row
	for _, r := range t.rows {
		if r.sends > 0 {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].sends != rows[j].sends {
			return rows[i].sends > rows[j].sends
		}
		return rows[i].ID < rows[j].ID
	})
	return rows
}

// all returns every confirmed host that is not dead or has died since recent,
// so that one who holds it alive learns of it.
func (t *table) all(recent time.Time) []update {
	var out []update
	for _, r := range t.rows {
		if !r.unconfirmed && (r.State != Dead || r.since.After(recent)) {
			out = append(out, r.update)
		}
	}
	return out
}

// digest returns a hash of which versions of which hosts are held and not
// dead, self included. It is the same in any order. Suspicion is left out: it
// comes and goes without a new version.
func (t *table) digest(self update) uint64 {
	sum := self.hash()
	for _, r := range t.rows {
		if r.State != Dead && !r.unconfirmed {
			sum ^= r.hash()
		}
	}
	return sum
}

func (u update) hash() uint64 {
	b := append([]byte(u.ID), 0)
	b = binary.LittleEndian.AppendUint64(b, u.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, u.Version)
	return xxhash.Sum64(b)
}
