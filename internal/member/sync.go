package member

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

const (
	// syncAfter is how long this host must agree with no peer before it asks
	// one for its whole list. News takes less than that to spread.
	syncAfter = 5 * time.Second
	// syncPerHost is the time between two whole lists, for each host on them,
	// so that the bytes a second are bounded whatever the fleet's size.
	syncPerHost = 20 * time.Millisecond
	// tellDead is for how long a whole list tells a death.
	tellDead = 10 * time.Minute
)

// fullSync decides when to ask for a whole list. Bounded messages carry the
// changes of ordinary days; when many hosts change at once, as after a cut
// between regions, they would take minutes.
//
// A host has one for its own failure domain and one for the others: hosts of a
// domain that all lack the same hosts agree with each other for long.
type fullSync struct {
	agreed time.Time // when the digest of a peer was last the same
	last   time.Time // when a whole list was last due
	peer   string    // address of the peer that differed last
}

// compareDigest notes whether a peer holds the same hosts.
func (m *Members) compareDigest(from *peerpb.HostInfo, digest uint64) {
	if from.GetId() == "" || from.Id == m.self.ID {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.ownSync
	if from.FailureDomain != m.self.FailureDomain {
		s = &m.othersSync
	}
	s.peer = from.Peer
	if digest == m.view.Load().digest {
		s.agreed = time.Now()
		s.peer = ""
	}
}

// due returns the peer to ask for its whole list now, if it is time.
func (s *fullSync) due(now time.Time, hosts int) (peer string, due bool) {
	if s.peer == "" || now.Sub(s.agreed) < syncAfter {
		return "", false
	}
	if now.Sub(s.last) < max(syncAfter, time.Duration(hosts)*syncPerHost) {
		return "", false
	}
	s.last = now
	return s.peer, true
}

// syncIfDue takes the whole list of a peer if this host has agreed with none
// for a while, in its own failure domain or outside it. Bytes between domains
// are paid for, so few hosts of a domain do the latter.
func (m *Members) syncIfDue(ctx context.Context, now time.Time) {
	n := m.size()
	m.mu.Lock()
	own, ownDue := m.ownSync.due(now, n)
	other, otherDue := m.othersSync.due(now, n)
	otherDue = otherDue && m.rng.Float64() < crossShare(m.table.count(m.self.FailureDomain))
	m.mu.Unlock()
	if ownDue {
		m.work.Go(func() { m.trade(ctx, own) })
	}
	if otherDue {
		m.work.Go(func() { m.trade(ctx, other) })
	}
}

// trade gives a peer the whole list of this host and takes the peer's. A failure is
// no matter: it is another peer next time.
func (m *Members) trade(ctx context.Context, peer string) {
	_ = m.exchangeWithin(ctx, joinAnswer, kindSync, peer, &peerpb.ProbeRequest{All: true})
}
