package rollouts

import (
	"context"

	"storj.io/drpc"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// Peers sends reports to other hosts.
type Peers interface {
	Report(ctx context.Context, to member.Host, report *peerpb.RolloutReport) (*peerpb.RolloutDirectives, error)
}

// Client sends reports over drpc.
type Client struct{ Dialer peer.Dialer }

// Report implements Peers.
func (c Client) Report(ctx context.Context, to member.Host, report *peerpb.RolloutReport) (*peerpb.RolloutDirectives, error) {
	reply, err := peerpb.NewDRPCRolloutsClient(c.Dialer.Conn(ctx, to.PeerAddress)).Report(ctx, report)
	if err != nil {
		return nil, Error.New("report to %s: %w", to.ID, err)
	}
	return reply, nil
}

// Ask asks a host what it knows of orders. The directives of one that does not decide have no share.
func Ask(ctx context.Context, c Client, host member.Host, orders []rollout.Order) ([]rollout.Directive, error) {
	question := &peerpb.RolloutReport{}
	for _, o := range orders {
		question.Evidence = append(question.Evidence, encodeEvidence(rollout.HostEvidence{ID: o.ID, Age: unknownAge}, nil))
	}
	reply, err := c.Report(ctx, host, question)
	if err != nil {
		return nil, err
	}
	var all []rollout.Directive
	for _, encoded := range reply.Directives {
		if d, ok := decodeDirective(encoded); ok {
			all = append(all, d)
		}
	}
	return all, nil
}

// Register registers the service with the mux of a peer listener.
func (k *Keeper) Register(mux drpc.Mux) error { return Error.Wrap(peerpb.DRPCRegisterRollouts(mux, k)) }

// Report serves a report of another host. A report without a host is a question of an operator's
// command: it has no evidence.
func (k *Keeper) Report(_ context.Context, in *peerpb.RolloutReport) (*peerpb.RolloutDirectives, error) {
	now := k.Clock.Now()
	out := &peerpb.RolloutDirectives{}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, encoded := range in.Evidence {
		e, ok := decodeEvidence(encoded)
		if !ok {
			continue
		}
		asked := e.ID
		if in.Host != "" {
			k.receive(now, process{in.Host, in.Incarnation}, e)
		} else if o := k.orders[asked.Service]; o != nil && o.Version == asked.Version {
			e.ID = o.ID // after a restore, hosts may know an earlier creation than the store
		}
		if d, ok := k.directiveFor(now, e.ID); ok {
			d.ID = asked
			out.Directives = append(out.Directives, encodeDirective(d))
		}
	}
	return out, nil
}
