package quarantine

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// ToWire encodes a record with ages instead of times, because the clocks of hosts differ.
func ToWire(r Record, now time.Time) *peerpb.RequestRecord {
	out := &peerpb.RequestRecord{Key: r.Key[:], Cleared: r.Cleared}
	for _, s := range r.Strikes {
		out.Strikes = append(out.Strikes, &peerpb.Strike{Id: s.ID, Caller: s.Caller[:], Services: s.Services, AgeUs: now.Sub(s.At).Microseconds()})
	}
	return out
}

// FromWire decodes a record that was received at a time. It returns false if the record is invalid.
func FromWire(in *peerpb.RequestRecord, receivedAt time.Time) (Record, bool) {
	if len(in.GetKey()) != len(Key{}) {
		return Record{}, false
	}
	r := Record{Key: Key(in.Key), Cleared: in.Cleared}
	for _, s := range in.Strikes {
		if len(s.Caller) != callerBytes {
			return Record{}, false
		}
		r.Strikes = append(r.Strikes, Strike{ID: s.Id, Caller: Caller(s.Caller), Services: s.Services, At: receivedAt.Add(-peer.FromMicros(max(s.AgeUs, 0)))})
	}
	return r, true
}

// AllToWire encodes records.
func AllToWire(records []Record, now time.Time) []*peerpb.RequestRecord {
	out := make([]*peerpb.RequestRecord, 0, len(records))
	for _, r := range records {
		out = append(out, ToWire(r, now))
	}
	return out
}

// AllFromWire decodes records, and skips invalid ones.
func AllFromWire(in []*peerpb.RequestRecord, receivedAt time.Time) []Record {
	var records []Record
	for _, record := range in {
		if r, ok := FromWire(record, receivedAt); ok {
			records = append(records, r)
		}
	}
	return records
}
