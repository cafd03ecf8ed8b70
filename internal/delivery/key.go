package delivery

import (
	"cmp"
	"slices"
	"strconv"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Band is a range of coverage.
type Band string

// Bands of coverage. BandNone means that no shard answered. BandReservation is
// the band of reservations, which have no coverage.
const (
	BandFull        Band = "full"
	BandOver99      Band = "over_99"
	BandOver90      Band = "over_90"
	BandOver50      Band = "over_50"
	BandUnder50     Band = "under_50"
	BandNone        Band = "none"
	BandReservation Band = "reservation"
)

func bandOf(d Delivery) Band {
	switch c := d.Coverage; {
	case d.ReservationID != "":
		return BandReservation
	case c >= 1:
		return BandFull
	case c >= 0.99:
		return BandOver99
	case c >= 0.9:
		return BandOver90
	case c >= 0.5:
		return BandOver50
	case c > 0:
		return BandUnder50
	}
	return BandNone
}

// Key identifies the group in which deliveries are counted.
type Key struct {
	Caller   string
	Service  string
	Outcome  outcome.Outcome
	Reason   query.Reason
	Band     Band
	Snapshot uint64
}

// Other replaces callers and services that were folded together.
const Other = "(other)"

func keyOf(d Delivery) Key {
	return Key{
		Caller: d.Caller, Service: d.Service, Outcome: d.Outcome, Reason: d.Reason, Band: bandOf(d), Snapshot: d.Snapshot,
	}
}

func (k Key) compare(o Key) int {
	return cmp.Or(
		cmp.Compare(k.Service, o.Service),
		cmp.Compare(k.Caller, o.Caller),
		cmp.Compare(k.Outcome, o.Outcome),
		cmp.Compare(k.Reason, o.Reason),
		cmp.Compare(k.Band, o.Band),
		cmp.Compare(k.Snapshot, o.Snapshot),
	)
}

// Field is a part of the key by which reports filter and group.
type Field string

// Fields of the key.
const (
	FieldCaller   Field = "caller"
	FieldService  Field = "service"
	FieldOutcome  Field = "outcome"
	FieldReason   Field = "reason"
	FieldCoverage Field = "coverage"
	FieldSnapshot Field = "snapshot"
)

// Fields lists all fields, in the order of a report's columns.
var Fields = []Field{FieldCaller, FieldService, FieldOutcome, FieldReason, FieldCoverage, FieldSnapshot}

// Value returns the value of a field as text.
func (k Key) Value(f Field) string {
	switch f {
	case FieldCaller:
		return k.Caller
	case FieldService:
		return k.Service
	case FieldOutcome:
		return k.Outcome.String()
	case FieldReason:
		return string(k.Reason)
	case FieldCoverage:
		return string(k.Band)
	case FieldSnapshot:
		return strconv.FormatUint(k.Snapshot, 10)
	}
	return ""
}

// project returns a key with only the given fields set.
func (k Key) project(by []Field) Key {
	var p Key
	for _, f := range by {
		switch f {
		case FieldCaller:
			p.Caller = k.Caller
		case FieldService:
			p.Service = k.Service
		case FieldOutcome:
			p.Outcome = k.Outcome
		case FieldReason:
			p.Reason = k.Reason
		case FieldCoverage:
			p.Band = k.Band
		case FieldSnapshot:
			p.Snapshot = k.Snapshot
		}
	}
	return p
}

func isField(f Field) bool { return slices.Contains(Fields, f) }
