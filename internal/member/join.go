package member

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// join finds the other hosts. If only some hosts keep a record in the platform,
// the seeds are asked, and the platform only later, see joinByRecords.
func (m *Members) join(ctx context.Context) {
	if m.cfg.RecordHolders == 0 {
		m.readRecords(ctx)
	}
	m.joinPeers(ctx)
}

// Hosts that start together find each other by asking again: a peer may just be
// starting, too, or not have power yet.
const (
	// joinWait is how long a start waits for a peer to tell whom this host needs.
	// Peers that are up answer within a few milliseconds; one without power would
	// hold up the start for a probe's timeout, and callers with it.
	joinWait = 100 * time.Millisecond
	// joinStagger is the time between the questions to one peer and the next. One
	// answer is enough, and seeds have many to give.
	joinStagger = 15 * time.Millisecond
	// joinLongest is after what time the peers are left to the probes.
	joinLongest = time.Second
	// joinAnswer bounds one answer. It is generous: a peer that answers hundreds over
	// a narrow link is slow, and a second question would only lengthen its queue.
	joinAnswer = time.Second
)

// joinPeers asks hosts from the platform's records and the seeds, one after another,
// until one has told whom this host needs. It returns then, or once joinWait is over;
// the rest goes on.
func (m *Members) joinPeers(ctx context.Context) {
	addresses := m.joinAddresses()
	ctx = context.WithoutCancel(ctx) // each exchange has a timeout of its own
	joined := make(chan struct{})
	m.work.Go(func() { m.askInTurn(ctx, addresses, joined) })
	timer := time.NewTimer(joinWait)
	defer timer.Stop()
	select {
	case <-joined:
	case <-timer.C: // alone, or with what the platform lists, until one answers
	}
}

// joinAddresses returns a few known hosts and the seeds, in a random order, so that
// hosts that start together divide over them.
func (m *Members) joinAddresses() []string {
	var addresses []string
	for _, h := range m.live(joinFrom) {
		addresses = append(addresses, h.Peer)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.reconnectTargets() {
		addresses = append(addresses, h.Peer)
	}
	m.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// askInTurn asks one address after another, again those that failed, and closes joined
// once one has answered or none is left to ask. No address is asked while it still owes
// an answer: where 295 hosts asked three seeds again each 120 ms, the answers in the
// seeds' queues came to 295 MB.
func (m *Members) askInTurn(ctx context.Context, addresses []string, joined chan struct{}) {
	defer close(joined)
	began := time.Now()
	answers := make(chan answer, len(addresses))
	owing := map[string]bool{}
	tick := time.NewTicker(joinStagger)
	defer tick.Stop()
	for next := 0; len(addresses) > 0; next++ {
		address := addresses[next%len(addresses)]
		if !owing[address] && time.Since(began) < joinLongest {
			owing[address] = true
			m.work.Go(func() { answers <- answer{address, m.askToJoin(ctx, address)} })
		}
		if len(owing) == 0 {
			return
		}
		select {
		case a := <-answers:
			if a.err == nil {
				return
			}
			delete(owing, a.address)
			<-tick.C
		case <-tick.C:
		}
	}
}

// answer is what became of a question to an address.
type answer struct {
	address string
	err     error
}

// askToJoin asks one peer whom this host needs first.
func (m *Members) askToJoin(ctx context.Context, address string) error {
	return m.exchangeWithin(ctx, joinAnswer, kindJoin, address, &peerpb.ProbeRequest{Join: true})
}

// meetAfter are the times from the start at which a host trades whole lists with
// another one. Where all start together each knows few at first, and what a domain
// knows doubles with each round. Of 295 hosts in five domains 4 to 16 % lacked hosts of their
// own domain after 2 s with five rounds, 0 to 2 % with these six (12 starts in virtual time).
var meetAfter = []time.Duration{
	50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond,
}

// meetOthersFrom is the time from which a few hosts of a failure domain trade lists with
// hosts of other domains: by then a list is worth its bytes.
const meetOthersFrom = 500 * time.Millisecond

// meetDomain trades whole lists with a few hosts, mostly of the own failure domain, whose
// bytes are not paid for. It does so in every round: two that know the same few agree,
// too.
func (m *Members) meetDomain(ctx context.Context) {
	began := time.Now()
	for _, after := range meetAfter {
		if !await.Sleep(ctx, m.jittered(after)-time.Since(began)) {
			return
		}
		if peer, ok := m.toMeet(after >= meetOthersFrom); ok {
			m.trade(ctx, peer.Peer)
		}
	}
}

// toMeet returns the host to trade lists with. Once others is set a few hosts of each
// domain are to take one of another domain.
func (m *Members) toMeet(others bool) (update, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	domain := m.self.FailureDomain
	wanted := func(own bool) func(*row) bool {
		return func(r *row) bool { return r.State != Dead && (r.FailureDomain == domain) == own }
	}
	own, other := m.table.count(domain)
	cross := own == 0 || others && m.rng.Float64() < crossShare(own, other)
	picked := m.table.pick(1, m.rng, wanted(!cross))
	if len(picked) == 0 {
		return update{}, false
	}
	return picked[0], true
}

// Bounds of what a starting host is told, in records.
const (
	// joinOthers is how many hosts of each other failure domain it is told: those
	// with the widest links, which gather for others.
	joinOthers = 4
	// joinMost is how many of its own domain. It covers 720 hosts in five domains.
	joinMost = 200
)

// needed returns the hosts that a starting host of a failure domain needs first:
// those of its domain, and a few of each other. At 295 hosts in five domains that is
// 6 KB in place of 25 KB.
func (t *table) needed(domain string) []update {
	others := map[string][]update{}
	var out []update
	for _, r := range t.rows {
		switch {
		case r.unconfirmed || r.State == Dead:
		case r.FailureDomain != domain:
			others[r.FailureDomain] = append(others[r.FailureDomain], r.update)
		case len(out) < joinMost:
			out = append(out, r.update)
		}
	}
	for _, list := range others {
		slices.SortFunc(list, func(a, b update) int {
			return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.ID, b.ID))
		})
		out = append(out, list[:min(len(list), joinOthers)]...)
	}
	return out
}
