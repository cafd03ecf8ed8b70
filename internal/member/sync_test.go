package member

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// twoViews is a Prober of a fleet in which one peer of the own failure domain holds
// the same hosts as the one that asks, and one of another domain does not.
type twoViews struct {
	near, far Host
	lists     atomic.Int32 // whole lists that the far peer was asked for
}

func (v *twoViews) Probe(_ context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	if address == v.near.Peer {
		return &peerpb.ProbeReply{Self: toInfo(update{Host: v.near}), Digest: req.Digest}, nil
	}
	if req.All {
		v.lists.Add(1)
	}
	return &peerpb.ProbeReply{Self: toInfo(update{Host: v.far}), Digest: ^req.Digest}, nil
}

// The hosts of a domain lacked the same hosts and agreed: none asked another domain
// for its list, and some were not known in it for half a minute.
func TestHostThatAgreesWithItsDomainTakesTheListOfAnother(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		peers := &twoViews{
			near: Host{ID: name(1), FailureDomain: "domain-0", Peer: address(1), State: Alive, Incarnation: 1},
			far:  Host{ID: name(2), FailureDomain: "domain-1", Peer: address(2), State: Alive, Incarnation: 1},
		}
		self := Host{ID: name(0), FailureDomain: "domain-0", Peer: address(0)}
		m := New(DefaultConfig(), self, downStore{}, peers, event.Discard(), nil)
		m.rng = fixed()
		net.change(func() { net.hosts[self.Peer] = m }) // ends with the test
		m.table.apply(update{Host: peers.near}, time.Now(), 0, m.rng)
		m.table.apply(update{Host: peers.far}, time.Now(), 0, m.rng)
		m.ownSync.agreed, m.othersSync.agreed = time.Now(), time.Now()
		_ = m.Start(context.Background()) // never fails
		time.Sleep(2 * time.Second)       // past the lists of the start
		peers.lists.Store(0)
		time.Sleep(2 * time.Minute)
		is.New(t).True(peers.lists.Load() > 0)
	})
}
