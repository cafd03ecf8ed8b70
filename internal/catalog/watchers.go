package catalog

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// levels is how many levels of watchers a failure domain has. Those of level 0
// watch always; those of a higher level stand in when no watcher of a lower
// one hears the platform. Each level has as many hosts as all below it.
const levels = 4

// watchRank returns the place of the host among the usable hosts of its failure
// domain in the order of watchers, from 0. The order is that of a hash of the
// host id (rendezvous hashing), so a host that comes or goes moves no other.
func watchRank(self member.Host, hosts []member.Host) int {
	own, rank := watchScore(self), 0
	for _, h := range hosts {
		if h.ID == self.ID || h.FailureDomain != self.FailureDomain || !h.Usable() {
			continue
		}
		if s := watchScore(h); s > own || s == own && h.ID < self.ID {
			rank++
		}
	}
	return rank
}

func watchScore(h member.Host) uint64 { return xxhash.Sum64String("watch/" + h.ID) }

// levelOf returns the level of the host with the given rank in the order of
// watchers, where n hosts are of level 0; levels if it is of none.
func levelOf(rank, n int) int {
	l := 0
	for ; l < levels && rank >= n; l++ {
		n *= 2
	}
	return l
}

// lastHeard is when the platform was last heard, as far as known here, by the
// level of the watchers that heard it; zero: never. An answer counts from the
// moment at which it was asked for.
//
// A host that stands in looks at the answers to lower levels only. If those to
// itself counted, it would stop as soon as it succeeds.
type lastHeard [levels]time.Time

// record notes an answer to a watcher of the level.
func (h *lastHeard) record(level int, at time.Time) {
	if level < levels && at.After(h[level]) {
		h[level] = at
	}
}

// mustWatch reports whether a host of the level has to watch: no watcher of a
// lower level has heard the platform for the span, times the level so that
// the levels set in one after another. started counts while none has heard it
// at all.
func (h *lastHeard) mustWatch(level int, now, started time.Time, span time.Duration) bool {
	if level == 0 {
		return true
	}
	if level >= levels {
		return false
	}
	newest := started
	for _, at := range h[:level] {
		if at.After(newest) {
			newest = at
		}
	}
	return now.Sub(newest) > time.Duration(level)*span
}

// ages returns the ages of the answers in microseconds, -1 where there is none.
func (h *lastHeard) ages(now time.Time) []int64 {
	ages := make([]int64, levels)
	for l, at := range h {
		ages[l] = -1
		if !at.IsZero() {
			ages[l] = now.Sub(at).Microseconds()
		}
	}
	return ages
}
