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
	// coldBoundSpan is the span in which the bound of a cold target holds.
	coldBoundSpan = time.Second
	// maxArrivalDelay is how long after an attempt was given up its request may
	// still arrive. It is longer than the delays that the soak and the benches add
	// to a connection, 60 ms at most.
	maxArrivalDelay = 100 * time.Millisecond
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

// ColdWindow counts the requests of one host that one cold target may have
// received in the last second. When a request arrives is not known: the host, the
// network or the target may stand still for any time before that. A request
// therefore counts from before it is sent until a second after it has certainly
// arrived, which its answer shows. The zero ColdWindow is empty.
type ColdWindow struct{ sends []*ColdSend }

// ColdSend is one request to a cold target.
type ColdSend struct{ countsUntil time.Time } // zero: it may not have arrived yet

// Answered records that the target has answered the request.
func (s *ColdSend) Answered(now time.Time) { s.countsUntil = now.Add(coldBoundSpan) }

// GivenUp records that the attempt ended without an answer.
func (s *ColdSend) GivenUp(now time.Time) {
	s.countsUntil = now.Add(maxArrivalDelay + coldBoundSpan)
}

// Room returns how many more requests the host may send now, with limit requests in any second. Requests that
// are not urgent leave a part of the limit to urgent ones. The result can be negative.
func (w *ColdWindow) Room(now time.Time, limit int, urgent bool) int {
	w.expire(now)
	return coldLimit(limit, urgent) - len(w.sends)
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
	if room > 0 || len(w.sends) == 0 {
		return now
	}
	ends := make([]time.Time, len(w.sends))
	for i, s := range w.sends {
		ends[i] = s.countsUntil
		if s.countsUntil.IsZero() {
			ends[i] = now.Add(coldBoundSpan) // if it is answered at once
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[min(-room, len(ends)-1)]
}

// Send records a request that is about to be sent. Answered or GivenUp must follow.
func (w *ColdWindow) Send() *ColdSend {
	s := &ColdSend{}
	w.sends = append(w.sends, s)
	return s
}

// expire removes the requests that no longer count.
func (w *ColdWindow) expire(now time.Time) {
	w.sends = slices.DeleteFunc(w.sends, func(s *ColdSend) bool {
		return !s.countsUntil.IsZero() && !now.Before(s.countsUntil)
	})
}
