package objectstore

import (
	"errors"
	"net"
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Outage is how the store fails as a whole.
type Outage string

// Outages. Nothing is applied during one.
const (
	OutageNone        Outage = ""
	OutageUnavailable Outage = "unavailable" // 503
	OutageCut         Outage = "cut"         // the connection is cut without an answer
	OutageHang        Outage = "hang"        // no answer until the outage ends
)

// Faults are the failures in force. Counts go down with each use; a
// probability is drawn for each write.
type Faults struct {
	Outage          Outage          `json:"outage,omitempty"`
	OutageFor       []string        `json:"outage_for,omitempty"`       // IP addresses of the clients that it concerns; none: all
	DeafWatches     bool            `json:"deaf_watches,omitempty"`     // watches hear of no change
	Latency         standin.Latency `json:"latency,omitzero"`           // before each call is looked at
	LoseAnswers     int             `json:"lose_answers,omitempty"`     // of the next writes: applied, then cut
	LoseProbability float64         `json:"lose_probability,omitempty"` // of each write
	LateWrites      int             `json:"late_writes,omitempty"`      // of the next writes: applied after LateDelay
	LateProbability float64         `json:"late_probability,omitempty"` // of each write
	LateDelay       unit.Duration   `json:"late_delay,omitempty"`       // though the client has gone
}

// Validate returns every error of the faults.
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
		standin.Named("latency", f.Latency.Validate()),
		standin.Probability("lose_probability", f.LoseProbability),
		standin.Probability("late_probability", f.LateProbability))
	return errors.Join(all...)
}

// SetFaults puts the faults in force in place of all earlier ones. Calls that
// hang and watches that wait see the change at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Faults returns the faults in force, counts as they stand.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// outage returns the outage in force for the client at an address, and a
// channel that closes when the faults change.
func (s *Store) outage(from string) (Outage, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.concern(from) {
		return OutageNone, s.faultsChanged
	}
	return s.faults.Outage, s.faultsChanged
}

// concern reports whether an outage concerns the client at host:port.
func (f Faults) concern(from string) bool {
	if len(f.OutageFor) == 0 {
		return true
	}
	host, _, err := net.SplitHostPort(from)
	return err == nil && slices.Contains(f.OutageFor, host)
}

// writeFaults decides for one write whether it is applied late and whether
// its answer is lost.
func (s *Store) writeFaults() (late, lost bool) {
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
