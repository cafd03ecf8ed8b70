package catalog

import "time"

// freshness tells whether this host can still know of every change in force.
//
// It is fresh while the newest answer of the platform, or of a peer that is
// itself fresh, is younger than the limit. An answer is dated by the moment at
// which it was asked for: one that waited in a socket while the process was
// stopped is as old as the question. All times are readings of one clock.Clock,
// which goes on while the machine is suspended.
//
// When the platform is down and the network fails for longer than the limit,
// every host is stale at once, and no fresh one is left to begin from. So a
// stale host is fresh again also when it has taken the configuration of more
// than half of the hosts that it knew when it was last fresh, itself counted.
type freshness struct {
	limit     time.Duration
	confirmed time.Time       // date of the newest answer that counts; zero: never
	hosts     int             // known when it was last fresh
	heard     map[string]bool // stale peers heard since this host became stale
}

func newFreshness(limit time.Duration) *freshness {
	return &freshness{limit: limit, heard: map[string]bool{}}
}

// stale reports whether the newest answer is too old, or there never was one.
func (f *freshness) stale(now time.Time) bool {
	return f.confirmed.IsZero() || now.Sub(f.confirmed) > f.limit
}

// confirm notes an answer of the platform or of a fresh peer that was asked for
// at the given time. hosts is the number of hosts known, this one included.
func (f *freshness) confirm(asked time.Time, hosts int) {
	if !asked.After(f.confirmed) {
		return
	}
	f.confirmed, f.hosts = asked, hosts
	clear(f.heard)
}

// confirmStale notes an answer of a stale peer that was asked for at the given
// time.
func (f *freshness) confirmStale(peer string, asked time.Time) {
	if f.hosts == 0 || !f.stale(asked) {
		return
	}
	f.heard[peer] = true
	if 2*(len(f.heard)+1) > f.hosts {
		f.confirm(asked, f.hosts)
	}
}
