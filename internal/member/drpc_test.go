package member

import (
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/peer"
)

func TestHostsMeetOverSockets(t *testing.T) {
	is := is.New(t)
	first := startSocketHost(t, 0, "", peer.NewMetrics(nil), nil)
	defer first.stop()
	second := startSocketHost(t, 1, first.server.Addr(), peer.NewMetrics(nil), nil)
	defer second.stop()
	is.Equal(len(second.members.Hosts()), 2) // the second host received the list at start
	is.Equal(len(first.members.Hosts()), 2)  // the join request carried the second host's record
	second.members.Leave(t.Context())
	h, _ := first.members.Lookup(second.members.Self().ID)
	is.Equal(h.State, Leaving)
}
