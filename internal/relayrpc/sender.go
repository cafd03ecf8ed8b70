package relayrpc

import (
	"context"
	"sync"

	"storj.io/drpc"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// flusher is the part of a drpc stream that lets several messages leave in
// one write.
type flusher interface {
	SetManualFlush(bool)
	RawFlush() error
}

// sender writes the results of a batch to its stream, on a goroutine of its
// own, so that a slow reader does not hold up the relay. Results that are
// ready together leave in one write.
type sender struct {
	requestID string
	stream    peerpb.DRPCRelay_SearchStream
	flush     func() error
	failed    context.CancelFunc // called when the stream is lost

	mu     sync.Mutex
	ready  []query.ShardResult
	closed bool
	bell   chan struct{}
	done   chan struct{}
	err    error // once done is closed
}

func newSender(requestID string, stream peerpb.DRPCRelay_SearchStream) *sender {
	s := &sender{
		requestID: requestID, stream: stream, flush: func() error { return nil }, failed: func() {},
		bell: make(chan struct{}, 1), done: make(chan struct{}),
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

// emit hands over a result; it never blocks.
func (s *sender) emit(r query.ShardResult) {
	s.mu.Lock()
	s.ready = append(s.ready, r)
	s.mu.Unlock()
	s.ring()
}

func (s *sender) ring() {
	select {
	case s.bell <- struct{}{}:
	default:
	}
}

// close writes what is left and returns the stream's error, if any.
func (s *sender) close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.ring()
	<-s.done
	return s.err
}

// run writes until close is called and all is written, or the stream fails.
func (s *sender) run() {
	defer close(s.done)
	for range s.bell {
		s.mu.Lock()
		ready, closed := s.ready, s.closed
		s.ready = nil
		s.mu.Unlock()
		if err := s.write(ready); err != nil {
			s.err = Error.New("send results: %w", err)
			s.failed()
			return
		}
		if closed {
			return
		}
	}
}

func (s *sender) write(ready []query.ShardResult) error {
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
