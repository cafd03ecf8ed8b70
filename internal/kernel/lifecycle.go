package kernel

import (
	"sync"
	"time"
)

// State is the lifecycle state of a host. It only moves forward.
type State uint8

const (
	Starting State = iota // not all modules have started
	Ready                 // accepts requests
	Leaving               // shutting down; readiness fails, and callers are served until the load balancer has reacted
	Stopped               // all modules have stopped
)

var stateNames = [...]string{"starting", "ready", "leaving", "stopped"}

// String returns the name used in logs and by the readiness endpoint.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Lifecycle holds the state of a host, shared by its modules. It is safe for
// concurrent use.
type Lifecycle struct {
	mu           sync.Mutex
	state        State
	leaving      chan struct{}
	leavingSince time.Time // zero before the state Leaving
}

// NewLifecycle returns a lifecycle in the state Starting.
func NewLifecycle() *Lifecycle { return &Lifecycle{leaving: make(chan struct{})} }

// State returns the current state.
func (l *Lifecycle) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Leaving returns a channel that is closed when the host reaches the state
// Leaving or a later one.
func (l *Lifecycle) Leaving() <-chan struct{} { return l.leaving }

// LeavingSince returns when the host reached the state Leaving, and false if it has not.
func (l *Lifecycle) LeavingSince() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leavingSince, !l.leavingSince.IsZero()
}

// Advance moves to the state s and reports whether the state changed. A call
// with the current or an earlier state has no effect, so a host that is leaving
// can't become ready again.
func (l *Lifecycle) Advance(s State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s <= l.state {
		return false
	}
	if l.state < Leaving && s >= Leaving {
		l.leavingSince = time.Now()
		close(l.leaving)
	}
	l.state = s
	return true
}
