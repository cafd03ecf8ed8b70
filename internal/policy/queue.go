package policy

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	// DefaultCapacity is the longest queue of a class.
	DefaultCapacity = 1024
	// DefaultDeferrableShare grants at least one deferrable request in this
	// many grants while one waits.
	DefaultDeferrableShare = 16
	// DefaultQueueWait bounds the wait of a deferrable request.
	DefaultQueueWait = time.Second
	// DefaultQueueDelay is the work, in time, that an interactive queue may
	// hold all the time.
	DefaultQueueDelay = 50 * time.Millisecond

	// A queue that is no longer than shortQueue, or than the work of
	// QueueDelay, is short. One that is not for burstSpan is standing.
	shortQueue = 4
	burstSpan  = 100 * time.Millisecond

	// saturatedAfter is how many times of service somebody must have waited.
	saturatedAfter = 3

	overloadHold = 250 * time.Millisecond
	smoothing    = 0.1 // weight of the newest sample in a moving average
	doubt        = 100 // part of the time of service taken off at each refusal for it
)

// QueueConfig bounds a queue. Zero fields take the defaults.
type QueueConfig struct {
	Capacity        int           // longest queue of a class
	DeferrableShare int           // at least one deferrable in so many grants
	QueueWait       time.Duration // after which a deferrable request is refused
	QueueDelay      time.Duration // work that waits in the interactive class
	Ranked          bool          // under overload the lowest ranks stay, not those that came first
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

// Waiter is one request that waits for a place at a target.
type Waiter[T any] struct {
	Item     T
	Urgency  query.Urgency
	Rank     float64   // see Rank: of the whole request, not of its shard
	Deadline time.Time // end of the request's budget
	Evicted  bool      // set by the queue: refused for overload, not for its budget

	joined time.Time
}

// Admission is the answer to Push: Admitted, or the time to come back.
type Admission struct {
	Admitted     bool
	ExpectedWait time.Duration
	RetryAfter   time.Duration // without jitter; see RetryAfter
}

// Queue holds the requests that wait for a place at the targets of a replica
// set. It refuses at once what it could not grant in time, grants interactive
// before deferrable requests, and never starves the deferrable.
//
// A burst may wait. A queue that stands is cut to a little work: the last to
// come are refused, before anything was run for them, so that the entry can
// withdraw the rest of their query from other queues in time. Where nothing
// withdraws it, Ranked keeps the same queries whole in all queues.
type Queue[T any] struct {
	cfg         QueueConfig
	interactive class[T]
	deferrable  class[T]
	evicted     []*Waiter[T]
	passed      int           // grants since the last deferrable one, while one waited
	interval    time.Duration // mean time between two grants while requests wait
	service     time.Duration // mean time from grant to answer
	lastGrant   time.Time
	emptyAt     time.Time // when nobody waited last
}

// NewQueue returns an empty queue.
func NewQueue[T any](cfg QueueConfig) *Queue[T] { return &Queue[T]{cfg: cfg.withDefaults()} }

// Push lets w wait for Pop, also when a place is free. It refuses w at once
// when the expected wait and the time of service pass its remaining budget, or
// when there is no room. Others may be evicted too, see Evictions: when the
// queue has just been found standing, or for their rank. Every request goes
// through Push and Pop.
func (q *Queue[T]) Push(now time.Time, w *Waiter[T]) Admission {
	wait := q.waitOf(now, w)
	if q.tooLate(now.Add(wait), w) {
		return Admission{ExpectedWait: wait, RetryAfter: wait}
	}
	c := q.class(w.Urgency)
	w.joined, w.Evicted = now, false
	q.noteEmpty(now)
	c.add(w)
	q.cut(now, w.Urgency)
	if w.Evicted {
		cutOut(&q.evicted, w)
		return Admission{ExpectedWait: wait, RetryAfter: max(wait, q.fullWait(c))}
	}
	return Admission{Admitted: true, ExpectedWait: wait}
}

// cut evicts from a class until it has room for the next one.
func (q *Queue[T]) cut(now time.Time, u query.Urgency) {
	c := q.class(u)
	c.noteLength(now, q.short(u))
	room := q.cfg.Capacity
	if c.overloaded(now) || c.standing(now) {
		room = q.short(u)
	}
	for c.len() > room {
		c.overloadedAt = now
		out := c.evict(q.cfg.Ranked)
		out.Evicted = true
		q.evicted = append(q.evicted, out)
	}
}

// Evictions removes and returns the requests that had to make room, to be
// refused at once.
func (q *Queue[T]) Evictions() []*Waiter[T] {
	out := q.evicted
	q.evicted = nil
	return out
}

// Expire removes and returns the requests that can no longer be served in
// their budget, the deferrable ones that waited as long as they may, and those
// of Evictions, all to be refused at once.
func (q *Queue[T]) Expire(now time.Time) []*Waiter[T] {
	late := func(w *Waiter[T]) bool { return q.tooLate(now, w) || q.overdue(now, w) }
	out := q.Evictions()
	out = append(out, q.interactive.sift(late)...)
	return append(out, q.deferrable.sift(late)...)
}

// Pop grants the next request that fits; fits may be nil. It returns nil if
// there is none. Whoever fits nothing yet keeps its place.
func (q *Queue[T]) Pop(now time.Time, fits func(T) bool) *Waiter[T] {
	first, second := &q.interactive, &q.deferrable
	if q.deferrableDue() {
		first, second = second, first
	}
	w := first.take(q.ranked(now, first), fits)
	if w == nil {
		w = second.take(q.ranked(now, second), fits)
	}
	if w != nil {
		q.granted(now, w)
		q.class(w.Urgency).noteLength(now, q.short(w.Urgency))
		q.noteEmpty(now)
	}
	return w
}

// Remove takes out a request whose caller gave up, and reports whether it
// still waited or was evicted and not yet told.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	return q.interactive.remove(w) || q.deferrable.remove(w) || cutOut(&q.evicted, w)
}

// Served tells the time from grant to answer of a request.
func (q *Queue[T]) Served(latency time.Duration) { q.service = smooth(q.service, latency) }

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int { return q.interactive.len() + q.deferrable.len() }

// Saturated reports whether the targets have had no place to spare for longer
// than a few answers take. A request that waits for the next answer does not
// make them so. While they are, extra attempts only take places from others.
func (q *Queue[T]) Saturated(now time.Time) bool {
	if q.interactive.overloaded(now) || q.deferrable.overloaded(now) {
		return true
	}
	return q.Len() > 0 && now.Sub(q.emptyAt) > saturatedAfter*q.service
}

func (q *Queue[T]) noteEmpty(now time.Time) {
	if q.Len() == 0 {
		q.emptyAt = now
	}
}

// ExpectedWait returns how long a request of the class that joins now, behind
// all others, would wait for its grant.
func (q *Queue[T]) ExpectedWait(now time.Time, u query.Urgency) time.Duration {
	return q.waitBehind(now, u, q.class(u).len())
}

func (q *Queue[T]) waitOf(now time.Time, w *Waiter[T]) time.Duration {
	c := q.class(w.Urgency)
	ahead := c.len()
	if q.ranked(now, c) {
		ahead = c.below(w.Rank)
	}
	return q.waitBehind(now, w.Urgency, ahead)
}

// waitBehind returns the wait behind some requests of the own class, with the
// part of the grants that the other class takes.
func (q *Queue[T]) waitBehind(now time.Time, u query.Urgency, ahead int) time.Duration {
	if u == query.Deferrable {
		ahead += min(q.interactive.len(), (ahead+1)*(q.cfg.DeferrableShare-1))
	} else {
		ahead += min(q.deferrable.len(), ahead/q.cfg.DeferrableShare)
	}
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead) * max(q.interval, now.Sub(q.waitingSince(now)))
}

// fullWait returns how long the targets work on a full class.
func (q *Queue[T]) fullWait(c *class[T]) time.Duration { return time.Duration(c.len()) * q.interval }

// short returns the greatest length of a class that may stand.
func (q *Queue[T]) short(u query.Urgency) int {
	work := q.cfg.QueueDelay
	if u == query.Deferrable {
		work = q.cfg.QueueWait
	}
	if q.interval <= 0 {
		return q.cfg.Capacity
	}
	return min(max(int(work/q.interval), shortQueue), q.cfg.Capacity)
}

func (q *Queue[T]) class(u query.Urgency) *class[T] {
	if u == query.Deferrable {
		return &q.deferrable
	}
	return &q.interactive
}

func (q *Queue[T]) ranked(now time.Time, c *class[T]) bool {
	return q.cfg.Ranked && c.overloaded(now)
}

// tooLate reports whether a request that is granted then cannot be served in
// its budget, as at the very end of it, whatever a service takes. When the mean
// time of service decides, it shrinks a little: were it too long, nothing would
// be served any more that could correct it.
func (q *Queue[T]) tooLate(granted time.Time, w *Waiter[T]) bool {
	if !granted.Before(w.Deadline) {
		return true
	}
	if !granted.Add(q.service).After(w.Deadline) {
		return false
	}
	q.service -= q.service / doubt
	return true
}

// waitingSince returns when the requests that wait began to wait for the next
// grant.
func (q *Queue[T]) waitingSince(now time.Time) time.Time {
	since := now
	for _, c := range []*class[T]{&q.interactive, &q.deferrable} {
		if c.len() > 0 && c.waiting[0].joined.Before(since) {
			since = c.waiting[0].joined
		}
	}
	if since.Before(q.lastGrant) {
		return q.lastGrant
	}
	return since
}

func (q *Queue[T]) deferrableDue() bool {
	if q.deferrable.len() == 0 {
		return false
	}
	return q.passed >= q.cfg.DeferrableShare-1
}

// overdue reports whether a deferrable request waited as long as it may. It is
// refused and not promoted: promoted, a class that is overloaded would always
// have one that goes before all interactive ones.
func (q *Queue[T]) overdue(now time.Time, w *Waiter[T]) bool {
	return w.Urgency == query.Deferrable && now.Sub(w.joined) >= q.cfg.QueueWait
}

func (q *Queue[T]) granted(now time.Time, w *Waiter[T]) {
	if w.Urgency == query.Deferrable || q.deferrable.len() == 0 {
		q.passed = 0
	} else {
		q.passed++
	}
	since := q.lastGrant
	if since.Before(w.joined) {
		since = w.joined
	}
	q.interval = smooth(q.interval, now.Sub(since))
	q.lastGrant = now
}

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}
