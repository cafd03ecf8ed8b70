package target

import (
	"context"
	"sync"
	"time"
)

// admission is the result of acquiring a slot.
type admission uint8

const (
	admitted      admission = iota
	queueFull               // rejected at once, as the queue is full
	budgetExpired           // the budget expired in the queue
	clientGone              // the client disconnected in the queue
)

// slots limits the number of concurrent requests and queues a limited number of others in FIFO
// order.
type slots struct {
	mu         sync.Mutex
	size       int
	queueLimit int
	running    int
	runningMax int
	queue      []chan struct{}
}

// acquire waits for a slot until ctx ends or the budget expires. A negative budget never expires.
func (s *slots) acquire(ctx context.Context, budget time.Duration) admission {
	granted, result := s.acquireOrEnqueue()
	if granted == nil {
		return result
	}
	var ended <-chan time.Time
	if budget >= 0 {
		timer := time.NewTimer(budget)
		defer timer.Stop()
		ended = timer.C
	}
	select {
	case <-granted:
		return admitted
	case <-ended:
		result = budgetExpired
	case <-ctx.Done():
		result = clientGone
	}
	s.cancelWait(granted)
	return result
}

// acquireOrEnqueue takes a free slot or a place in the queue. The channel is nil if there is
// nothing to wait for.
func (s *slots) acquireOrEnqueue() (chan struct{}, admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < s.size {
		s.startLocked()
		return nil, admitted
	}
	if len(s.queue) >= s.queueLimit {
		return nil, queueFull
	}
	granted := make(chan struct{})
	s.queue = append(s.queue, granted)
	return granted, admitted
}

// cancelWait leaves the queue, or releases the slot if it was assigned in the meantime.
func (s *slots) cancelWait(granted chan struct{}) {
	s.mu.Lock()
	for i, q := range s.queue {
		if q == granted {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.release()
}

// release frees the slot, or assigns it to the first waiter in the queue.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if len(s.queue) == 0 {
		return
	}
	granted := s.queue[0]
	s.queue = s.queue[1:]
	s.startLocked()
	close(granted)
}

func (s *slots) startLocked() {
	s.running++
	s.runningMax = max(s.runningMax, s.running)
}

// load returns the numbers of running and queued requests, and the maximum number of concurrent
// requests so far.
func (s *slots) load() (running, queued, runningMax int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue), s.runningMax
}
