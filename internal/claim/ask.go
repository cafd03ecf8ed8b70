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

// AttemptState is what a host knows of one of its attempts.
type AttemptState struct {
	Known  bool // the host holds the attempt; if not, it was started anew or has forgotten
	Ended  bool // Reply is final
	NotRun bool // it did not run and never will
	Reply  query.Reservation
}

// Asker asks the host that a record names what became of its attempt. The
// host waits for the attempt's end as long as the budget of ctx lasts.
type Asker interface {
	Ask(ctx context.Context, host member.Host, reservationID, attempt string) (AttemptState, error)
}

// PeerAsker is the Asker that calls hosts over drpc.
type PeerAsker struct{ dialer peer.Dialer }

// NewPeerAsker returns an Asker that calls hosts through the dialer.
func NewPeerAsker(d peer.Dialer) *PeerAsker { return &PeerAsker{d} }

// Ask implements Asker.
func (p *PeerAsker) Ask(ctx context.Context, host member.Host, reservationID, attempt string) (AttemptState, error) {
	q := &peerpb.ClaimQuery{ReservationId: reservationID, AttemptId: attempt}
	if deadline, ok := ctx.Deadline(); ok {
		q.BudgetUs = (time.Until(deadline) - answerMargin).Microseconds()
	}
	st, err := peerpb.NewDRPCClaimsClient(p.dialer.Conn(ctx, host.Peer)).Ask(ctx, q)
	if err != nil {
		return AttemptState{}, Error.New("ask host %s: %w", host.ID, err)
	}
	return AttemptState{
		Known: st.GetKnown(), Ended: st.GetSettled(), NotRun: st.GetNeverSent(), Reply: fromReply(st.GetReply()),
	}, nil
}

// Ask answers other hosts; it makes Claims a peerpb.DRPCClaimsServer.
func (c *Claims) Ask(ctx context.Context, q *peerpb.ClaimQuery) (*peerpb.ClaimState, error) {
	id, err := parseID(q.GetReservationId())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.GetBudgetUs())*time.Microsecond)
	defer cancel()
	st := c.state(ctx, id.String(), q.GetAttemptId())
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
