package member

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// lateMembers is a Members service that is set after its server has started,
// as the address on port 0 is not known before.
type lateMembers struct{ members atomic.Pointer[Members] }

func (l *lateMembers) register(s *peer.Server) error { return peerpb.DRPCRegisterMembers(s, l) }
func (l *lateMembers) set(m *Members)                { l.members.Store(m) }

func (l *lateMembers) Probe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	m := l.members.Load()
	if m == nil {
		return nil, Error.New("host is starting")
	}
	return m.Probe(ctx, req)
}

func TestHostsMeetOverSockets(t *testing.T) {
	is := is.New(t)
	first := startSocketHost(t, 0, "", peer.NewMetrics(nil), nil)
	defer first.stop()
	second := startSocketHost(t, 1, first.server.Addr(), peer.NewMetrics(nil), nil)
	defer second.stop()
	is.Equal(len(second.members.Hosts()), 2) // the list was taken at start
	is.Equal(len(first.members.Hosts()), 2)  // which told the first of the second
	second.members.Leave(t.Context())
	h, _ := first.members.Lookup(second.members.Self().ID)
	is.Equal(h.State, Leaving)
}
