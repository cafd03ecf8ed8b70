// Package relayrpc carries relayed searches and reservations between hosts
// over drpc: a server in front of the host's own relay, and a client that
// looks like one. Time travels as a remaining budget.
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

// drainRetryAfter is what a host that stops tells those whom it refuses; by
// then they have turned to another.
const drainRetryAfter = 100 * time.Millisecond

// Server runs the work that other hosts relay through this one.
type Server struct {
	searcher relay.Searcher
	reserver claim.Reserver

	mu       sync.Mutex
	draining bool
	running  int
	idle     chan struct{} // closed when draining and nothing runs
}

// NewServer returns a server of the given relay and reserver.
func NewServer(s relay.Searcher, c claim.Reserver) *Server {
	return &Server{searcher: s, reserver: c, idle: make(chan struct{})}
}

// Register adds the server to those of a peer listener.
func (s *Server) Register(mux drpc.Mux) error {
	if err := peerpb.DRPCRegisterRelay(mux, s); err != nil {
		return Error.New("register relay: %w", err)
	}
	return nil
}

// Drain refuses all work that comes from now on, as not run. What runs goes on.
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

// Wait returns when, after Drain, nothing runs any more, or ctx is done.
func (s *Server) Wait(ctx context.Context) error {
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return Error.New("wait for relayed work: %w", ctx.Err())
	}
}

// Running returns the number of batches and reservations at work.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

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
	out := newSender(b.RequestID, stream)
	if !s.begin() {
		refuseBatch(&b, out.emit)
		return out.close()
	}
	defer s.end()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	out.failed = cancel
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
	r := query.Reserve{
		RequestID: in.RequestId, Caller: in.Caller, ReservationID: in.ReservationId,
		Service: in.Service, Item: in.Item, Budget: peer.Micros(in.BudgetUs),
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
