package policy

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	// DefaultCapacity is the longest queue of a replica set.
	DefaultCapacity = 1024
	// DefaultDeferrableShare grants at least one deferrable request in this
	// many grants while one waits.
	DefaultDeferrableShare = 4
	// DefaultQueueWait bounds the wait of a deferrable request.
	DefaultQueueWait = time.Second

	// DefaultInteractiveDelay and DefaultDeferrableDelay are the waits that,
	// when the shortest in a window is above them, show overload of a class.
	DefaultInteractiveDelay = 10 * time.Millisecond
	DefaultDeferrableDelay  = 200 * time.Millisecond

	smoothing = 0.1 // weight of the newest sample in a moving average
	doubt     = 100 // part of the time of service taken off at each refusal for it
)

// QueueConfig bounds a queue. Zero fields take the defaults.
type QueueConfig struct {
	Capacity        int           // longest queue, both classes together
	DeferrableShare int           // at least one deferrable in so many grants
	QueueWait       time.Duration // after which a deferrable request goes first
	NoGate          bool          // refuse by expected wait alone, not by rank
}

// Waiter is one request that waits for a place at a target.
type Waiter[T any] struct {
	Item     T
	Urgency  query.Urgency
	Rank     float64   // see Rank: of the whole request, not of its shard
	Deadline time.Time // end of the request's budget

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
type Queue[T any] struct {
	cfg         QueueConfig
	interactive []*Waiter[T] // first come, first served within a class
	deferrable  []*Waiter[T]
	gates       map[query.Urgency]*Gate
	passed      int           // grants since the last deferrable one, while one waited
	interval    time.Duration // mean time between two grants while requests wait
	service     time.Duration // mean time from grant to answer
	lastGrant   time.Time
}

// NewQueue returns an empty queue.
func NewQueue[T any](cfg QueueConfig) *Queue[T] {
	if cfg.Capacity <= 0 {
		cfg.Capacity = DefaultCapacity
	}
	if cfg.DeferrableShare <= 0 {
		cfg.DeferrableShare = DefaultDeferrableShare
	}
	if cfg.QueueWait <= 0 {
		cfg.QueueWait = DefaultQueueWait
	}
	gates := map[query.Urgency]*Gate{
		query.Interactive: NewGate(DefaultInteractiveDelay),
		query.Deferrable:  NewGate(DefaultDeferrableDelay),
	}
	return &Queue[T]{cfg: cfg, gates: gates}
}

// Push lets w wait for Pop, also when a place is free. It refuses w at once
// when its rank does not pass the gate of its class, when the queue is full, or
// when the expected wait and the time of service pass its remaining budget.
// Every request goes through Push and Pop, so that the gates see also those
// that need not wait.
func (q *Queue[T]) Push(now time.Time, w *Waiter[T]) Admission {
	wait := q.ExpectedWait(now, w.Urgency)
	if !q.admits(now, w, wait) {
		return Admission{ExpectedWait: wait, RetryAfter: wait}
	}
	w.joined = now
	if w.Urgency == query.Deferrable {
		q.deferrable = append(q.deferrable, w)
	} else {
		q.interactive = append(q.interactive, w)
	}
	return Admission{Admitted: true, ExpectedWait: wait}
}

// Pop grants the next request that fits; fits may be nil. It returns nil if
// there is none. Whoever fits nothing yet keeps its place.
func (q *Queue[T]) Pop(now time.Time, fits func(T) bool) *Waiter[T] {
	first, second := &q.interactive, &q.deferrable
	if q.deferrableDue(now) {
		first, second = second, first
	}
	w := take(first, fits)
	if w == nil {
		w = take(second, fits)
	}
	if w != nil {
		q.granted(now, w)
	}
	return w
}

// Remove takes out a request whose caller gave up, and reports whether it
// still waited.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	return cutOut(&q.interactive, w) || cutOut(&q.deferrable, w)
}

// Expire removes and returns the requests that can no longer be served in
// their budget, to be refused at once.
func (q *Queue[T]) Expire(now time.Time) []*Waiter[T] {
	late := func(w *Waiter[T]) bool { return q.tooLate(now, w) }
	return append(sift(&q.interactive, late), sift(&q.deferrable, late)...)
}

// Served tells the time from grant to answer of a request.
func (q *Queue[T]) Served(latency time.Duration) { q.service = smooth(q.service, latency) }

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int { return len(q.interactive) + len(q.deferrable) }

// ExpectedWait returns how long a request of the class that joins now would
// wait for its grant.
func (q *Queue[T]) ExpectedWait(now time.Time, u query.Urgency) time.Duration {
	ahead := q.ahead(u)
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead) * max(q.interval, now.Sub(q.waitingSince(now)))
}

// Threshold returns the part of the requests of a class that pass its gate.
func (q *Queue[T]) Threshold(u query.Urgency) float64 { return q.gate(u).Threshold() }

func (q *Queue[T]) gate(u query.Urgency) *Gate {
	if u == query.Deferrable {
		return q.gates[query.Deferrable]
	}
	return q.gates[query.Interactive]
}

// admits counts the request at its gate and compares the wait with its budget.
func (q *Queue[T]) admits(now time.Time, w *Waiter[T], wait time.Duration) bool {
	if !q.cfg.NoGate && !q.gate(w.Urgency).Admits(w.Rank) {
		return false
	}
	return q.Len() < q.cfg.Capacity && !q.tooLate(now.Add(wait), w)
}

// tooLate reports whether a request that is granted then cannot be served in
// its budget. Each time, the mean time of service shrinks a little: were it
// too long, nothing would be served any more that could correct it.
func (q *Queue[T]) tooLate(granted time.Time, w *Waiter[T]) bool {
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
	for _, list := range [][]*Waiter[T]{q.interactive, q.deferrable} {
		if len(list) > 0 && list[0].joined.Before(since) {
			since = list[0].joined
		}
	}
	if since.Before(q.lastGrant) {
		return q.lastGrant
	}
	return since
}

func (q *Queue[T]) ahead(u query.Urgency) int {
	if u == query.Deferrable {
		return q.Len()
	}
	share := len(q.interactive) / q.cfg.DeferrableShare
	return len(q.interactive) + min(len(q.deferrable), share)
}

func (q *Queue[T]) deferrableDue(now time.Time) bool {
	if len(q.deferrable) == 0 {
		return false
	}
	return q.passed >= q.cfg.DeferrableShare-1 || now.Sub(q.deferrable[0].joined) >= q.cfg.QueueWait
}

func (q *Queue[T]) granted(now time.Time, w *Waiter[T]) {
	if w.Urgency == query.Deferrable || len(q.deferrable) == 0 {
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
	q.gate(w.Urgency).Granted(now, now.Sub(w.joined))
}

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}

func take[T any](list *[]*Waiter[T], fits func(T) bool) *Waiter[T] {
	for i, w := range *list {
		if fits == nil || fits(w.Item) {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return w
		}
	}
	return nil
}

func cutOut[T any](list *[]*Waiter[T], w *Waiter[T]) bool {
	for i, x := range *list {
		if x == w {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

func sift[T any](list *[]*Waiter[T], out func(*Waiter[T]) bool) []*Waiter[T] {
	var gone []*Waiter[T]
	kept := (*list)[:0]
	for _, w := range *list {
		if out(w) {
			gone = append(gone, w)
			continue
		}
		kept = append(kept, w)
	}
	clear((*list)[len(kept):])
	*list = kept
	return gone
}
