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

// The relay's last word must be back before the asking host's own budget ends,
// so the relay is given a little less: what the way there and back takes, and
// never more than a part of a short budget.
const (
	hopMargin     = 3 * time.Millisecond
	hopMarginPart = 10
)

func relayBudget(d time.Duration) time.Duration { return d - min(hopMargin, d/hopMarginPart) }

// Client is the relay of another host.
type Client struct {
	dialer  peer.Dialer
	address string
	entry   string
}

// NewClient returns the relay of the host whose peer listener has the
// address. entry is the id of this host.
func NewClient(d peer.Dialer, address, entry string) *Client {
	return &Client{dialer: d, address: address, entry: entry}
}

func (c *Client) remote(ctx context.Context) peerpb.DRPCRelayClient {
	var conn drpc.Conn = c.dialer.Conn(ctx, c.address)
	return peerpb.NewDRPCRelayClient(conn)
}

// Search implements relay.Searcher. peer.NotRun tells of its error whether
// the batch certainly did not run. Results that are not of this batch are an
// error: the relay is not to be believed.
func (c *Client) Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	ctx, cancel := context.WithTimeout(ctx, b.Budget)
	defer cancel()
	out := batchToWire(&b, c.entry)
	out.BudgetUs = relayBudget(b.Budget).Microseconds()
	stream, err := c.remote(ctx).Search(ctx, out)
	if err != nil {
		return Error.New("ask relay %s: %w", c.address, err)
	}
	defer func() { _ = stream.Close() }()
	open := wanted(&b)
	for len(open) > 0 {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return Error.New("relay %s ended its answer %d shards early", c.address, len(open))
		}
		if err != nil {
			return Error.New("read from relay %s: %w", c.address, err)
		}
		r := resultFromWire(m)
		if !open[r.Key] || m.RequestId != b.RequestID || r.Snapshot != b.Snapshot {
			return Error.New("relay %s answered %s of request %q, snapshot %d, which was not asked",
				c.address, r.Key, m.RequestId, r.Snapshot)
		}
		delete(open, r.Key)
		emit(r)
	}
	_, _ = stream.Recv() // the end of the stream, so that its connection can be kept
	return nil
}

func wanted(b *query.Batch) map[query.ShardKey]bool {
	open := make(map[query.ShardKey]bool)
	for _, p := range b.Parts {
		for _, shard := range p.Shards {
			open[query.ShardKey{Service: p.Service, Shard: shard}] = true
		}
	}
	return open
}

// Reserve implements claim.Reserver. A call that was lost is Unknown; it is
// NotSent only if the other host certainly did not take it.
func (c *Client) Reserve(ctx context.Context, r query.Reserve) query.Reservation {
	lost := query.Reservation{
		RequestID: r.RequestID, ReservationID: r.ReservationID,
		Outcome: outcome.NotSent, Reason: query.ReasonNoRelay,
	}
	if r.Budget <= 0 || ctx.Err() != nil {
		lost.Reason = query.ReasonBudget
		return lost
	}
	ctx, cancel := context.WithTimeout(ctx, r.Budget)
	defer cancel()
	reply, err := c.remote(ctx).Reserve(ctx, &peerpb.ReserveRequest{
		RequestId: r.RequestID, Caller: r.Caller, ReservationId: r.ReservationID,
		Service: r.Service, Item: r.Item, BudgetUs: relayBudget(r.Budget).Microseconds(),
	})
	if err != nil {
		if !peer.NotRun(err) {
			lost.Outcome, lost.Reason = outcome.Unknown, query.ReasonConnection
		}
		return lost
	}
	if reply.RequestId != r.RequestID || reply.ReservationId != r.ReservationID {
		lost.Outcome, lost.Reason = outcome.Unknown, query.ReasonBadAnswer
		return lost
	}
	return replyFromWire(reply)
}
