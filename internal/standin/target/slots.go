package target

import (
	"context"
	"sync"
	"time"
)

// admission is how the wait for a slot ended.
type admission uint8

const (
	admitted  admission = iota
	queueFull           // at once: too many wait already
	budgetOut           // the budget ended in the queue
	abandoned           // the client went
)

// slots runs a bounded number of requests at once and queues a bounded number
// of others, first come first served.
type slots struct {
	mu         sync.Mutex
	size       int
	queueLimit int
	running    int
	runningMax int
	queue      []chan struct{}
}

// acquire waits for a slot until ctx or the budget ends. A negative budget has
// no end.
func (s *slots) acquire(ctx context.Context, budget time.Duration) admission {
	turn, result := s.enter()
	if turn == nil {
		return result
	}
	var ended <-chan time.Time
	if budget >= 0 {
		timer := time.NewTimer(budget)
		defer timer.Stop()
		ended = timer.C
	}
	select {
	case <-turn:
		return admitted
	case <-ended:
		result = budgetOut
	case <-ctx.Done():
		result = abandoned
	}
	s.leave(turn)
	return result
}

// enter takes a free slot or a place in the queue. The channel is nil when
// there is nothing to wait for.
func (s *slots) enter() (chan struct{}, admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < s.size {
		s.startLocked()
		return nil, admitted
	}
	if len(s.queue) >= s.queueLimit {
		return nil, queueFull
	}
	turn := make(chan struct{})
	s.queue = append(s.queue, turn)
	return turn, admitted
}

// leave gives up a place in the queue, or the slot if it was given meanwhile.
func (s *slots) leave(turn chan struct{}) {
	s.mu.Lock()
	for i, q := range s.queue {
		if q == turn {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.release()
}

// release gives the slot back, to the first in the queue if there is one.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if len(s.queue) == 0 {
		return
	}
	turn := s.queue[0]
	s.queue = s.queue[1:]
	s.startLocked()
	close(turn)
}

func (s *slots) startLocked() {
	s.running++
	s.runningMax = max(s.runningMax, s.running)
}

// load returns the running and the queued requests, and the most that ever ran
// at once.
func (s *slots) load() (running, queued, runningMax int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue), s.runningMax
}
