package member

import (
	"context"

	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// DRPCProber is the Prober that sends probes over drpc.
type DRPCProber struct{ Dialer peer.Dialer }

// Probe calls the Members service of the host that listens on address.
func (d DRPCProber) Probe(ctx context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return peerpb.NewDRPCMembersClient(d.Dialer.Conn(ctx, address)).Probe(ctx, req)
}

// Register adds the Members service to the server of this host.
func (m *Members) Register(s *peer.Server) error {
	if err := peerpb.DRPCRegisterMembers(s, m); err != nil {
		return Error.New("register members service: %w", err)
	}
	return nil
}
