package delivery

import (
	"math/rand/v2"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Record is one delivery that is kept as it was: a reservation, a refusal or
// a partial answer.
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
	Host        string    // that answered; set when read
	Until       time.Time // end of its window; set when read
}

func recordOf(d Delivery) Record {
	return Record{
		Request: d.RequestID, Reservation: d.ReservationID, Caller: d.Caller, Service: d.Service,
		Outcome: d.Outcome, Reason: d.Reason, Coverage: d.Coverage, Snapshot: d.Snapshot,
		Latency: d.Latency, Attempts: d.Attempts,
	}
}

// exceptional reports whether a search was refused or answered in part.
func exceptional(d Delivery) bool {
	return d.Reason != "" || d.Outcome != outcome.Done || d.Coverage < 1
}

// records are the single records of a window, bounded in number.
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

// sample keeps at most a number of records, each offered one with the same
// chance, and knows how many were offered.
type sample struct {
	kept    []Record
	offered uint64
}

func (s *sample) leftOut() uint64 { return s.offered - uint64(len(s.kept)) }

func (s *sample) add(r Record, most int) {
	s.offered++
	if len(s.kept) < most {
		s.kept = append(s.kept, r)
		return
	}
	if i := rand.Uint64N(s.offered); i < uint64(len(s.kept)) {
		s.kept[i] = r
	}
}

// merge takes records of both samples, as many of each as it has in the sum
// of what was offered.
func (s *sample) merge(from *sample, most int) {
	offered := s.offered + from.offered
	if len(s.kept)+len(from.kept) <= most {
		s.kept = append(s.kept, from.kept...)
		s.offered = offered
		return
	}
	share := uint64(most) * s.offered / offered
	mine := min(len(s.kept), max(int(share), most-len(from.kept)))
	s.kept = append(s.kept[:mine:mine], from.kept[:most-mine]...)
	s.offered = offered
}

// halve leaves out the second half of the records.
func (s *sample) halve() { s.kept = s.kept[:len(s.kept)/2] }
