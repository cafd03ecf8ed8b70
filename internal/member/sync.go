package member

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

const (
	// fullSyncAfter is how long this host's digest must differ from those of
	// all peers before it requests a full list. Changes usually spread in less
	// time.
	fullSyncAfter = 5 * time.Second
	// fullSyncIntervalPerHost is the minimum time between two full lists for
	// each host on them, so that the traffic is bounded for every fleet size.
	fullSyncIntervalPerHost = 20 * time.Millisecond
	// deadListedFor is how long after its death a full list includes a host.
	deadListedFor = 10 * time.Minute
)

// fullSync decides when to request a full list. Bounded messages suffice for
// the usual changes; when many hosts change at once, as after a partition
// between regions, they would take minutes.
//
// A host has one for its own failure domain and one for the other domains:
// hosts of a domain that all lack the same hosts have equal digests for a long
// time.
type fullSync struct {
	lastAgreed    time.Time // when the digest of a peer was last equal
	lastDue       time.Time // when a full list was last due
	differingPeer string    // address of the last peer if its digest differed, else empty
}

// compareDigest records whether a peer's digest equals that of this host.
func (m *Members) compareDigest(from *peerpb.HostInfo, digest uint64) {
	if from.GetId() == "" || from.Id == m.self.ID {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.ownDomainSync
	if from.FailureDomain != m.self.FailureDomain {
		s = &m.otherDomainsSync
	}
	s.differingPeer = from.Peer
	if digest == m.view.Load().digest {
		s.lastAgreed = time.Now()
		s.differingPeer = ""
	}
}

// due returns the peer to request a full list from, if one is due now.
func (s *fullSync) due(now time.Time, hosts int) (peer string, due bool) {
	if s.differingPeer == "" || now.Sub(s.lastAgreed) < fullSyncAfter {
		return "", false
	}
	if now.Sub(s.lastDue) < max(fullSyncAfter, time.Duration(hosts)*fullSyncIntervalPerHost) {
		return "", false
	}
	s.lastDue = now
	return s.differingPeer, true
}

// syncIfDue exchanges full lists with a peer if no peer's digest has been equal
// for a while, in the own failure domain or outside it. Traffic between domains
// is billed, so only a few hosts of a domain do the latter.
func (m *Members) syncIfDue(ctx context.Context, now time.Time) {
	n := m.hostCount()
	m.mu.Lock()
	own, ownDue := m.ownDomainSync.due(now, n)
	other, otherDue := m.otherDomainsSync.due(now, n)
	otherDue = otherDue && m.rng.Float64() < crossDomainProbability(m.table.countByDomain(m.self.FailureDomain))
	m.mu.Unlock()
	if ownDue {
		m.goroutines.Go(func() { m.syncWith(ctx, own) })
	}
	if otherDue {
		m.goroutines.Go(func() { m.syncWith(ctx, other) })
	}
}

// syncWith exchanges full lists with a peer. Failures are ignored: the next
// sync uses another peer.
func (m *Members) syncWith(ctx context.Context, peer string) {
	_ = m.exchangeWithin(ctx, listTimeout, kindSync, peer, &peerpb.ProbeRequest{All: true})
}
