package target

import (
	"errors"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// Freeze is where frozen requests stand still.
type Freeze string

// Freezes. A frozen request gets no answer until the faults change.
const (
	FreezeNone   Freeze = ""
	FreezeBefore Freeze = "before" // before the request is looked at
	FreezeAfter  Freeze = "after"  // after it has run
)

// Faults are the failures in force. Probabilities are drawn for each request.
type Faults struct {
	LatencyFactor float64 `json:"latency_factor,omitempty"` // of the service time; 0: 1
	LatencyShare  float64 `json:"latency_share,omitempty"`  // of requests that LatencyFactor is for; 0: all
	Freeze        Freeze  `json:"freeze,omitempty"`
	FreezeShare   float64 `json:"freeze_share,omitempty"`  // of requests that freeze; 0: all
	FreezeStatus  bool    `json:"freeze_status,omitempty"` // the status does not answer either
	Shed          float64 `json:"shed,omitempty"`          // refused with 503 shed, not run
	Fail          float64 `json:"fail,omitempty"`          // 500 failed, run in vain
	CutBefore     float64 `json:"cut_before,omitempty"`    // connection cut, not run
	Cut           float64 `json:"cut,omitempty"`           // run, then the connection is cut
	Crossed       float64 `json:"crossed,omitempty"`       // run, answered with the previous answer
	Truncate      float64 `json:"truncate,omitempty"`      // run, body ends before its Content-Length
	ShortJSON     float64 `json:"short_json,omitempty"`    // run, body is well delimited but cut JSON
	ShortRows     float64 `json:"short_rows,omitempty"`    // run, a row is missing though counted
	Status        string  `json:"status,omitempty"`        // state told in the status, whatever is true
	HideLoad      bool    `json:"hide_load,omitempty"`     // the status tells load 0
}

// Validate returns every error of the faults.
func (f Faults) Validate() error {
	all := []error{
		standin.Probability("latency_share", f.LatencyShare),
		standin.Probability("freeze_share", f.FreezeShare),
		standin.Probability("shed", f.Shed),
		standin.Probability("fail", f.Fail),
		standin.Probability("cut_before", f.CutBefore),
		standin.Probability("cut", f.Cut),
		standin.Probability("crossed", f.Crossed),
		standin.Probability("truncate", f.Truncate),
		standin.Probability("short_json", f.ShortJSON),
		standin.Probability("short_rows", f.ShortRows),
	}
	if f.LatencyFactor < 0 {
		all = append(all, Error.New("latency_factor %g is negative", f.LatencyFactor))
	}
	switch f.Freeze {
	case FreezeNone, FreezeBefore, FreezeAfter:
	default:
		all = append(all, Error.New("freeze %q: want before or after", f.Freeze))
	}
	switch f.Status {
	case "", targetapi.StateStarting, targetapi.StateReady, targetapi.StateDraining:
	default:
		all = append(all, Error.New("status %q: want starting, ready or draining", f.Status))
	}
	return errors.Join(all...)
}

// share returns a share of requests as a probability: 0 means all.
func share(s float64) float64 {
	if s == 0 {
		return 1
	}
	return s
}

// SetFaults puts the faults in force in place of all earlier ones. Frozen
// requests see the change at once.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	close(t.faultsChanged)
	t.faultsChanged = make(chan struct{})
}

// Faults returns the faults in force.
func (t *Target) Faults() Faults {
	f, _ := t.faultsInForce()
	return f
}

// faultsInForce also returns a channel that closes when the faults change.
func (t *Target) faultsInForce() (Faults, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.faultsChanged
}
