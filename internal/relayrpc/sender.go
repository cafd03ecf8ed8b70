package relayrpc

import (
	"context"
	"sync"

	"storj.io/drpc"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// flusher is the part of a drpc stream that sends several messages in one
// write.
type flusher interface {
	SetManualFlush(bool)
	RawFlush() error
}

// resultSender writes the results of a batch to its stream on its own
// goroutine, so that a slow reader does not block the relay. Results that are
// pending together are sent in one write.
type resultSender struct {
	requestID string
	stream    peerpb.DRPCRelay_SearchStream
	flush     func() error
	onFailure context.CancelFunc // called when the stream fails

	mu      sync.Mutex
	pending []query.ShardResult
	closed  bool
	wakeup  chan struct{} // signals that pending or closed changed
	done    chan struct{} // closed when run has returned
	err     error         // valid once done is closed
}

func newResultSender(requestID string, stream peerpb.DRPCRelay_SearchStream) *resultSender {
	s := &resultSender{
		requestID: requestID, stream: stream, flush: func() error { return nil }, onFailure: func() {},
		wakeup: make(chan struct{}, 1), done: make(chan struct{}),
	}
	if x, ok := stream.(interface{ GetStream() drpc.Stream }); ok {
		if f, ok := x.GetStream().(flusher); ok {
			f.SetManualFlush(true)
			s.flush = f.RawFlush
		}
	}
	go s.run()
	return s
}

// emit queues a result. It does not block.
func (s *resultSender) emit(r query.ShardResult) {
	s.mu.Lock()
	s.pending = append(s.pending, r)
	s.mu.Unlock()
	s.wake()
}

func (s *resultSender) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// close writes the pending results and returns the error of the stream, if
// any.
func (s *resultSender) close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wake()
	<-s.done
	return s.err
}

// run writes results until close is called and all are written, or the stream
// fails.
func (s *resultSender) run() {
	defer close(s.done)
	for range s.wakeup {
		s.mu.Lock()
		results, closed := s.pending, s.closed
		s.pending = nil
		s.mu.Unlock()
		if err := s.write(results); err != nil {
			s.err = Error.New("send results: %w", err)
			s.onFailure()
			return
		}
		if closed {
			return
		}
	}
}

func (s *resultSender) write(ready []query.ShardResult) error {
	if len(ready) == 0 {
		return nil
	}
	for i := range ready {
		if err := s.stream.Send(resultToWire(s.requestID, &ready[i])); err != nil {
			return err
		}
	}
	return s.flush()
}
