package policy

import (
	"slices"
	"time"
)

// maxOvertaken is how often a waiter may be overtaken by others that joined after it; then it precedes all that were
// overtaken less often. With it a waiter that fits is granted a slot after at most maxOvertaken grants plus one for each
// waiter that was there before it.
const maxOvertaken = 16

// SlotWaiter is a request that waits for a connection slot of a service.
type SlotWaiter[T any] struct {
	Item T
	Rank int       // priority of the request; lower is more urgent
	Due  time.Time // end of its objective

	number    uint64 // in the order of arrival; 0: never added
	overtaken int
}

// SlotQueue holds the requests that wait for a connection slot of a service, in the order in which they get one: by
// rank, then by what is left of their objective, those whose objective has passed last. None is starved; see
// maxOvertaken. The zero SlotQueue is empty.
//
// It differs from Queue in that the slots belong to several targets, of which a request may use only some.
type SlotQueue[T any] struct {
	waiting []*SlotWaiter[T]
	added   uint64
}

// Len returns the number of waiting requests.
func (q *SlotQueue[T]) Len() int { return len(q.waiting) }

// Add adds a waiter. One that was removed keeps the place that it had. If more than limit wait then, the last one is
// removed and returned, which may be w itself.
func (q *SlotQueue[T]) Add(now time.Time, w *SlotWaiter[T], limit int) (refused *SlotWaiter[T]) {
	if w.number == 0 {
		q.added++
		w.number = q.added
	}
	q.waiting = append(q.waiting, w)
	if len(q.waiting) <= limit {
		return nil
	}
	refused = slices.MaxFunc(q.waiting, func(a, b *SlotWaiter[T]) int { return a.compare(now, b) })
	q.Remove(refused)
	return refused
}

// Remove removes a waiter that gave up; it may have been removed before.
func (q *SlotQueue[T]) Remove(w *SlotWaiter[T]) {
	if at := slices.Index(q.waiting, w); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
}

// Next removes and returns the first waiter for which fits reports that it can use a free slot; nil if there is none.
func (q *SlotQueue[T]) Next(now time.Time, fits func(*SlotWaiter[T]) bool) *SlotWaiter[T] {
	slices.SortFunc(q.waiting, func(a, b *SlotWaiter[T]) int { return a.compare(now, b) })
	for i, w := range q.waiting {
		if !fits(w) {
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		for _, other := range q.waiting[i:] {
			if other.number < w.number {
				other.overtaken++
			}
		}
		return w
	}
	return nil
}

// Drain removes and returns all waiters.
func (q *SlotQueue[T]) Drain() []*SlotWaiter[T] {
	all := q.waiting
	q.waiting = nil
	return all
}

// compare orders waiters; the result is negative if w is granted a slot before other.
func (w *SlotWaiter[T]) compare(now time.Time, other *SlotWaiter[T]) int {
	arrival := 1
	if w.number < other.number {
		arrival = -1
	}
	starved, otherStarved := w.overtaken >= maxOvertaken, other.overtaken >= maxOvertaken
	late, otherLate := now.After(w.Due), now.After(other.Due)
	switch {
	case starved != otherStarved:
		return before(starved)
	case starved:
		return arrival
	case w.Rank != other.Rank:
		return before(w.Rank < other.Rank)
	case late != otherLate:
		return before(otherLate)
	case !w.Due.Equal(other.Due):
		return before(w.Due.Before(other.Due))
	case w == other:
		return 0
	}
	return arrival
}

func before(yes bool) int {
	if yes {
		return -1
	}
	return 1
}
