package catalog

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// watcherLevels is the number of levels of watchers in a failure domain. Hosts of
// level 0 always watch; those of a higher level take over when no watcher of a
// lower level gets responses from the platform. Each level has as many hosts as
// all lower levels together.
const watcherLevels = 4

// watchRank returns the rank of the host among the usable hosts of its failure
// domain, from 0; hosts of low rank watch. The order is that of a hash of the
// host id (rendezvous hashing), so a host that joins or leaves does not change
// the relative order of the others.
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

// levelOf returns the watcher level of the host with the given rank, where n
// hosts are of level 0; it returns watcherLevels if the host is of no level.
func levelOf(rank, n int) int {
	l := 0
	for ; l < watcherLevels && rank >= n; l++ {
		n *= 2
	}
	return l
}

// answerTimes is the time of the newest known response of the platform to
// watchers of each level; zero: none. The time is that at which the request was
// sent.
//
// A host that has taken over considers only the responses to lower levels. If it
// counted those to itself, it would stop watching as soon as it succeeds.
type answerTimes [watcherLevels]time.Time

// record records a response to a watcher of the level.
func (h *answerTimes) record(level int, at time.Time) {
	if level < watcherLevels && at.After(h[level]) {
		h[level] = at
	}
}

// mustWatch reports whether a host of the level has to watch: no watcher of a
// lower level has received a response for more than level*takeoverAfter, so that
// the levels take over one after another. While no response is known, the time
// counts from started.
func (h *answerTimes) mustWatch(level int, now, started time.Time, takeoverAfter time.Duration) bool {
	if level == 0 {
		return true
	}
	if level >= watcherLevels {
		return false
	}
	newest := started
	for _, at := range h[:level] {
		if at.After(newest) {
			newest = at
		}
	}
	return now.Sub(newest) > time.Duration(level)*takeoverAfter
}

// ages returns the ages of the responses in microseconds, -1 where there is none.
func (h *answerTimes) ages(now time.Time) []int64 {
	ages := make([]int64, watcherLevels)
	for l, at := range h {
		ages[l] = -1
		if !at.IsZero() {
			ages[l] = now.Sub(at).Microseconds()
		}
	}
	return ages
}
