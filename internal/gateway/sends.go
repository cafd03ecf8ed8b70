package gateway

import (
	"sync"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// sendTracker is the attempts of one run that may send, and what became of them. A run that is given
// up sendTracker nothing more: what waits for a connection then can be told as not run.
type sendTracker struct {
	mu         sync.Mutex
	closed     bool // no attempt may send any more
	unfinished int  // attempts that may have sent something and have not ended
	combined   outcome.Outcome
}

// begin asks for an attempt to send. It reports false if the run was given up; else ended must
// follow.
func (s *sendTracker) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.unfinished++
	return true
}

// end notes what became of an attempt that began to send.
func (s *sendTracker) end(o outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unfinished--
	s.combined = outcome.Combine(s.combined, o)
}

// merge notes what became of an attempt that another one made.
func (s *sendTracker) merge(o outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.combined = outcome.Combine(s.combined, o)
}

// outcome returns what became of the attempts that have ended.
func (s *sendTracker) outcome() outcome.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.combined
}

// giveUp ends the run: no attempt sends from now on. It returns what became of the run.
func (s *sendTracker) giveUp() outcome.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.unfinished > 0 {
		s.combined = outcome.Combine(s.combined, outcome.Unknown)
	}
	return s.combined
}
