// Package gatherrpc is the drpc transport by which one host gathers a query over
// shards for another. Messages carry remaining durations instead of times of day,
// so that the clocks of the hosts need not agree. The gathering itself is in
// internal/gateway. Begin reading at Client.Gather and Server.Gather.
package gatherrpc

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"storj.io/drpc"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// Error is the class of this package's errors.
var Error = errs.Class("gather")

// Gatherer gathers queries for other hosts.
type Gatherer interface {
	GatherFor(ctx, enough context.Context, q gateway.Query, p gateway.Progress, goOn *atomic.Bool) gateway.Gathered
}

// Server receives queries of other hosts and answers them with a Gatherer.
type Server struct {
	gatherer Gatherer
	clock    *clock.Clock // for the ages of quarantine records
}

// NewServer returns a server that answers queries with g.
func NewServer(g Gatherer, c *clock.Clock) *Server { return &Server{gatherer: g, clock: c} }

// Register registers the service with the mux of a peer listener.
func (s *Server) Register(mux drpc.Mux) error {
	return Error.Wrap(peerpb.DRPCRegisterGather(mux, s))
}

// Gather implements the drpc service.
func (s *Server) Gather(stream peerpb.DRPCGather_GatherStream) error {
	in, err := stream.Recv()
	if err != nil {
		return Error.New("read query: %w", err)
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	enough, signalEnough := context.WithCancel(context.WithoutCancel(ctx))
	defer signalEnough()
	var goOn atomic.Bool
	send := func(m *peerpb.GatherReply) bool {
		if err := stream.Send(m); err != nil {
			cancel() // the requesting host can't receive the result
			return false
		}
		return true
	}
	progress := gateway.Progress{
		Accepted: func(load int) bool {
			if !send(&peerpb.GatherReply{Taken: true, Load: uint32(load)}) {
				return false
			}
			go receiveSignals(stream, &goOn, signalEnough)
			return true
		},
		Partial: func(partial gateway.Gathered) {
			m := gatheredToWire(&partial, s.clock.Now())
			m.Partial = true
			send(m)
		},
	}
	result := s.gatherer.GatherFor(ctx, enough, queryFromWire(in), progress, &goOn)
	return Error.Wrap(stream.Send(gatheredToWire(&result, s.clock.Now())))
}

// receiveSignals receives the signals of the requesting host until the stream ends. A message
// with GoOn sets goOn. The host closes its send direction when it has enough; any other error
// means that it has cancelled the query.
func receiveSignals(stream peerpb.DRPCGather_GatherStream, goOn *atomic.Bool, signalEnough func()) {
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			signalEnough()
		}
		if err != nil {
			return
		}
		if m.GoOn {
			goOn.Store(true)
		}
	}
}

// Client sends queries to other hosts, which gather them. It implements gateway.Helpers.
type Client struct {
	dialer peer.Dialer
	clock  *clock.Clock // for the ages of quarantine records
}

// NewClient returns a client over connections to other hosts.
func NewClient(d peer.Dialer, c *clock.Clock) *Client { return &Client{dialer: d, clock: c} }

// NotRun implements gateway.Helpers.
func (*Client) NotRun(err error) bool { return peer.NotRun(err) }

// Gather implements gateway.Helpers.
func (c *Client) Gather(ctx, enough context.Context, host member.Host, q gateway.Query, p gateway.Progress) (gateway.Gathered, error) {
	stream, err := peerpb.NewDRPCGatherClient(c.dialer.Conn(ctx, host.PeerAddress)).Gather(ctx)
	if err != nil {
		return gateway.Gathered{}, Error.New("open stream to %s: %w", host.ID, err)
	}
	defer func() { _ = stream.Close() }() // the result doesn't depend on it
	if err := stream.Send(queryToWire(&q)); err != nil {
		return gateway.Gathered{}, Error.New("send query to %s: %w", host.ID, err)
	}
	stop := context.AfterFunc(enough, func() { _ = stream.CloseSend() }) // fails only if the stream has ended
	defer stop()
	for {
		m, err := stream.Recv()
		if err != nil {
			return gateway.Gathered{}, Error.New("read from %s: %w", host.ID, err)
		}
		switch {
		case m.Taken:
			if !p.Accepted(int(m.Load)) {
				continue
			}
			if err := stream.Send(&peerpb.GatherRequest{GoOn: true}); err != nil && enough.Err() == nil {
				return gateway.Gathered{}, Error.New("send go-on to %s: %w", host.ID, err)
			}
		case m.Partial:
			got, err := gatheredFromWire(m, c.clock.Now())
			if err != nil {
				return got, err
			}
			p.Partial(got)
		default:
			return gatheredFromWire(m, c.clock.Now())
		}
	}
}

func queryToWire(q *gateway.Query) *peerpb.GatherRequest {
	out := &peerpb.GatherRequest{
		RequestId: q.RequestID, Caller: q.Caller, Method: q.Method, Uri: q.URI, Host: q.Host, Body: q.Body,
		Route: q.Route.Name, Shards: q.Route.Shards, TopK: uint32(q.Route.TopK), MostMissing: uint32(q.LossLimits.MaxLost), UntoldMissing: uint32(q.LossLimits.MaxUnreported),
		ObjectiveUs: q.Objective.Microseconds(), MaxAttempts: uint32(q.Route.MaxAttempts), Rank: int32(q.Route.Rank), Homes: q.Route.Homes,
		AnswerUs: q.AnswerIn.Microseconds(), BudgetUs: q.Budget.Microseconds(), Late: q.LateRetry, Asked: uint32(q.PriorAttempts),
	}
	for name, values := range q.Header {
		out.Header = append(out.Header, &peerpb.HeaderField{Name: name, Values: values})
	}
	return out
}

func queryFromWire(in *peerpb.GatherRequest) gateway.Query {
	header := make(http.Header, len(in.Header))
	for _, f := range in.Header {
		header[f.Name] = f.Values
	}
	return gateway.Query{
		RequestID: in.RequestId, Caller: in.Caller, Method: in.Method, URI: in.Uri, Host: in.Host, Header: header, Body: in.Body,
		Route: routing.Route{
			Name: in.Route, Host: in.Host, Idempotent: true, Shards: in.Shards, TopK: int(in.TopK),
			MaxAttempts: int(in.MaxAttempts), Rank: int(in.Rank), Homes: in.Homes,
		},
		LossLimits: gateway.LossLimits{MaxLost: int(in.MostMissing), MaxUnreported: int(in.UntoldMissing)}, Objective: peer.FromMicros(in.ObjectiveUs),
		AnswerIn: peer.FromMicros(in.AnswerUs), Budget: peer.FromMicros(in.BudgetUs), LateRetry: in.Late, PriorAttempts: int(in.Asked),
	}
}

func gatheredToWire(g *gateway.Gathered, now time.Time) *peerpb.GatherReply {
	return &peerpb.GatherReply{
		Signatures: g.Signatures, Records: g.Records, Outcome: g.Outcome.String(), Lacking: g.MissingShards, Reason: g.Reason,
		Attempts: uint32(g.Attempts), Cut: g.Cut, PartBytes: uint64(g.PartBytes), Failed: uint32(g.LostShards),
		Known: quarantine.AllToWire(g.QuarantineRecords, now),
	}
}

func gatheredFromWire(m *peerpb.GatherReply, now time.Time) (gateway.Gathered, error) {
	o, ok := outcome.Parse(m.Outcome)
	if !ok {
		return gateway.Gathered{}, Error.New("unknown outcome %q", m.Outcome)
	}
	return gateway.Gathered{
		Signatures: m.Signatures, Records: m.Records, Outcome: o, MissingShards: m.Lacking, Reason: m.Reason,
		Attempts: int(m.Attempts), Cut: m.Cut, PartBytes: int(m.PartBytes), LostShards: int(m.Failed),
		QuarantineRecords: quarantine.AllFromWire(m.Known, now),
	}, nil
}
