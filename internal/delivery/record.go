package delivery

import (
	"math/rand/v2"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Record is an individual delivery that is stored unaggregated: a reservation,
// a refusal or a partial answer.
type Record struct {
	Request     string
	Reservation string
	Caller      string
	Service     string
	Outcome     outcome.Outcome
	Reason      query.Reason
	Coverage    float64
	Snapshot    uint64
	Latency     time.Duration
	Attempts    int
	Host        string    // host that answered the request; set when read
	WindowEnd   time.Time // end of the record's window; set when read
}

func recordOf(d Delivery) Record {
	return Record{
		Request: d.RequestID, Reservation: d.ReservationID, Caller: d.Caller, Service: d.Service,
		Outcome: d.Outcome, Reason: d.Reason, Coverage: d.Coverage, Snapshot: d.Snapshot,
		Latency: d.Latency, Attempts: d.Attempts,
	}
}

// exceptional reports whether a search was refused or only partially answered.
func exceptional(d Delivery) bool {
	return d.Reason != "" || d.Outcome != outcome.Done || d.Coverage < 1
}

// records holds the individual records of a window, limited in number.
type records struct {
	reservations sample
	exceptions   sample
}

func (r *records) record(d Delivery, cfg Config) {
	switch {
	case d.ReservationID != "":
		r.reservations.add(recordOf(d), cfg.MaxReservations)
	case exceptional(d):
		r.exceptions.add(recordOf(d), cfg.MaxExceptions)
	}
}

func (r *records) merge(from *records, cfg Config) {
	r.reservations.merge(&from.reservations, cfg.MaxReservations)
	r.exceptions.merge(&from.exceptions, cfg.MaxExceptions)
}

func (r *records) leftOut() uint64 { return r.reservations.leftOut() + r.exceptions.leftOut() }

func (r *records) all() []Record {
	all := make([]Record, 0, len(r.reservations.kept)+len(r.exceptions.kept))
	all = append(all, r.reservations.kept...)
	return append(all, r.exceptions.kept...)
}

// sample is a uniform random sample of limited size (reservoir sampling) that
// counts how many records were offered to it.
type sample struct {
	kept    []Record
	offered uint64
}

func (s *sample) leftOut() uint64 { return s.offered - uint64(len(s.kept)) }

func (s *sample) add(r Record, maxKept int) {
	s.offered++
	if len(s.kept) < maxKept {
		s.kept = append(s.kept, r)
		return
	}
	if i := rand.Uint64N(s.offered); i < uint64(len(s.kept)) {
		s.kept[i] = r
	}
}

// merge merges two samples. Each contributes in proportion to the number of
// records that it was offered.
func (s *sample) merge(from *sample, maxKept int) {
	offered := s.offered + from.offered
	if len(s.kept)+len(from.kept) <= maxKept {
		s.kept = append(s.kept, from.kept...)
		s.offered = offered
		return
	}
	share := uint64(maxKept) * s.offered / offered
	ownCount := min(len(s.kept), max(int(share), maxKept-len(from.kept)))
	s.kept = append(s.kept[:ownCount:ownCount], from.kept[:maxKept-ownCount]...)
	s.offered = offered
}

// halve drops the second half of the records.
func (s *sample) halve() { s.kept = s.kept[:len(s.kept)/2] }
