package quarantine

import (
	"slices"
	"time"
)

const (
	// quarantineStrikes is the number of strikes that quarantines a request. A request that happened
	// to be in flight at a target when another request ended the target has one strike. A second one
	// requires a target that ends just while the request runs there alone, a third one another such
	// coincidence.
	quarantineStrikes = 3
	// minCallersOfAnyone is the number of callers with strikes that quarantines the requests of any
	// caller: the request of one caller may end targets for that caller alone.
	minCallersOfAnyone = 2
	// holdGrowthFactor multiplies the duration with each further quarantine.
	holdGrowthFactor = 4
	// maxHold bounds the duration of a quarantine.
	maxHold = 7 * 24 * time.Hour
	// strikeRetention is how long strikes without a quarantine count, and how long after its end a
	// quarantine is remembered, so that a request that arrives once every few hours does not end a
	// target each time.
	strikeRetention = 24 * time.Hour
	// clearedRetention is how long cleared ids are kept: by then other hosts have received the
	// clear, and no longer send the old strikes.
	clearedRetention = 10 * time.Minute
	// maxCleared bounds the cleared ids that are kept, to the newest.
	maxCleared = 16
	// maxStrikes bounds the strikes of one key, to the newest; fewer suffice for the longest
	// quarantine.
	maxStrikes = 8
	// maxServices bounds the services of a strike: records of a query with hundreds of shards stay
	// small, and two services suffice to try the request again.
	maxServices = 8
)

// Strike records that one or more targets ended while they ran a request.
type Strike struct {
	ID       uint64   // the same on every host that receives the strike
	Caller   Caller   // that sent the request
	Services []string // of targets that ended, at most maxServices
	At       time.Time
}

// addServices adds services to a strike, and reports whether any was new.
func (s *Strike) addServices(services []string) bool {
	added := false
	for _, name := range services {
		if len(s.Services) < maxServices && !slices.Contains(s.Services, name) {
			s.Services = append(slices.Clip(s.Services), name)
			added = true
		}
	}
	return added
}

// Status is how attempts of a request are admitted. A greater value is stricter.
type Status uint8

// Stances.
const (
	Free        Status = iota // no restriction
	OneAtATime                // one attempt at a time, until one is answered
	Quarantined               // no attempts
)

// suspect is the state of the requests of one key.
type suspect struct {
	minCallers int      // callers with strikes that a quarantine requires
	strikes    []Strike // ordered by time
	// cleared are the ids of strikes that no longer count. They are kept because another host may
	// still send the strike.
	cleared   []uint64
	clearedAt time.Time
}

func newSuspect(k Key) suspect {
	if k.OfAnyone() {
		return suspect{minCallers: minCallersOfAnyone}
	}
	return suspect{minCallers: 1}
}

// add adds a strike unless it is known or cleared. It reports whether that changed the strikes.
func (s *suspect) add(strike Strike) bool {
	same := func(one Strike) bool { return one.ID == strike.ID }
	if i := slices.IndexFunc(s.strikes, same); i >= 0 {
		return s.strikes[i].addServices(strike.Services)
	}
	if slices.Contains(s.cleared, strike.ID) {
		return false
	}
	s.strikes = append(s.strikes, strike)
	slices.SortStableFunc(s.strikes, func(a, b Strike) int { return a.At.Compare(b.At) })
	s.strikes = s.strikes[max(len(s.strikes)-maxStrikes, 0):]
	return slices.ContainsFunc(s.strikes, same)
}

// clear removes strikes and marks their ids as cleared, known or not. It reports whether any id was
// new.
func (s *suspect) clear(now time.Time, ids ...uint64) bool {
	cleared := false
	for _, id := range ids {
		if slices.Contains(s.cleared, id) {
			continue
		}
		s.cleared = append(s.cleared, id)
		s.clearedAt, cleared = now, true
	}
	s.cleared = s.cleared[max(len(s.cleared)-maxCleared, 0):]
	s.strikes = slices.DeleteFunc(s.strikes, func(one Strike) bool { return slices.Contains(s.cleared, one.ID) })
	return cleared
}

// clearOldest clears the oldest strike, after a target ran the request and did not end. A request
// that ends targets only some of the times still accumulates strikes.
func (s *suspect) clearOldest(now time.Time) { s.clear(now, s.strikes[0].ID) }

// quarantinedUntil returns the end of the latest quarantine; the zero time if there was none. A
// quarantine begins with the strike that reaches the required number, and again with each strike
// after its end. Strikes in between come from hosts that had not received the quarantine yet and do
// not extend it.
func (s *suspect) quarantinedUntil(hold time.Duration) time.Time {
	var until time.Time
	var callers []Caller
	for i, strike := range s.strikes {
		if !slices.Contains(callers, strike.Caller) {
			callers = append(callers, strike.Caller)
		}
		switch {
		case i+1 < quarantineStrikes || len(callers) < s.minCallers || strike.At.Before(until):
			continue
		case !until.IsZero():
			hold = min(hold*holdGrowthFactor, maxHold)
		}
		until = strike.At.Add(hold)
	}
	return until
}

// lastStrikeAt returns the time of the newest strike. There must be one.
func (s *suspect) lastStrikeAt() time.Time { return s.strikes[len(s.strikes)-1].At }

// status returns how attempts of the request are admitted at a time.
func (s *suspect) status(now time.Time, hold time.Duration) Status {
	switch {
	case len(s.strikes) == 0:
		return Free
	case now.Before(s.quarantinedUntil(hold)):
		return Quarantined
	}
	return OneAtATime
}

// expired reports whether the state can be dropped.
func (s *suspect) expired(now time.Time, hold time.Duration) bool {
	if len(s.strikes) == 0 {
		return now.After(s.clearedAt.Add(clearedRetention))
	}
	from := s.lastStrikeAt()
	if until := s.quarantinedUntil(hold); until.After(from) {
		from = until
	}
	return now.After(from.Add(strikeRetention))
}

// hasStrikeOf reports whether a target of the service ended while it ran the request.
func (s *suspect) hasStrikeOf(service string) bool {
	return slices.ContainsFunc(s.strikes, func(one Strike) bool { return slices.Contains(one.Services, service) })
}
