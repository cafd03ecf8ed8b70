package catalog

import "time"

// freshness tracks whether this host is stale: whether it may have missed a
// change that is in force elsewhere.
//
// A host is fresh, which means not stale, while the newest response from the
// platform or from a peer that is itself fresh is younger than the limit. The age of a
// response is counted from the time at which its request was sent: a response
// that waited in a socket buffer while the process was stopped is as old as its
// request. All times are readings of one clock.Clock, which also advances while
// the machine is suspended.
//
// If the platform is down and the network fails for longer than the limit, all
// hosts are stale at once, and there is no fresh peer to recover from. So a
// stale host also becomes fresh once it has pulled the configuration, itself
// counted, of more than half of the hosts that the membership had when it was last fresh.
type freshness struct {
	limit       time.Duration
	confirmedAt time.Time       // when the request of the newest accepted response was sent; zero: never
	hostCount   int             // hosts in the membership at confirmedAt
	stalePeers  map[string]bool // stale peers that were pulled from since this host became stale
}

func newFreshness(limit time.Duration) *freshness {
	return &freshness{limit: limit, stalePeers: map[string]bool{}}
}

// stale reports whether the newest accepted response is too old, or there was none yet.
func (f *freshness) stale(now time.Time) bool {
	return f.confirmedAt.IsZero() || now.Sub(f.confirmedAt) > f.limit
}

// confirm records a response of the platform or of a fresh peer to a request
// sent at the given time. hosts is the current number of hosts, this one included.
func (f *freshness) confirm(sentAt time.Time, hosts int) {
	if !sentAt.After(f.confirmedAt) {
		return
	}
	f.confirmedAt, f.hostCount = sentAt, hosts
	clear(f.stalePeers)
}

// confirmStale records a response of a stale peer to a request sent at the
// given time.
func (f *freshness) confirmStale(peer string, sentAt time.Time) {
	if f.hostCount == 0 || !f.stale(sentAt) {
		return
	}
	f.stalePeers[peer] = true
	if 2*(len(f.stalePeers)+1) > f.hostCount {
		f.confirm(sentAt, f.hostCount)
	}
}
