package kernel

import "sync"

// State is how far a host is in its life. It only grows.
type State uint8

const (
	Starting State = iota // not every module has started
	Ready                 // takes work
	Leaving               // stops; takes no new work once its balancer has noticed
	Stopped               // every module has stopped
)

var stateNames = [...]string{"starting", "ready", "leaving", "stopped"}

// String returns the name used in logs and by the readiness endpoint.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Lifecycle holds the state of a host for all modules to read. Every method
// is safe for concurrent use.
type Lifecycle struct {
	mu      sync.Mutex
	state   State
	leaving chan struct{}
}

// NewLifecycle returns a lifecycle in the state Starting.
func NewLifecycle() *Lifecycle { return &Lifecycle{leaving: make(chan struct{})} }

// State returns the present state.
func (l *Lifecycle) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Leaving is closed when the host begins to leave.
func (l *Lifecycle) Leaving() <-chan struct{} { return l.leaving }

// Advance moves to the state s and reports whether that was a change. A state
// never goes back, so a host that leaves can't become ready again.
func (l *Lifecycle) Advance(s State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s <= l.state {
		return false
	}
	if l.state < Leaving && s >= Leaving {
		close(l.leaving)
	}
	l.state = s
	return true
}
