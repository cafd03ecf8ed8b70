// Package relayrpc carries searches, reservations and target signs between
// hosts over drpc. Server runs requests of other hosts on the relay of this
// host; Client implements the interfaces of a relay on top of another host.
// Requests carry the remaining budget instead of a deadline. The package makes
// no decisions on targets: see package relay.
//
// Begin with Client.Search and Server.Search; the conversions to the messages
// are in convert.go.
package relayrpc

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/relay"
)

// drainRetryAfter is the retry delay in refusals of a draining host. It leaves
// the requesting hosts time to switch to another relay.
const drainRetryAfter = 100 * time.Millisecond

// Server runs searches and reservations that other hosts send to this one.
type Server struct {
	searcher relay.Searcher
	reserver claim.Reserver

	mu       sync.Mutex
	draining bool
	running  int
	idle     chan struct{} // closed when draining and nothing is running
}

// NewServer returns a server for the given relay and reserver.
func NewServer(s relay.Searcher, c claim.Reserver) *Server {
	return &Server{searcher: s, reserver: c, idle: make(chan struct{})}
}

// Register registers the server with a peer listener.
func (s *Server) Register(mux drpc.Mux) error {
	if err := peerpb.DRPCRegisterRelay(mux, s); err != nil {
		return Error.New("register relay: %w", err)
	}
	return nil
}

// Drain makes the server refuse new work with the outcome NotSent. Running
// work continues.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	if s.running == 0 {
		close(s.idle)
	}
}

// Wait returns when, after Drain, no work is running, or when ctx is done.
func (s *Server) Wait(ctx context.Context) error {
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return Error.New("wait for relayed work: %w", ctx.Err())
	}
}

// Running returns the number of running batches and reservations.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// begin registers a running request. It reports false if the server is
// draining.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.running++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.draining && s.running == 0 {
		close(s.idle)
	}
}

// Search implements the drpc service.
func (s *Server) Search(in *peerpb.Batch, stream peerpb.DRPCRelay_SearchStream) error {
	b := batchFromWire(in)
	out := newResultSender(b.RequestID, stream)
	if !s.begin() {
		refuseBatch(&b, out.emit)
		return out.close()
	}
	defer s.end()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	out.onFailure = cancel
	if err := s.searcher.Search(ctx, b, out.emit); err != nil {
		_ = out.close()
		return Error.New("search: %w", err)
	}
	return out.close()
}

func refuseBatch(b *query.Batch, emit func(query.ShardResult)) {
	for _, p := range b.Parts {
		for _, shard := range p.Shards {
			emit(query.ShardResult{
				Key: query.ShardKey{Service: p.Service, Shard: shard}, Snapshot: b.Snapshot,
				Outcome: outcome.NotSent, Reason: query.ReasonDraining, RetryAfter: drainRetryAfter,
			})
		}
	}
}

// Reserve implements the drpc service.
func (s *Server) Reserve(ctx context.Context, in *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	r := query.ReserveRequest{
		RequestID: in.RequestId, Caller: in.Caller, ReservationID: in.ReservationId,
		Service: in.Service, Item: in.Item, Budget: peer.FromMicros(in.BudgetUs),
	}
	if !s.begin() {
		return replyToWire(&query.Reservation{
			RequestID: r.RequestID, ReservationID: r.ReservationID, Outcome: outcome.NotSent,
			Reason: query.ReasonDraining, RetryAfter: drainRetryAfter,
		}), nil
	}
	defer s.end()
	ctx, cancel := context.WithTimeout(ctx, r.Budget)
	defer cancel()
	reply := s.reserver.Reserve(ctx, r)
	return replyToWire(&reply), nil
}
