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

// domainProber is a Prober that reaches two peers: the digest of the one in the
// own failure domain equals the sender's, that of the one in another domain
// differs.
type domainProber struct {
	sameDomain, otherDomain Host
	listRequests            atomic.Int32 // full lists requested from the peer in the other domain
}

func (v *domainProber) Probe(_ context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	if address == v.sameDomain.PeerAddress {
		return &peerpb.ProbeReply{Self: toInfo(update{Host: v.sameDomain}), Digest: req.Digest}, nil
	}
	if req.All {
		v.listRequests.Add(1)
	}
	return &peerpb.ProbeReply{Self: toInfo(update{Host: v.otherDomain}), Digest: ^req.Digest}, nil
}

// Guards against hosts of a domain that all lack the same hosts: their digests
// were equal, so none requested the list of another domain, and some hosts were
// missing for half a minute.
func TestHostThatAgreesWithItsDomainTakesTheListOfAnother(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		peers := &domainProber{
			sameDomain:  Host{ID: name(1), FailureDomain: "domain-0", PeerAddress: address(1), State: Alive, Incarnation: 1},
			otherDomain: Host{ID: name(2), FailureDomain: "domain-1", PeerAddress: address(2), State: Alive, Incarnation: 1},
		}
		self := Host{ID: name(0), FailureDomain: "domain-0", PeerAddress: address(0)}
		m := New(DefaultConfig(), self, downStore{}, peers, event.Discard(), nil)
		m.rng = fixedRand()
		net.withLock(func() { net.hosts[self.PeerAddress] = m }) // stopAll stops it
		m.table.apply(update{Host: peers.sameDomain}, time.Now(), 0, m.rng)
		m.table.apply(update{Host: peers.otherDomain}, time.Now(), 0, m.rng)
		m.ownDomainSync.lastAgreed, m.otherDomainsSync.lastAgreed = time.Now(), time.Now()
		_ = m.Start(context.Background()) // always returns nil
		time.Sleep(2 * time.Second)       // past the startup syncs
		peers.listRequests.Store(0)
		time.Sleep(2 * time.Minute)
		is.New(t).True(peers.listRequests.Load() > 0)
	})
}
