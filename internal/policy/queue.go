package policy

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	// DefaultCapacity is the maximum length of the queue of one urgency class.
	DefaultCapacity = 1024
	// DefaultDeferrableShare grants at least one deferrable request in this many
	// grants while one waits.
	DefaultDeferrableShare = 16
	// DefaultQueueWait bounds the wait of a deferrable request.
	DefaultQueueWait = time.Second
	// DefaultQueueDelay is the work, in time, that may wait permanently in the
	// interactive class.
	DefaultQueueDelay = 50 * time.Millisecond

	// A queue is short if it is no longer than minShortLength or than the work
	// of QueueDelay. It is standing if it has not been short for longer than
	// maxBurstSpan.
	minShortLength = 4
	maxBurstSpan   = 100 * time.Millisecond

	// saturatedServiceTimes is how many mean service times requests must have
	// waited without a break for the targets to be saturated.
	saturatedServiceTimes = 3

	// maxIntervalGrowth is the time without a grant, as a multiple of the mean
	// interval, up to which grants are slow. Beyond it they have stopped: the
	// targets or the host stand still.
	maxIntervalGrowth = 8

	overloadSpan            = 250 * time.Millisecond // for which a class counts as overloaded after an eviction
	smoothingWeight         = 0.1                    // weight of the newest sample in a moving average
	maxMeanGrants           = 10                     // intervals of equal weight in the mean between grants, before the oldest fade
	serviceTimeDecayDivisor = 100                    // each refusal decided by the service time lowers its mean by 1/100
)

// QueueConfig configures a queue. Zero fields take the defaults.
type QueueConfig struct {
	Capacity        int           // maximum length of a class
	DeferrableShare int           // at least one deferrable in so many grants
	QueueWait       time.Duration // maximum wait of a deferrable request
	QueueDelay      time.Duration // work that may wait in the interactive class
	Ranked          bool          // under overload the lowest ranks stay, not the first to arrive
}

func (c QueueConfig) withDefaults() QueueConfig {
	if c.Capacity <= 0 {
		c.Capacity = DefaultCapacity
	}
	if c.DeferrableShare <= 0 {
		c.DeferrableShare = DefaultDeferrableShare
	}
	if c.QueueWait <= 0 {
		c.QueueWait = DefaultQueueWait
	}
	if c.QueueDelay <= 0 {
		c.QueueDelay = DefaultQueueDelay
	}
	return c
}

// Waiter is a request that waits for a slot at a target.
type Waiter[T any] struct {
	Item     T
	Urgency  query.Urgency
	Rank     float64   // see Rank: of the whole request, not of its shard
	Deadline time.Time // of the request
	Evicted  bool      // set by the queue: refused for overload, not for its deadline

	joinedAt time.Time
}

// Admission is the result of Push: Admitted, or the time after which to retry.
type Admission struct {
	Admitted     bool
	ExpectedWait time.Duration
	RetryAfter   time.Duration // without jitter; see RetryAfter
}

// Queue holds the requests that wait for a slot at the targets of a replica
// set. It refuses at once what it could not grant in time, grants interactive
// before deferrable requests, and never starves deferrable ones.
//
// A burst may wait. A standing queue is trimmed to a short one: the last
// requests to arrive are refused, before anything has run for them, so that the
// host that gathers their query can withdraw its other shards from other queues
// in time. Where nothing withdraws them, Ranked refuses the same queries in all
// queues.
type Queue[T any] struct {
	cfg                   QueueConfig
	interactive           waitList[T]
	deferrable            waitList[T]
	evicted               []*Waiter[T]
	grantsSinceDeferrable int           // grants since the last deferrable one, while one waited
	grantInterval         time.Duration // mean time between two grants while requests wait
	grants                int           // intervals in that mean, at most maxMeanGrants
	serviceTime           time.Duration // mean time from grant to answer
	lastGrant             time.Time
	lastEmptyAt           time.Time // when the queue was last empty
}

// NewQueue returns an empty queue.
func NewQueue[T any](cfg QueueConfig) *Queue[T] { return &Queue[T]{cfg: cfg.withDefaults()} }

// Push adds w to the queue; it is granted by Pop, also when a slot is free.
// Push refuses w at once when the expected wait and the service time exceed its
// deadline, or when there is no room. It may evict other requests, by rank or
// because the queue has become a standing one; see Evictions.
func (q *Queue[T]) Push(now time.Time, w *Waiter[T]) Admission {
	wait := q.expectedWait(now, w)
	if q.tooLate(now.Add(wait), w) {
		return Admission{ExpectedWait: wait, RetryAfter: wait}
	}
	c := q.class(w.Urgency)
	w.joinedAt, w.Evicted = now, false
	q.recordEmpty(now)
	c.add(w)
	q.trim(now, w.Urgency)
	if w.Evicted {
		removeWaiter(&q.evicted, w)
		return Admission{ExpectedWait: wait, RetryAfter: max(wait, q.drainTime(c))}
	}
	return Admission{Admitted: true, ExpectedWait: wait}
}

// trim evicts requests of a class until it has room for the next one.
func (q *Queue[T]) trim(now time.Time, u query.Urgency) {
	c := q.class(u)
	c.recordLength(now, q.shortLength(u))
	room := q.cfg.Capacity
	if c.overloaded(now) || c.standing(now.Add(-q.stall(now.Sub(q.waitingSince(now))))) {
		room = q.shortLength(u)
	}
	for c.len() > room {
		c.lastEvictionAt = now
		out := c.evict(q.cfg.Ranked)
		out.Evicted = true
		q.evicted = append(q.evicted, out)
	}
}

// Evictions removes and returns the evicted requests, to be refused at once.
func (q *Queue[T]) Evictions() []*Waiter[T] {
	out := q.evicted
	q.evicted = nil
	return out
}

// Expire removes and returns the requests that can no longer be served by their
// deadline, the deferrable ones that waited as long as they may, and those of
// Evictions, all to be refused at once.
func (q *Queue[T]) Expire(now time.Time) []*Waiter[T] {
	late := func(w *Waiter[T]) bool { return q.tooLate(now, w) || q.overdue(now, w) }
	out := q.Evictions()
	out = append(out, q.interactive.removeIf(late)...)
	return append(out, q.deferrable.removeIf(late)...)
}

// Pop grants and returns the next request that fits; fits may be nil. It
// returns nil if there is none. Requests that do not fit keep their position.
func (q *Queue[T]) Pop(now time.Time, fits func(T) bool) *Waiter[T] {
	first, second := &q.interactive, &q.deferrable
	if q.deferrableDue() {
		first, second = second, first
	}
	w := first.removeNext(q.servesByRank(now, first), fits)
	if w == nil {
		w = second.removeNext(q.servesByRank(now, second), fits)
	}
	if w != nil {
		q.recordGrant(now, w)
		q.class(w.Urgency).recordLength(now, q.shortLength(w.Urgency))
		q.recordEmpty(now)
	}
	return w
}

// Remove removes a request whose caller gave up, and returns false if it was
// granted or returned as refused before.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	return q.interactive.remove(w) || q.deferrable.remove(w) || removeWaiter(&q.evicted, w)
}

// Served records the time from grant to answer of a request.
func (q *Queue[T]) Served(latency time.Duration) { q.serviceTime = smooth(q.serviceTime, latency) }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.interactive.len() + q.deferrable.len() }

// Saturated reports whether the targets have had no free slot for longer than a
// few service times. A request that waits for the next answer does not count as
// saturation. While the targets are saturated, extra attempts only take slots
// from other requests.
func (q *Queue[T]) Saturated(now time.Time) bool {
	if q.interactive.overloaded(now) || q.deferrable.overloaded(now) {
		return true
	}
	return q.Len() > 0 && now.Sub(q.lastEmptyAt) > saturatedServiceTimes*q.serviceTime
}

// recordEmpty updates lastEmptyAt; it is called before and after each change.
func (q *Queue[T]) recordEmpty(now time.Time) {
	if q.Len() == 0 {
		q.lastEmptyAt = now
	}
}

// Paused excludes a pause of the host, which has just ended, from what the queue
// measures: the time since the last grant, the waits of the requests, and how
// long the queue was not empty or not short. It is called before any other
// method is used after the pause.
func (q *Queue[T]) Paused(d time.Duration) {
	q.lastGrant = q.lastGrant.Add(d)
	q.lastEmptyAt = q.lastEmptyAt.Add(d)
	q.interactive.paused(d)
	q.deferrable.paused(d)
}

// ExpectedWait returns how long a request of the class that joins now, behind
// all others, would wait for its grant.
func (q *Queue[T]) ExpectedWait(now time.Time, u query.Urgency) time.Duration {
	return q.waitBehind(now, u, q.class(u).len())
}

// expectedWait is ExpectedWait for w, with its rank.
func (q *Queue[T]) expectedWait(now time.Time, w *Waiter[T]) time.Duration {
	c := q.class(w.Urgency)
	ahead := c.len()
	if q.servesByRank(now, c) {
		ahead = c.countBelow(w.Rank)
	}
	return q.waitBehind(now, w.Urgency, ahead)
}

// waitBehind returns the wait behind ahead requests of the own class, including
// the grants that go to the other class. A next grant that is late means that
// grants have slowed down, up to maxIntervalGrowth times. A longer time without
// a grant is a pause of the targets or of this host: it is expected to last as
// long again, but delays the next grant only.
func (q *Queue[T]) waitBehind(now time.Time, u query.Urgency, ahead int) time.Duration {
	if u == query.Deferrable {
		ahead += min(q.interactive.len(), (ahead+1)*(q.cfg.DeferrableShare-1))
	} else {
		ahead += min(q.deferrable.len(), ahead/q.cfg.DeferrableShare)
	}
	if ahead == 0 {
		return 0
	}
	sinceGrant := now.Sub(q.waitingSince(now))
	interval := min(max(q.grantInterval, sinceGrant), maxIntervalGrowth*q.grantInterval)
	return max(interval, sinceGrant) + time.Duration(ahead-1)*interval
}

// drainTime returns how long the targets need to serve a class.
func (q *Queue[T]) drainTime(c *waitList[T]) time.Duration {
	return time.Duration(c.len()) * q.grantInterval
}

// shortLength returns the maximum length of a short queue of the class.
func (q *Queue[T]) shortLength(u query.Urgency) int {
	work := q.cfg.QueueDelay
	if u == query.Deferrable {
		work = q.cfg.QueueWait
	}
	if q.grantInterval <= 0 {
		return q.cfg.Capacity
	}
	return min(max(int(work/q.grantInterval), minShortLength), q.cfg.Capacity)
}

func (q *Queue[T]) class(u query.Urgency) *waitList[T] {
	if u == query.Deferrable {
		return &q.deferrable
	}
	return &q.interactive
}

// servesByRank reports whether the class is granted by rank at the moment.
func (q *Queue[T]) servesByRank(now time.Time, c *waitList[T]) bool {
	return q.cfg.Ranked && c.overloaded(now)
}

// tooLate reports whether a request granted at that time cannot be served by
// its deadline; at the deadline itself it cannot, whatever the service time. A
// refusal decided by the mean service time lowers that mean a little: if the
// mean were too high, no request would be served any more to correct it.
func (q *Queue[T]) tooLate(granted time.Time, w *Waiter[T]) bool {
	if !granted.Before(w.Deadline) {
		return true
	}
	if !granted.Add(q.serviceTime).After(w.Deadline) {
		return false
	}
	q.serviceTime -= q.serviceTime / serviceTimeDecayDivisor
	return true
}

// waitingSince returns when the wait for the next grant began: the last grant
// or, if later, the first arrival among the waiting requests.
func (q *Queue[T]) waitingSince(now time.Time) time.Time {
	since := now
	for _, c := range []*waitList[T]{&q.interactive, &q.deferrable} {
		if c.len() > 0 && c.waiting[0].joinedAt.Before(since) {
			since = c.waiting[0].joinedAt
		}
	}
	if since.Before(q.lastGrant) {
		return q.lastGrant
	}
	return since
}

// deferrableDue reports whether the next grant goes to a deferrable request.
func (q *Queue[T]) deferrableDue() bool {
	if q.deferrable.len() == 0 {
		return false
	}
	return q.grantsSinceDeferrable >= q.cfg.DeferrableShare-1
}

// overdue reports whether a deferrable request waited as long as it may. It is
// refused, not promoted: with promotion an overloaded class would always have a
// request that precedes all interactive ones.
func (q *Queue[T]) overdue(now time.Time, w *Waiter[T]) bool {
	return w.Urgency == query.Deferrable && now.Sub(w.joinedAt) >= q.cfg.QueueWait
}

// recordGrant updates the counters and the mean grant interval.
func (q *Queue[T]) recordGrant(now time.Time, w *Waiter[T]) {
	if w.Urgency == query.Deferrable || q.deferrable.len() == 0 {
		q.grantsSinceDeferrable = 0
	} else {
		q.grantsSinceDeferrable++
	}
	since := q.lastGrant
	if since.Before(w.joinedAt) {
		since = w.joinedAt
	}
	stall := q.stall(now.Sub(since))
	q.interactive.exclude(now, stall)
	q.deferrable.exclude(now, stall)
	q.addGrantInterval(now.Sub(since))
	q.lastGrant = now
}

// addGrantInterval updates the mean interval. The first intervals have equal
// weights: those of a relay that has just started vary from none, while slots
// are free, to the time in which its connections are opened.
func (q *Queue[T]) addGrantInterval(d time.Duration) {
	q.grants = min(q.grants+1, maxMeanGrants)
	q.grantInterval += (d - q.grantInterval) / time.Duration(q.grants)
}

// stall returns the part of a time without a grant in which the targets or the
// host stood still, rather than served slowly. The queue does not count as
// standing because of it. The mean interval includes it: with at most
// maxIntervalGrowth means of each interval in the mean, a queue at five times
// the capacity served fewer whole queries (0.896 against 0.902 of it, 24 seeds).
func (q *Queue[T]) stall(sinceGrant time.Duration) time.Duration {
	if q.grantInterval == 0 {
		return 0
	}
	return max(sinceGrant-maxIntervalGrowth*q.grantInterval, 0)
}

// smooth returns the moving average after a sample; the first sample is the
// average.
func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothingWeight*float64(sample-mean))
}
