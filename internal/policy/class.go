package policy

import "time"

// waitList holds the waiting requests of one urgency class, in the order of
// arrival.
type waitList[T any] struct {
	waiting        []*Waiter[T]
	lastShortAt    time.Time // when the list was last no longer than the length that may stand
	lastEvictionAt time.Time // when a request was last evicted for lack of room
}

func (c *waitList[T]) len() int { return len(c.waiting) }

func (c *waitList[T]) add(w *Waiter[T]) { c.waiting = append(c.waiting, w) }

// overloaded reports whether a request was evicted recently.
func (c *waitList[T]) overloaded(now time.Time) bool {
	return !c.lastEvictionAt.IsZero() && now.Sub(c.lastEvictionAt) < overloadSpan
}

// recordLength records the length after a change; short is the length that may
// stand.
func (c *waitList[T]) recordLength(now time.Time, short int) {
	if c.len() <= short || c.lastShortAt.IsZero() {
		c.lastShortAt = now
	}
}

// standing reports whether the list has been too long for longer than a burst
// lasts.
func (c *waitList[T]) standing(now time.Time) bool { return now.Sub(c.lastShortAt) > maxBurstSpan }

// paused excludes a time from the waits and from how long the list was too long.
func (c *waitList[T]) paused(d time.Duration) {
	if !c.lastShortAt.IsZero() {
		c.lastShortAt = c.lastShortAt.Add(d)
	}
	for _, w := range c.waiting {
		w.joinedAt = w.joinedAt.Add(d)
	}
}

// exclude excludes a time that ends now from how long the list was too long.
func (c *waitList[T]) exclude(now time.Time, d time.Duration) {
	if c.lastShortAt.IsZero() {
		return
	}
	c.lastShortAt = c.lastShortAt.Add(d)
	if c.lastShortAt.After(now) {
		c.lastShortAt = now
	}
}

// countBelow returns the number of requests with a lower rank.
func (c *waitList[T]) countBelow(rank float64) int {
	n := 0
	for _, w := range c.waiting {
		if w.Rank < rank {
			n++
		}
	}
	return n
}

// removeNext removes and returns the first request that fits, by rank or by
// arrival; nil if none does. Requests after it are not passed to fits.
func (c *waitList[T]) removeNext(ranked bool, fits func(T) bool) *Waiter[T] {
	if !ranked {
		return c.removeFirst(fits)
	}
	return c.removeLowestRank(fits)
}

func (c *waitList[T]) removeFirst(fits func(T) bool) *Waiter[T] {
	for i, w := range c.waiting {
		if fits == nil || fits(w.Item) {
			c.removeAt(i)
			return w
		}
	}
	return nil
}

func (c *waitList[T]) removeLowestRank(fits func(T) bool) *Waiter[T] {
	refused := make(map[*Waiter[T]]bool)
	for len(refused) < len(c.waiting) {
		i := c.lowestRank(refused)
		w := c.waiting[i]
		if fits == nil || fits(w.Item) {
			c.removeAt(i)
			return w
		}
		refused[w] = true
	}
	return nil
}

func (c *waitList[T]) lowestRank(excluded map[*Waiter[T]]bool) int {
	lowest := -1
	for i, w := range c.waiting {
		if !excluded[w] && (lowest < 0 || w.Rank < c.waiting[lowest].Rank) {
			lowest = i
		}
	}
	return lowest
}

// evict removes and returns the last request to arrive or, if ranked, the one
// with the highest rank, the last to arrive among equal ranks.
func (c *waitList[T]) evict(ranked bool) *Waiter[T] {
	victim := len(c.waiting) - 1
	for i := victim - 1; i >= 0 && ranked; i-- {
		if c.waiting[i].Rank > c.waiting[victim].Rank {
			victim = i
		}
	}
	w := c.waiting[victim]
	c.removeAt(victim)
	return w
}

func (c *waitList[T]) remove(w *Waiter[T]) bool { return removeWaiter(&c.waiting, w) }

// removeIf removes and returns the requests for which match is true.
func (c *waitList[T]) removeIf(match func(*Waiter[T]) bool) []*Waiter[T] {
	var removed []*Waiter[T]
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if match(w) {
			removed = append(removed, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	return removed
}

func (c *waitList[T]) removeAt(i int) { c.waiting = append(c.waiting[:i], c.waiting[i+1:]...) }

func removeWaiter[T any](list *[]*Waiter[T], w *Waiter[T]) bool {
	for i, x := range *list {
		if x == w {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}
