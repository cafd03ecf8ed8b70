package member

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// piggybackUpdates returns at most n host records for a message to the host
// receiver: first the receiver's own record if it is not alive there, so that
// it can refute it; then the changes sent least often; then other hosts in
// rotation, so that tables that differ for any reason converge without full
// lists.
func (t *table) piggybackUpdates(n int, receiver string) []update {
	var out []update
	chosen := map[string]bool{receiver: true}
	if r, known := t.rows[receiver]; known && r.State != Alive && !r.unconfirmed {
		out = append(out, r.update)
	}
	for _, r := range t.pendingUpdates() {
		if len(out) < n && !chosen[r.ID] {
			chosen[r.ID] = true
			r.sendsLeft--
			out = append(out, r.update)
		}
	}
	for range t.order {
		if len(out) >= n {
			break
		}
		t.lastFilled = (t.lastFilled + 1) % len(t.order)
		r := t.rows[t.order[t.lastFilled]]
		if !chosen[r.ID] && !r.unconfirmed {
			chosen[r.ID] = true
			out = append(out, r.update)
		}
	}
	return out
}

// pendingUpdates returns the changes that are still to be sent, least often
// sent first.
func (t *table) pendingUpdates() []*row {
	var rows []*row
	for _, r := range t.rows {
		if r.sendsLeft > 0 {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].sendsLeft != rows[j].sendsLeft {
			return rows[i].sendsLeft > rows[j].sendsLeft
		}
		return rows[i].ID < rows[j].ID
	})
	return rows
}

// fullList returns every confirmed host that is not dead or died after
// deadAfter, so that a host that lists it as alive receives its death.
func (t *table) fullList(deadAfter time.Time) []update {
	var out []update
	for _, r := range t.rows {
		if !r.unconfirmed && (r.State != Dead || r.stateSince.After(deadAfter)) {
			out = append(out, r.update)
		}
	}
	return out
}

// digest returns a hash of the versions of all confirmed hosts that are not
// dead, self included. It does not depend on their order. Suspicion is left
// out: it starts and ends without a new version.
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
