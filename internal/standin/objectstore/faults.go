package objectstore

import (
	"errors"
	"net"
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Outage is a failure mode of the whole store.
type Outage string

// Outages. No write is applied during an outage.
const (
	OutageNone        Outage = ""
	OutageUnavailable Outage = "unavailable" // status 503
	OutageCut         Outage = "cut"         // the connection is cut without a response
	OutageHang        Outage = "hang"        // no response until the outage ends
)

// Faults are the injected faults. The counts decrease with each use; the probabilities are drawn
// for each write.
type Faults struct {
	Outage          Outage          `json:"outage,omitempty"`
	OutageFor       []string        `json:"outage_for,omitempty"`       // IP addresses of the affected clients; empty: all
	DeafWatches     bool            `json:"deaf_watches,omitempty"`     // watches report no changes
	Latency         standin.Latency `json:"latency,omitzero"`           // added before each call is processed
	LoseAnswers     int             `json:"lose_answers,omitempty"`     // number of upcoming writes that are applied without a response
	LoseProbability float64         `json:"lose_probability,omitempty"` // probability that a write is applied without a response
	LateWrites      int             `json:"late_writes,omitempty"`      // number of upcoming writes that are applied after LateDelay
	LateProbability float64         `json:"late_probability,omitempty"` // probability that a write is applied after LateDelay
	LateDelay       unit.Duration   `json:"late_delay,omitempty"`       // elapses even if the client disconnects
}

// Validate returns all errors of the faults.
func (f Faults) Validate() error {
	var all []error
	switch f.Outage {
	case OutageNone, OutageUnavailable, OutageCut, OutageHang:
	default:
		all = append(all, Error.New("outage %q: want unavailable, cut or hang", f.Outage))
	}
	if f.LoseAnswers < 0 || f.LateWrites < 0 || f.LateDelay < 0 {
		all = append(all, Error.New("lose_answers, late_writes and late_delay must not be negative"))
	}
	all = append(all,
		standin.WrapFieldError("latency", f.Latency.Validate()),
		standin.ValidateProbability("lose_probability", f.LoseProbability),
		standin.ValidateProbability("late_probability", f.LateProbability))
	return errors.Join(all...)
}

// SetFaults replaces all current faults. Hanging calls and pending watches are notified at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Faults returns the current faults with the remaining counts.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// outage returns the current outage for the client at an address, and a channel that is closed
// when the faults change.
func (s *Store) outage(from string) (Outage, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.affects(from) {
		return OutageNone, s.faultsChanged
	}
	return s.faults.Outage, s.faultsChanged
}

// affects reports whether an outage applies to the client at host:port.
func (f Faults) affects(from string) bool {
	if len(f.OutageFor) == 0 {
		return true
	}
	host, _, err := net.SplitHostPort(from)
	return err == nil && slices.Contains(f.OutageFor, host)
}

// drawWriteFaults decides for one write whether it is applied late and whether its response is
// lost.
func (s *Store) drawWriteFaults() (late, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late = s.rng.Chance(s.faults.LateProbability)
	if s.faults.LateWrites > 0 {
		s.faults.LateWrites--
		late = true
	}
	lost = s.rng.Chance(s.faults.LoseProbability)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		lost = true
	}
	return late, lost
}
