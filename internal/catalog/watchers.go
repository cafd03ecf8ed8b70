package catalog

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/member"
)

// maxWidening bounds how many times the usual number of watchers a failure
// domain has while nobody hears the platform.
const maxWidening = 8

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

// watchers returns how many hosts of a failure domain watch the platform when
// its newest answer known to this host is of the given age: the usual number,
// doubled with each further span that passes without an answer.
func watchers(usual int, age, span time.Duration) int {
	widening := 1
	for age > span && widening < maxWidening {
		widening *= 2
		age -= span
	}
	return usual * widening
}
