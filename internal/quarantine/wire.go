package quarantine

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// ToWire encodes a record with ages as of now, as the clocks of hosts differ.
func ToWire(r Record, now time.Time) *peerpb.RequestRecord {
	out := &peerpb.RequestRecord{Key: r.Key[:], Cleared: r.Cleared}
	for _, s := range r.Strikes {
		out.Strikes = append(out.Strikes, &peerpb.Strike{Id: s.ID, Caller: s.Caller[:], Services: s.Services, AgeUs: now.Sub(s.At).Microseconds()})
	}
	return out
}

// FromWire decodes a record that was told at a time. It reports false for what can't be one.
func FromWire(in *peerpb.RequestRecord, told time.Time) (Record, bool) {
	if len(in.GetKey()) != len(Key{}) {
		return Record{}, false
	}
	r := Record{Key: Key(in.Key), Cleared: in.Cleared}
	for _, s := range in.Strikes {
		if len(s.Caller) != callerBytes {
			return Record{}, false
		}
		r.Strikes = append(r.Strikes, Strike{ID: s.Id, Caller: Caller(s.Caller), Services: s.Services, At: told.Add(-peer.Micros(max(s.AgeUs, 0)))})
	}
	return r, true
}

// AllToWire encodes records.
func AllToWire(all []Record, now time.Time) []*peerpb.RequestRecord {
	out := make([]*peerpb.RequestRecord, 0, len(all))
	for _, r := range all {
		out = append(out, ToWire(r, now))
	}
	return out
}

// AllFromWire decodes records, and leaves out what can't be one.
func AllFromWire(in []*peerpb.RequestRecord, told time.Time) []Record {
	var all []Record
	for _, one := range in {
		if r, ok := FromWire(one, told); ok {
			all = append(all, r)
		}
	}
	return all
}
