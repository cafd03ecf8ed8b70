package claim

import (
	"crypto/sha256"
	"encoding/hex"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Phase is the state of a reservation's record.
type Phase string

const (
	// Sending means that the host named in the record may have sent the
	// attempt, or may still send it.
	Sending Phase = "sending"
	// Released means that no attempt ran and that a new attempt may claim the
	// record. A record is released by an update instead of a removal: the
	// versions of a record that is removed and created again start over, and a
	// delayed conditional write could then be applied to the new record.
	Released Phase = "released"
	// Settled means that the record contains the outcome.
	Settled Phase = "settled"
)

// Record is the stored state of one reservation in the platform.
type Record struct {
	Phase       Phase        `json:"phase"`
	Host        string       `json:"host"`
	Incarnation uint64       `json:"incarnation"`
	Attempt     string       `json:"attempt"`
	Service     string       `json:"service"`
	Target      string       `json:"target"`
	ItemDigest  string       `json:"item_digest"` // digest of the item; the item itself is not stored
	Caller      string       `json:"caller"`
	Outcome     string       `json:"outcome,omitempty"` // set in phase Settled, as are the fields below
	Granted     bool         `json:"granted,omitempty"`
	Answer      string       `json:"answer,omitempty"`
	Reason      query.Reason `json:"reason,omitempty"`
}

// digest returns the digest of an item as stored in a record.
func digest(item string) string {
	sum := sha256.Sum256([]byte(item))
	return hex.EncodeToString(sum[:16])
}

// sameRequest reports whether the record belongs to the request r, and not to
// another reservation with the same id.
func (rec Record) sameRequest(r query.ReserveRequest) bool {
	return rec.Service == r.Service && rec.Caller == r.Caller && rec.ItemDigest == digest(r.Item)
}

// settled returns a copy of rec with the outcome of its attempt.
func (rec Record) settled(res query.Reservation) Record {
	rec.Phase = Settled
	rec.Outcome = res.Outcome.String()
	rec.Granted = res.Granted
	rec.Answer = res.Answer
	rec.Reason = res.Reason
	return rec
}

// released returns a copy of rec in phase Released.
func (rec Record) released() Record {
	rec.Phase = Released
	return rec
}

// reply returns the result that a settled record contains, as the answer to a
// repeat.
func (rec Record) reply() query.Reservation {
	o, ok := outcome.Parse(rec.Outcome)
	if !ok {
		o = outcome.Unknown
	}
	return query.Reservation{
		Outcome: o, Granted: rec.Granted, Answer: rec.Answer, Target: rec.Target, Reason: rec.Reason,
	}
}
