package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A cold target can serve a few requests per second from all hosts together, and fails above that. This bound
// is divided once among some of the hosts; each stays within its part in any second.

const (
	// coldWindowSpan is the span over which a host counts the requests it sent to a cold target: the second of
	// the bound, plus a margin for clock readings that are taken a little apart.
	coldWindowSpan = time.Second + 20*time.Millisecond
	// coldBoundFraction is the part of the bound that is divided among hosts.
	coldBoundFraction = 0.95
	// maxWarmers and minRequestsPerWarmer limit the hosts among which the bound of a cold target is divided: a
	// host with one or two requests per second could not use them at the moment its callers need them.
	maxWarmers           = 8
	minRequestsPerWarmer = 3
	// urgentFraction is the part of a host's requests to a cold target that is reserved for urgent requests.
	urgentFraction = 1.0 / 3
)

// DivideCold divides the requests per second that a cold target can serve among some of the hosts that send
// it work. It returns these hosts and how many requests each may send in any second, none if the bound is
// below one. The sum stays within the bound.
func DivideCold(bound float64, target string, hosts []string) (warmers []string, each int) {
	total := int(coldBoundFraction * bound)
	if total < 1 || len(hosts) == 0 {
		return nil, 0
	}
	n := min(len(hosts), maxWarmers, max(total/minRequestsPerWarmer, 1))
	hash := func(host string) uint64 { return xxhash.Sum64String(target + "/" + host) }
	ranked := slices.SortedFunc(slices.Values(hosts), func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	return ranked[:n], total / n
}

// ColdWindow counts the requests that one host sent to one cold target in the last second. The zero
// ColdWindow is empty.
type ColdWindow struct{ sent []time.Time }

// Room returns how many more requests the host may send now, with limit requests in any second. Requests that
// are not urgent leave a part of the limit to urgent ones. The result can be negative.
func (w *ColdWindow) Room(now time.Time, limit int, urgent bool) int {
	w.expire(now)
	return coldLimit(limit, urgent) - len(w.sent)
}

// coldLimit returns how many requests, urgent or not, a host may send in any second.
func coldLimit(limit int, urgent bool) int {
	if urgent || limit <= 1 {
		return limit
	}
	return limit - max(int(urgentFraction*float64(limit)), 1)
}

// Next returns the earliest time at which the host may send another request; now if it may at once.
func (w *ColdWindow) Next(now time.Time, limit int, urgent bool) time.Time {
	room := w.Room(now, limit, urgent)
	if room > 0 || len(w.sent) == 0 {
		return now
	}
	return w.sent[min(-room, len(w.sent)-1)].Add(coldWindowSpan)
}

// Sent records a request sent now.
func (w *ColdWindow) Sent(now time.Time) { w.sent = append(w.sent, now) }

// expire removes the requests that are older than coldWindowSpan.
func (w *ColdWindow) expire(now time.Time) {
	expired := 0
	for expired < len(w.sent) && now.Sub(w.sent[expired]) >= coldWindowSpan {
		expired++
	}
	w.sent = append(w.sent[:0], w.sent[expired:]...)
}
