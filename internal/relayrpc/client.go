package relayrpc

import (
	"context"
	"errors"
	"io"
	"time"

	"storj.io/drpc"

	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/relay"
)

var (
	_ relay.Searcher = (*Client)(nil)
	_ claim.Reserver = (*Client)(nil)
)

// The final results must arrive before the budget of the requesting host
// ends, so the relay gets a smaller budget: less by a network round trip, but
// by no more than a tenth of a short budget.
const (
	hopMargin        = 3 * time.Millisecond
	hopMarginDivisor = 10
)

// relayBudget returns the budget that is sent to the relay.
func relayBudget(d time.Duration) time.Duration { return d - min(hopMargin, d/hopMarginDivisor) }

// Client runs searches and reservations on the relay of another host.
type Client struct {
	dialer    peer.Dialer
	address   string
	entryHost string
}

// NewClient returns a client of the relay of the host whose peer listener has
// the address. entry is the id of this host.
func NewClient(d peer.Dialer, address, entry string) *Client {
	return &Client{dialer: d, address: address, entryHost: entry}
}

func (c *Client) relayClient(ctx context.Context) peerpb.DRPCRelayClient {
	var conn drpc.Conn = c.dialer.Conn(ctx, c.address)
	return peerpb.NewDRPCRelayClient(conn)
}

// Search implements relay.Searcher. For an error, peer.NotRun reports whether
// the batch certainly did not run. A result that does not belong to the batch
// ends the search with an error.
func (c *Client) Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	ctx, cancel := context.WithTimeout(ctx, b.Budget)
	defer cancel()
	out := batchToWire(&b, c.entryHost)
	out.BudgetUs = relayBudget(b.Budget).Microseconds()
	stream, err := c.relayClient(ctx).Search(ctx, out)
	if err != nil {
		return Error.New("search on relay %s: %w", c.address, err)
	}
	defer func() { _ = stream.Close() }()
	pending := requestedShards(&b)
	for len(pending) > 0 {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return Error.New("relay %s closed the stream with %d shards missing", c.address, len(pending))
		}
		if err != nil {
			return Error.New("receive results from relay %s: %w", c.address, err)
		}
		r := resultFromWire(m)
		if !pending[r.Key] || m.RequestId != b.RequestID || r.Snapshot != b.Snapshot {
			return Error.New("relay %s sent an unexpected result: shard %s of request %q, snapshot %d",
				c.address, r.Key, m.RequestId, r.Snapshot)
		}
		delete(pending, r.Key)
		emit(r)
	}
	_, _ = stream.Recv() // reads the end of the stream, so that the connection can be reused
	return nil
}

func requestedShards(b *query.Batch) map[query.ShardKey]bool {
	shards := make(map[query.ShardKey]bool)
	for _, p := range b.Parts {
		for _, shard := range p.Shards {
			shards[query.ShardKey{Service: p.Service, Shard: shard}] = true
		}
	}
	return shards
}

// Reserve implements claim.Reserver. A lost call has the outcome Unknown;
// NotSent requires that the other host certainly did not receive it.
func (c *Client) Reserve(ctx context.Context, r query.ReserveRequest) query.Reservation {
	failed := query.Reservation{
		RequestID: r.RequestID, ReservationID: r.ReservationID,
		Outcome: outcome.NotSent, Reason: query.ReasonNoRelay,
	}
	if r.Budget <= 0 || ctx.Err() != nil {
		failed.Reason = query.ReasonBudget
		return failed
	}
	ctx, cancel := context.WithTimeout(ctx, r.Budget)
	defer cancel()
	reply, err := c.relayClient(ctx).Reserve(ctx, &peerpb.ReserveRequest{
		RequestId: r.RequestID, Caller: r.Caller, ReservationId: r.ReservationID,
		Service: r.Service, Item: r.Item, BudgetUs: relayBudget(r.Budget).Microseconds(),
	})
	if err != nil {
		if !peer.NotRun(err) {
			failed.Outcome, failed.Reason = outcome.Unknown, query.ReasonConnection
		}
		return failed
	}
	if reply.RequestId != r.RequestID || reply.ReservationId != r.ReservationID {
		failed.Outcome, failed.Reason = outcome.Unknown, query.ReasonBadAnswer
		return failed
	}
	return replyFromWire(reply)
}
