package claim

import (
	"crypto/sha256"
	"encoding/hex"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Phase is where a reservation stands.
type Phase string

const (
	// Sending means that the host named in the record may have sent the
	// attempt, or may be about to.
	Sending Phase = "sending"
	// Released means that nothing ran, and that a new attempt may take the
	// record. A record is released by an update and not by removal: versions
	// of a record that is removed and created again start anew, and a delayed
	// conditional write would take the new record for the old one.
	Released Phase = "released"
	// Settled means that the record holds the outcome.
	Settled Phase = "settled"
)

// Record is the platform's object of one reservation.
type Record struct {
	Phase       Phase        `json:"phase"`
	Host        string       `json:"host"`
	Incarnation uint64       `json:"incarnation"`
	Attempt     string       `json:"attempt"`
	Service     string       `json:"service"`
	Target      string       `json:"target"`
	ItemDigest  string       `json:"item_digest"` // the item itself is not kept
	Caller      string       `json:"caller"`
	Outcome     string       `json:"outcome,omitempty"` // Settled
	Granted     bool         `json:"granted,omitempty"`
	Answer      string       `json:"answer,omitempty"`
	Reason      query.Reason `json:"reason,omitempty"`
}

// digest returns the form in which an item is kept in a record.
func digest(item string) string {
	sum := sha256.Sum256([]byte(item))
	return hex.EncodeToString(sum[:16])
}

// sameRequest reports whether the record is that of r, and not of another
// reservation that took the same id.
func (rec Record) sameRequest(r query.Reserve) bool {
	return rec.Service == r.Service && rec.Caller == r.Caller && rec.ItemDigest == digest(r.Item)
}

// settled returns rec with the outcome of its attempt.
func (rec Record) settled(res query.Reservation) Record {
	rec.Phase = Settled
	rec.Outcome = res.Outcome.String()
	rec.Granted = res.Granted
	rec.Answer = res.Answer
	rec.Reason = res.Reason
	return rec
}

// released returns rec, free to be taken.
func (rec Record) released() Record {
	rec.Phase = Released
	return rec
}

// reply returns the answer that a settled record gives to a repeat.
func (rec Record) reply() query.Reservation {
	o, ok := outcome.Parse(rec.Outcome)
	if !ok {
		o = outcome.Unknown
	}
	return query.Reservation{
		Outcome: o, Granted: rec.Granted, Answer: rec.Answer, Target: rec.Target, Reason: rec.Reason,
	}
}
