package relayrpc

import (
	"context"

	"storj.io/drpc"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/relay"
)

var _ relay.SignSender = SignSender{}

// SignSender sends signs of leaving targets to other hosts.
type SignSender struct{ dialer peer.Dialer }

// NewSignSender returns a SignSender over the connections of the dialer.
func NewSignSender(d peer.Dialer) SignSender { return SignSender{d} }

// SendSigns implements relay.SignSender.
func (t SignSender) SendSigns(ctx context.Context, to member.Host, signs []relay.TargetSign) error {
	out := &peerpb.TargetSigns{Signs: make([]*peerpb.TargetSign, len(signs))}
	for i, s := range signs {
		out.Signs[i] = &peerpb.TargetSign{
			Service: s.Service, Target: s.Target, Incarnation: s.Incarnation, Sign: string(s.Sign),
		}
	}
	if _, err := peerpb.NewDRPCSignsClient(t.dialer.Conn(ctx, to.PeerAddress)).Tell(ctx, out); err != nil {
		return Error.New("send target signs to host %s: %w", to.ID, err)
	}
	return nil
}

// SignReceiver receives the signs that other hosts observed. relay.Relay
// implements it.
type SignReceiver interface{ ReceiveSigns([]relay.TargetSign) }

// RegisterSigns registers the receiver with a peer listener.
func RegisterSigns(mux drpc.Mux, r SignReceiver) error {
	if err := peerpb.DRPCRegisterSigns(mux, signsServer{r}); err != nil {
		return Error.New("register signs: %w", err)
	}
	return nil
}

type signsServer struct{ receiver SignReceiver }

// Tell implements the drpc service.
func (s signsServer) Tell(_ context.Context, in *peerpb.TargetSigns) (*peerpb.TargetSignsNoted, error) {
	signs := make([]relay.TargetSign, len(in.Signs))
	for i, x := range in.Signs {
		signs[i] = relay.TargetSign{
			Service: x.GetService(), Target: x.GetTarget(), Incarnation: x.GetIncarnation(), Sign: relay.Sign(x.GetSign()),
		}
	}
	s.receiver.ReceiveSigns(signs)
	return &peerpb.TargetSignsNoted{}, nil
}
