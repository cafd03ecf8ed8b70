package gateway

import (
	"sync"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// sendTracker tracks the attempts of one run that may send, and their combined outcome. After a run
// is abandoned no attempt sends anything, so attempts that still wait for a connection are known
// not to have run.
type sendTracker struct {
	mu         sync.Mutex
	closed     bool // no attempt may send any more
	unfinished int  // attempts that may have sent something and have not ended
	combined   outcome.Outcome
}

// begin registers an attempt that is about to send. It reports false if the run was abandoned;
// otherwise end must follow.
func (s *sendTracker) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.unfinished++
	return true
}

// end records the outcome of an attempt that began to send.
func (s *sendTracker) end(o outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unfinished--
	s.combined = outcome.Combine(s.combined, o)
}

// merge adds the outcome of attempts that were made elsewhere.
func (s *sendTracker) merge(o outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.combined = outcome.Combine(s.combined, o)
}

// outcome returns the combined outcome of the attempts that have ended.
func (s *sendTracker) outcome() outcome.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.combined
}

// giveUp abandons the run: no attempt sends from now on. It returns the outcome of the run.
func (s *sendTracker) giveUp() outcome.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.unfinished > 0 {
		s.combined = outcome.Combine(s.combined, outcome.Unknown)
	}
	return s.combined
}
