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

// rank returns the place of the host among the usable hosts of its failure
// domain in the order of watchers, from 0. The order is that of a hash of the
// host id (rendezvous hashing), so a host that comes or goes moves no other.
func rank(self member.Host, hosts []member.Host) int {
	own, place := watchScore(self), 0
	for _, h := range hosts {
		if h.ID == self.ID || h.FailureDomain != self.FailureDomain || !h.Usable() {
			continue
		}
		if s := watchScore(h); s > own || s == own && h.ID < self.ID {
			place++
		}
	}
	return place
}

func watchScore(h member.Host) uint64 { return xxhash.Sum64String("watch/" + h.ID) }

// level returns the level of the host with the given place in the order of
// watchers, where n hosts are of level 0; levels if it is of none.
func level(place, n int) int {
	l := 0
	for ; l < levels && place >= n; l++ {
		n *= 2
	}
	return l
}

// words are the dates of the newest answers of the platform known here, by
// the level of the watchers that got them; zero: none.
//
// A host that stands in looks at the words of lower levels only. If its own
// words counted, it would stop as soon as it succeeds.
type words [levels]time.Time

// hear takes an answer to a watcher of the level.
func (w *words) hear(level int, at time.Time) {
	if level < levels && at.After(w[level]) {
		w[level] = at
	}
}

// needed reports whether a host of the level has to watch: no watcher of a
// lower level has heard the platform for the span, times the level so that
// the levels set in one after another. started is the date that counts while
// there is no word.
func (w *words) needed(level int, now, started time.Time, span time.Duration) bool {
	if level == 0 {
		return true
	}
	if level >= levels {
		return false
	}
	newest := started
	for _, at := range w[:level] {
		if at.After(newest) {
			newest = at
		}
	}
	return now.Sub(newest) > time.Duration(level)*span
}

// ages returns the age of the words in microseconds, -1 where there is none.
func (w *words) ages(now time.Time) []int64 {
	ages := make([]int64, levels)
	for l, at := range w {
		ages[l] = -1
		if !at.IsZero() {
			ages[l] = now.Sub(at).Microseconds()
		}
	}
	return ages
}
