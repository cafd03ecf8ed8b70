package member

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// join finds the other hosts. If every host keeps a record in the platform, it reads
// the records first. Otherwise it contacts only the peers, and joinFromRecords reads
// the records later.
func (m *Members) join(ctx context.Context) {
	if m.cfg.RecordHolders == 0 {
		m.refreshWithRetry(ctx)
	}
	m.joinPeers(ctx)
}

// Join requests are repeated, because a peer may itself be starting, or have no power
// yet.
const (
	// maxJoinWait is how long Start waits for the reply of a peer to a join request.
	// Running peers reply within a few milliseconds; a host without power would delay
	// the start by a whole probe timeout, and callers with it.
	maxJoinWait = 100 * time.Millisecond
	// joinRequestInterval is the time between the join requests to one peer and the
	// next. One reply is enough, and seeds have many to send.
	joinRequestInterval = 15 * time.Millisecond
	// joinRetryPeriod is how long after the start join requests are sent. Later the
	// probes find the peers.
	joinRetryPeriod = time.Second
	// listTimeout is the timeout of a request for a host list. It is long because a
	// peer that sends hundreds of lists over a narrow link is slow, and a second
	// request would only lengthen its queue.
	listTimeout = time.Second
)

// joinPeers sends join requests to hosts from the platform's records and to the seeds,
// one after another, until one replies. It returns after the first reply or after
// maxJoinWait; the requests continue in the background.
func (m *Members) joinPeers(ctx context.Context) {
	addresses := m.joinAddresses()
	ctx = context.WithoutCancel(ctx) // each exchange has its own timeout
	joined := make(chan struct{})
	m.goroutines.Go(func() { m.joinLoop(ctx, addresses, joined) })
	timer := time.NewTimer(maxJoinWait)
	defer timer.Stop()
	select {
	case <-joined:
	case <-timer.C: // start without a reply, with the hosts from the platform's records if any
	}
}

// joinAddresses returns the addresses of a few listed hosts, of dead hosts and of the
// seeds, in random order, so that hosts that start together distribute their requests
// over them.
func (m *Members) joinAddresses() []string {
	var addresses []string
	for _, h := range m.sampleLive(maxJoinHosts) {
		addresses = append(addresses, h.PeerAddress)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.reconnectTargets() {
		addresses = append(addresses, h.PeerAddress)
	}
	m.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// joinLoop sends a join request to one address after another, again to those that
// failed, and closes joined once one has succeeded or none is left to try. An address
// gets no second request while the first is in flight: when 295 hosts repeated their
// requests to three seeds every 120 ms, the replies queued at the seeds came to 295 MB.
func (m *Members) joinLoop(ctx context.Context, addresses []string, joined chan struct{}) {
	defer close(joined)
	began := time.Now()
	results := make(chan joinResult, len(addresses))
	inFlight := map[string]bool{}
	tick := time.NewTicker(joinRequestInterval)
	defer tick.Stop()
	for next := 0; len(addresses) > 0; next++ {
		address := addresses[next%len(addresses)]
		if !inFlight[address] && time.Since(began) < joinRetryPeriod {
			inFlight[address] = true
			m.goroutines.Go(func() { results <- joinResult{address, m.requestJoin(ctx, address)} })
		}
		if len(inFlight) == 0 {
			return
		}
		select {
		case a := <-results:
			if a.err == nil {
				return
			}
			delete(inFlight, a.address)
			<-tick.C
		case <-tick.C:
		}
	}
}

// joinResult is the result of the join request to an address.
type joinResult struct {
	address string
	err     error
}

// requestJoin requests from one peer the hosts that this host needs first.
func (m *Members) requestJoin(ctx context.Context, address string) error {
	return m.exchangeWithin(ctx, listTimeout, kindJoin, address, &peerpb.ProbeRequest{Join: true})
}

// startupSyncOffsets are the times after the start at which a host exchanges full lists
// with another one. When all hosts start together each has few others in its list at
// first, and the number known in a domain doubles with each round. Of 295 hosts in five
// domains 4 to 16 % lacked hosts of their own domain after 2 s with five rounds, and
// 0 to 2 % with these six (12 starts in virtual time).
var startupSyncOffsets = []time.Duration{
	50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond,
}

// crossDomainSyncOffset is the time after the start from which a few hosts of a failure
// domain exchange lists with hosts of other domains: by then a list has enough hosts to
// be worth the billed traffic.
const crossDomainSyncOffset = 500 * time.Millisecond

// startupSyncLoop exchanges full lists with a few hosts, mostly of the own failure
// domain, where traffic is not billed. It does so in every round, whether or not the
// digests differ: two hosts that know the same few hosts have equal digests, too.
func (m *Members) startupSyncLoop(ctx context.Context) {
	began := time.Now()
	for _, after := range startupSyncOffsets {
		if !await.Sleep(ctx, m.jittered(after)-time.Since(began)) {
			return
		}
		if peer, ok := m.startupSyncPeer(after >= crossDomainSyncOffset); ok {
			m.syncWith(ctx, peer.PeerAddress)
		}
	}
}

// startupSyncPeer returns the host to exchange full lists with. If crossDomain is set,
// a few hosts of each domain get a host of another domain.
func (m *Members) startupSyncPeer(crossDomain bool) (update, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	domain := m.self.FailureDomain
	inDomain := func(own bool) func(*row) bool {
		return func(r *row) bool { return r.State != Dead && (r.FailureDomain == domain) == own }
	}
	own, otherDomains := m.table.countByDomain(domain)
	cross := own == 0 || crossDomain && m.rng.Float64() < crossDomainProbability(own, otherDomains)
	picked := m.table.sample(1, m.rng, inDomain(!cross))
	if len(picked) == 0 {
		return update{}, false
	}
	return picked[0], true
}

// Limits of the list that a starting host receives, in records.
const (
	// maxJoinHostsPerOtherDomain limits the hosts of each other failure domain. They
	// are those with the widest links, which gather results for other hosts.
	maxJoinHostsPerOtherDomain = 4
	// maxJoinHostsOwnDomain limits the hosts of the own failure domain. It covers 720
	// hosts in five domains.
	maxJoinHostsOwnDomain = 200
)

// joinList returns the hosts that a starting host of a failure domain needs first:
// those of its domain, and a few of each other one. For 295 hosts in five domains these
// are 6 KB; the full list is 25 KB.
func (t *table) joinList(domain string) []update {
	others := map[string][]update{}
	var out []update
	for _, r := range t.rows {
		switch {
		case r.unconfirmed || r.State == Dead:
		case r.FailureDomain != domain:
			others[r.FailureDomain] = append(others[r.FailureDomain], r.update)
		case len(out) < maxJoinHostsOwnDomain:
			out = append(out, r.update)
		}
	}
	for _, list := range others {
		slices.SortFunc(list, func(a, b update) int {
			return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.ID, b.ID))
		})
		out = append(out, list[:min(len(list), maxJoinHostsPerOtherDomain)]...)
	}
	return out
}
