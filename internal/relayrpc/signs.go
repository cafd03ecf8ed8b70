package relayrpc

import (
	"context"

	"storj.io/drpc"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/relay"
)

var _ relay.Teller = Teller{}

// Teller carries signs of leaving targets to other hosts.
type Teller struct{ dialer peer.Dialer }

// NewTeller returns a teller over the connections of the dialer.
func NewTeller(d peer.Dialer) Teller { return Teller{d} }

// Tell implements relay.Teller.
func (t Teller) Tell(ctx context.Context, to member.Host, signs []relay.TargetSign) error {
	out := &peerpb.TargetSigns{Signs: make([]*peerpb.TargetSign, len(signs))}
	for i, s := range signs {
		out.Signs[i] = &peerpb.TargetSign{
			Service: s.Service, Target: s.Target, Incarnation: s.Incarnation, Sign: string(s.Sign),
		}
	}
	if _, err := peerpb.NewDRPCSignsClient(t.dialer.Conn(ctx, to.Peer)).Tell(ctx, out); err != nil {
		return Error.New("tell host %s of leaving targets: %w", to.ID, err)
	}
	return nil
}

// Listener takes the signs that other hosts saw; relay.Relay is one.
type Listener interface{ Told([]relay.TargetSign) }

// RegisterSigns adds the listener to the servers of a peer listener.
func RegisterSigns(mux drpc.Mux, l Listener) error {
	if err := peerpb.DRPCRegisterSigns(mux, signsServer{l}); err != nil {
		return Error.New("register signs: %w", err)
	}
	return nil
}

type signsServer struct{ listener Listener }

// Tell implements the drpc service.
func (s signsServer) Tell(_ context.Context, in *peerpb.TargetSigns) (*peerpb.TargetSignsNoted, error) {
	signs := make([]relay.TargetSign, len(in.Signs))
	for i, x := range in.Signs {
		signs[i] = relay.TargetSign{
			Service: x.GetService(), Target: x.GetTarget(), Incarnation: x.GetIncarnation(), Sign: relay.Sign(x.GetSign()),
		}
	}
	s.listener.Told(signs)
	return &peerpb.TargetSignsNoted{}, nil
}
