package quarantine

import (
	"slices"
	"time"
)

const (
	// mostStrikes is how many strikes put a request into quarantine. A request that was
	// in flight at a target by chance when another one ended it has one. A second one takes a
	// target that ends just while that request runs there alone, a third one another such.
	mostStrikes = 3
	// holdGrowth is how many times longer each further quarantine lasts.
	holdGrowth = 4
	// longestHold bounds a quarantine.
	longestHold = 7 * 24 * time.Hour
	// remember is how long strikes count that put nothing into quarantine, and how long
	// after its end a quarantine is remembered, so that a request that comes once in hours
	// does not end a target each time.
	remember = 24 * time.Hour
	// keptStrikes bounds the strikes of one request, to the newest; the quarantine is at its
	// longest well before.
	keptStrikes = 8
)

// Strike is one time at which targets ended under a request.
type Strike struct {
	ID       uint64   // the same on every host that hears of it
	Services []string // of targets that ended, a few of them
	At       time.Time
}

// mostServices bounds the services of a strike: a query of hundreds of shards is not told with
// all of them, and two are enough to try it again at.
const mostServices = 8

// join adds services to a strike. It reports whether any was new.
func (s *Strike) join(services []string) bool {
	joined := false
	for _, name := range services {
		if len(s.Services) < mostServices && !slices.Contains(s.Services, name) {
			s.Services = append(slices.Clip(s.Services), name)
			joined = true
		}
	}
	return joined
}

// Stance is how attempts of a request are to be made.
type Stance uint8

// Stances.
const (
	Free        Stance = iota // as those of any request
	Alone                     // one at a time, until one is answered
	Quarantined               // not at all
)

// suspect is what is held against the requests of one key.
type suspect struct {
	strikes []Strike  // by time
	cleared time.Time // strikes from before do not count
}

// add takes a strike, once. It reports whether that told anything new.
func (s *suspect) add(strike Strike) bool {
	same := func(one Strike) bool { return one.ID == strike.ID }
	if i := slices.IndexFunc(s.strikes, same); i >= 0 {
		return s.strikes[i].join(strike.Services)
	}
	if !strike.At.After(s.cleared) {
		return false
	}
	s.strikes = append(s.strikes, strike)
	slices.SortStableFunc(s.strikes, func(a, b Strike) int { return a.At.Compare(b.At) })
	s.strikes = s.strikes[max(len(s.strikes)-keptStrikes, 0):]
	return slices.ContainsFunc(s.strikes, same)
}

// clear drops the strikes up to a time.
func (s *suspect) clear(at time.Time) {
	if at.After(s.cleared) {
		s.cleared = at
	}
	s.strikes = slices.DeleteFunc(s.strikes, func(one Strike) bool { return !one.At.After(s.cleared) })
}

// quarantinedUntil returns the end of the quarantine; the zero time if there was none. It begins
// with the third strike, and anew with each one after its end. Strikes in between are those
// of hosts that did not know of it yet.
func (s *suspect) quarantinedUntil(hold time.Duration) time.Time {
	if len(s.strikes) < mostStrikes {
		return time.Time{}
	}
	until := s.strikes[mostStrikes-1].At.Add(hold)
	for _, strike := range s.strikes[mostStrikes:] {
		if strike.At.Before(until) {
			continue
		}
		hold = min(hold*holdGrowth, longestHold)
		until = strike.At.Add(hold)
	}
	return until
}

// last returns the time of the newest strike.
func (s *suspect) last() time.Time { return s.strikes[len(s.strikes)-1].At }

// stance returns how the request is to be treated at a time.
func (s *suspect) stance(now time.Time, hold time.Duration) Stance {
	switch {
	case len(s.strikes) == 0:
		return Free
	case now.Before(s.quarantinedUntil(hold)):
		return Quarantined
	}
	return Alone
}

// lapsed reports whether nothing need be remembered any more.
func (s *suspect) lapsed(now time.Time, hold time.Duration) bool {
	from := s.cleared
	if len(s.strikes) > 0 {
		from = s.last()
	}
	if until := s.quarantinedUntil(hold); until.After(from) {
		from = until
	}
	return now.After(from.Add(remember))
}

// struck reports whether a target of the service ended under the request.
func (s *suspect) struck(service string) bool {
	return slices.ContainsFunc(s.strikes, func(one Strike) bool { return slices.Contains(one.Services, service) })
}
