package target

import (
	"errors"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// Freeze is the point at which requests freeze.
type Freeze string

// Freeze points. A frozen request gets no response until the faults change.
const (
	FreezeNone   Freeze = ""
	FreezeBefore Freeze = "before" // before the request is processed
	FreezeAfter  Freeze = "after"  // after the request has run
)

// Faults are the injected faults. Probabilities are drawn for each request.
type Faults struct {
	LatencyFactor float64 `json:"latency_factor,omitempty"` // factor on the service time; 0: 1
	LatencyShare  float64 `json:"latency_share,omitempty"`  // share of requests that LatencyFactor applies to; 0: all
	Freeze        Freeze  `json:"freeze,omitempty"`
	FreezeShare   float64 `json:"freeze_share,omitempty"`  // share of requests that freeze; 0: all
	FreezeStatus  bool    `json:"freeze_status,omitempty"` // the status endpoint freezes too
	Shed          float64 `json:"shed,omitempty"`          // rejected with 503 shed, not run
	Fail          float64 `json:"fail,omitempty"`          // run without result, responds 500 failed
	CutBefore     float64 `json:"cut_before,omitempty"`    // connection cut, not run
	Cut           float64 `json:"cut,omitempty"`           // run, then the connection is cut
	Crossed       float64 `json:"crossed,omitempty"`       // run, responds with the previous answer
	Truncate      float64 `json:"truncate,omitempty"`      // run, body is shorter than its Content-Length
	ShortJSON     float64 `json:"short_json,omitempty"`    // run, Content-Length is correct but the JSON is truncated
	ShortRows     float64 `json:"short_rows,omitempty"`    // run, one counted row is missing
	Status        string  `json:"status,omitempty"`        // state reported by the status endpoint instead of the true one
	HideLoad      bool    `json:"hide_load,omitempty"`     // the status endpoint reports load 0
}

// Validate returns all errors of the faults.
func (f Faults) Validate() error {
	all := []error{
		standin.ValidateProbability("latency_share", f.LatencyShare),
		standin.ValidateProbability("freeze_share", f.FreezeShare),
		standin.ValidateProbability("shed", f.Shed),
		standin.ValidateProbability("fail", f.Fail),
		standin.ValidateProbability("cut_before", f.CutBefore),
		standin.ValidateProbability("cut", f.Cut),
		standin.ValidateProbability("crossed", f.Crossed),
		standin.ValidateProbability("truncate", f.Truncate),
		standin.ValidateProbability("short_json", f.ShortJSON),
		standin.ValidateProbability("short_rows", f.ShortRows),
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

// shareOrAll returns a share of requests as a probability; 0 stands for all requests.
func shareOrAll(s float64) float64 {
	if s == 0 {
		return 1
	}
	return s
}

// SetFaults replaces all current faults. Frozen requests are notified at once.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	close(t.faultsChanged)
	t.faultsChanged = make(chan struct{})
}

// Faults returns the current faults.
func (t *Target) Faults() Faults {
	f, _ := t.faultsInForce()
	return f
}

// faultsInForce returns the current faults and a channel that is closed when they change.
func (t *Target) faultsInForce() (Faults, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.faultsChanged
}
