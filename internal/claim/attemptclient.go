package claim

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// AttemptState is the state of an attempt as reported by the host that made it.
type AttemptState struct {
	Known  bool // false if the host has no such attempt: it restarted, or has evicted the attempt
	Ended  bool // Reply is final
	NotRun bool // the attempt did not run and never will
	Reply  query.Reservation
}

// AttemptClient queries the host named in a record for the state of its
// attempt. The host waits for the attempt to end for as long as the deadline of
// ctx allows.
type AttemptClient interface {
	QueryAttempt(ctx context.Context, host member.Host, reservationID, attempt string) (AttemptState, error)
}

// PeerAttemptClient is the AttemptClient that calls hosts over drpc.
type PeerAttemptClient struct{ dialer peer.Dialer }

// NewPeerAttemptClient returns a PeerAttemptClient that connects to hosts through the
// dialer.
func NewPeerAttemptClient(d peer.Dialer) *PeerAttemptClient { return &PeerAttemptClient{d} }

// QueryAttempt implements AttemptClient.
func (p *PeerAttemptClient) QueryAttempt(ctx context.Context, host member.Host, reservationID, attempt string) (AttemptState, error) {
	q := &peerpb.ClaimQuery{ReservationId: reservationID, AttemptId: attempt}
	if deadline, ok := ctx.Deadline(); ok {
		q.BudgetUs = (time.Until(deadline) - responseMargin).Microseconds()
	}
	st, err := peerpb.NewDRPCClaimsClient(p.dialer.Conn(ctx, host.PeerAddress)).Ask(ctx, q)
	if err != nil {
		return AttemptState{}, Error.New("query attempt on host %s: %w", host.ID, err)
	}
	return AttemptState{
		Known: st.GetKnown(), Ended: st.GetSettled(), NotRun: st.GetNeverSent(), Reply: fromReply(st.GetReply()),
	}, nil
}

// Ask serves attempt queries of other hosts. It makes Claims a
// peerpb.DRPCClaimsServer.
func (c *Claims) Ask(ctx context.Context, q *peerpb.ClaimQuery) (*peerpb.ClaimState, error) {
	id, err := parseID(q.GetReservationId())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.GetBudgetUs())*time.Microsecond)
	defer cancel()
	st := c.attemptState(ctx, id.String(), q.GetAttemptId())
	return &peerpb.ClaimState{
		Known: st.Known, Settled: st.Ended, NeverSent: st.NotRun, Reply: toReply(st.Reply),
	}, nil
}

func toReply(r query.Reservation) *peerpb.ReserveReply {
	return &peerpb.ReserveReply{
		Outcome: uint32(r.Outcome), Granted: r.Granted, Answer: r.Answer, Target: r.Target,
		Reason: string(r.Reason), RetryAfterUs: r.RetryAfter.Microseconds(),
	}
}

func fromReply(p *peerpb.ReserveReply) query.Reservation {
	o := outcome.Unknown
	if p.GetOutcome() <= uint32(outcome.Done) {
		o = outcome.Outcome(p.GetOutcome())
	}
	return query.Reservation{
		Outcome: o, Granted: p.GetGranted(), Answer: p.GetAnswer(), Target: p.GetTarget(),
		Reason: query.Reason(p.GetReason()), RetryAfter: time.Duration(p.GetRetryAfterUs()) * time.Microsecond,
	}
}
