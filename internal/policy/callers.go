package policy

import "time"

const (
	// defaultRoundTrip stands in for the round trip to a caller where the
	// network does not measure it. It is on the high side: an answer that leaves
	// a few milliseconds early loses little, a late one loses nearly everything.
	defaultRoundTrip = 12 * time.Millisecond
	// initialWriteLag is the initial estimate of the delay between the time an
	// answer is due and the time it is written: timer latency, merge and write.
	initialWriteLag = 3 * time.Millisecond
	// minWriteLag keeps the estimate above zero, so that it can grow again.
	minWriteLag = 500 * time.Microsecond
	// maxReserveFraction bounds the part of the objective that is reserved,
	// whatever was observed.
	maxReserveFraction = 0.5

	// lateSpentFraction is the part of the objective that, once spent before the
	// request arrived, makes the request late: too little is left to answer in
	// time.
	lateSpentFraction = 0.8
	// minRetryWaitFraction is the smallest remaining wait of a retry, as a part
	// of the wait at a first attempt. A caller with a shorter one has another
	// timeout and is not a late retry.
	minRetryWaitFraction = 0.25
	// maxWaitVotes bounds the votes for commonWait, so that as many requests
	// with another wait replace it after callers change their timeout.
	maxWaitVotes = 100
	// longestWaitDecay is the part by which the longest observed wait falls with
	// each request. That wait is used while no reused connection has shown the
	// common one.
	longestWaitDecay = 0.01
)

// Arrival describes a request as it was read from its caller.
type Arrival struct {
	At            time.Time
	RoundTrip     time.Duration // to the caller and back, variation included; 0: unknown
	RemainingWait time.Duration // remaining time that the caller waits for the answer; 0: not stated
	First         bool          // first request on its connection
}

// Callers estimates, for one route, how much of the objective is left when a
// request is read, and how much of it the way of the answer takes. An objective
// counts from the moment a caller wants its answer to the moment it has it;
// connection setup, an earlier attempt and the network spend part of it.
//
// It serves the load pattern of targets that pause or do not answer: every
// query that lacks a part is then answered at the last moment, and a fixed
// reserve that is too short for one deployment makes all these answers late.
type Callers struct {
	commonWait      time.Duration // most frequent remaining wait on reused connections
	commonWaitVotes int           // majority vote for commonWait
	longestWait     time.Duration // longest remaining wait observed, decaying
	writeLag        TailEstimate  // delay between the time an answer is due and the time it is written
}

// NewCallers returns the estimates of a route before its first request.
func NewCallers() Callers { return Callers{writeLag: NewTailEstimate(initialWriteLag, minWriteLag)} }

// Observe records an arrival. Call it before Late or AnswerBy for the same
// arrival.
func (c *Callers) Observe(a Arrival) {
	if a.RemainingWait <= 0 {
		return
	}
	c.longestWait = max(c.longestWait-time.Duration(longestWaitDecay*float64(c.longestWait)), a.RemainingWait)
	if a.First {
		return // connection setup or an earlier attempt may have spent part of its wait
	}
	switch {
	case a.RemainingWait == c.commonWait:
		c.commonWaitVotes = min(c.commonWaitVotes+1, maxWaitVotes)
	case c.commonWaitVotes > 0:
		c.commonWaitVotes--
	default:
		c.commonWait, c.commonWaitVotes = a.RemainingWait, 1
	}
}

// firstAttemptWait returns how long callers wait at their first attempt; 0:
// unknown.
func (c *Callers) firstAttemptWait() time.Duration {
	if c.commonWaitVotes > 0 {
		return c.commonWait
	}
	return c.longestWait
}

// Spent returns how long before sending the request the caller began to wait.
func (c *Callers) Spent(a Arrival) time.Duration {
	if !a.First {
		return 0
	}
	connectTime := a.RoundTrip
	if a.RemainingWait <= 0 || !c.mayBeRetry(a) {
		return connectTime
	}
	return max(c.firstAttemptWait()-a.RemainingWait, connectTime)
}

// mayBeRetry reports whether the remaining wait is long enough for a retry by a
// caller with the common timeout.
func (c *Callers) mayBeRetry(a Arrival) bool {
	return a.RemainingWait > time.Duration(minRetryWaitFraction*float64(c.firstAttemptWait()))
}

// Late reports whether the caller spent most of the objective before it sent
// the request, because an earlier attempt was refused or lost.
func (c *Callers) Late(a Arrival, objective time.Duration) bool {
	return objective > 0 && a.RemainingWait > 0 && c.Spent(a) > time.Duration(lateSpentFraction*float64(objective))
}

// AnswerBy returns when an answer that lacks parts must leave to reach its
// caller within the objective. For a late request the objective counts from its
// arrival.
func (c *Callers) AnswerBy(a Arrival, objective time.Duration) time.Time {
	reserved := a.RoundTrip
	if reserved <= 0 {
		reserved = defaultRoundTrip
	}
	reserved += c.writeLag.Estimate()
	if !c.Late(a, objective) {
		reserved += c.Spent(a)
	}
	return a.At.Add(objective - min(reserved, time.Duration(maxReserveFraction*float64(objective))))
}

// ObserveWriteLag records the delay between the time an answer that lacks parts was due
// and the time it was written.
func (c *Callers) ObserveWriteLag(lag time.Duration) { c.writeLag.Observe(lag) }
