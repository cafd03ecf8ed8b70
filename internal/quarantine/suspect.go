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
	// leastCallers is how many callers the strikes must be of to put the requests of anyone
	// into quarantine: what one caller asks may end targets for that caller alone.
	leastCallers = 2
	// holdGrowth is how many times longer each further quarantine lasts.
	holdGrowth = 4
	// longestHold bounds a quarantine.
	longestHold = 7 * 24 * time.Hour
	// remember is how long strikes count that put nothing into quarantine, and how long
	// after its end a quarantine is remembered, so that a request that comes once in hours
	// does not end a target each time.
	remember = 24 * time.Hour
	// rememberCleared is how long it is remembered that strikes were cleared: other hosts have
	// heard of it by then, and tell the old ones no more.
	rememberCleared = 10 * time.Minute
	// keptCleared bounds the cleared strikes that are remembered, to the newest.
	keptCleared = 16
	// keptStrikes bounds the strikes of one key, to the newest; the quarantine is at its
	// longest well before.
	keptStrikes = 8
	// mostServices bounds the services of a strike: a query of hundreds of shards is not told with
	// all of them, and two are enough to try it again at.
	mostServices = 8
)

// Strike is one time at which targets ended under a request.
type Strike struct {
	ID       uint64   // the same on every host that hears of it
	Caller   Caller   // of the request
	Services []string // of targets that ended, a few of them
	At       time.Time
}

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

// Stance is how attempts of a request are to be made. The greater is the stricter.
type Stance uint8

// Stances.
const (
	Free        Stance = iota // as those of any request
	Alone                     // one at a time, until one is answered
	Quarantined               // not at all
)

// suspect is what is held against the requests of one key.
type suspect struct {
	callers int      // that the strikes of a quarantine must be of
	strikes []Strike // by time
	// cleared are the ids of strikes that do not count any more. They are kept apart, as
	// another host may tell the strike later.
	cleared   []uint64
	clearedAt time.Time
}

func newSuspect(k Key) suspect {
	if k.OfAnyone() {
		return suspect{callers: leastCallers}
	}
	return suspect{callers: 1}
}

// add takes a strike, once. It reports whether that told anything new.
func (s *suspect) add(strike Strike) bool {
	same := func(one Strike) bool { return one.ID == strike.ID }
	if i := slices.IndexFunc(s.strikes, same); i >= 0 {
		return s.strikes[i].join(strike.Services)
	}
	if slices.Contains(s.cleared, strike.ID) {
		return false
	}
	s.strikes = append(s.strikes, strike)
	slices.SortStableFunc(s.strikes, func(a, b Strike) int { return a.At.Compare(b.At) })
	s.strikes = s.strikes[max(len(s.strikes)-keptStrikes, 0):]
	return slices.ContainsFunc(s.strikes, same)
}

// clear drops strikes, whether they are known or not. It reports whether any was not cleared yet.
func (s *suspect) clear(now time.Time, ids ...uint64) bool {
	cleared := false
	for _, id := range ids {
		if slices.Contains(s.cleared, id) {
			continue
		}
		s.cleared = append(s.cleared, id)
		s.clearedAt, cleared = now, true
	}
	s.cleared = s.cleared[max(len(s.cleared)-keptCleared, 0):]
	s.strikes = slices.DeleteFunc(s.strikes, func(one Strike) bool { return slices.Contains(s.cleared, one.ID) })
	return cleared
}

// answered drops the oldest strike: a target lived on that ran the request. Those of a request under
// which targets end now and then grow all the same.
func (s *suspect) answered(now time.Time) { s.clear(now, s.strikes[0].ID) }

// quarantinedUntil returns the end of the quarantine; the zero time if there was none. It begins
// with the strike that makes them enough, and anew with each one after its end. Strikes in between
// are those of hosts that did not know of it yet.
func (s *suspect) quarantinedUntil(hold time.Duration) time.Time {
	var until time.Time
	var callers []Caller
	for i, strike := range s.strikes {
		if !slices.Contains(callers, strike.Caller) {
			callers = append(callers, strike.Caller)
		}
		switch {
		case i+1 < mostStrikes || len(callers) < s.callers || strike.At.Before(until):
			continue
		case !until.IsZero():
			hold = min(hold*holdGrowth, longestHold)
		}
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
	if len(s.strikes) == 0 {
		return now.After(s.clearedAt.Add(rememberCleared))
	}
	from := s.last()
	if until := s.quarantinedUntil(hold); until.After(from) {
		from = until
	}
	return now.After(from.Add(remember))
}

// struck reports whether a target of the service ended under the request.
func (s *suspect) struck(service string) bool {
	return slices.ContainsFunc(s.strikes, func(one Strike) bool { return slices.Contains(one.Services, service) })
}
