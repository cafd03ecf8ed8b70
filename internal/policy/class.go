package policy

import "time"

// class is the requests of one urgency that wait, in the order of arrival.
type class[T any] struct {
	waiting      []*Waiter[T]
	shortAt      time.Time // when the queue was last short
	overloadedAt time.Time // when one was last refused for want of room
}

func (c *class[T]) len() int { return len(c.waiting) }

func (c *class[T]) add(w *Waiter[T]) { c.waiting = append(c.waiting, w) }

func (c *class[T]) overloaded(now time.Time) bool {
	return !c.overloadedAt.IsZero() && now.Sub(c.overloadedAt) < overloadHold
}

// noteLength is called after each change with the length that may stand.
func (c *class[T]) noteLength(now time.Time, short int) {
	if c.len() <= short || c.shortAt.IsZero() {
		c.shortAt = now
	}
}

// standing reports whether the queue has been long for so long that no burst
// explains it.
func (c *class[T]) standing(now time.Time) bool { return now.Sub(c.shortAt) > burstSpan }

// below returns how many have a lower rank.
func (c *class[T]) below(rank float64) int {
	n := 0
	for _, w := range c.waiting {
		if w.Rank < rank {
			n++
		}
	}
	return n
}

// take removes and returns the first that fits, by rank or by arrival; nil if
// none does. fits is asked again only of those that are next in turn.
func (c *class[T]) take(ranked bool, fits func(T) bool) *Waiter[T] {
	if !ranked {
		return c.takeFirst(fits)
	}
	return c.takeLowest(fits)
}

func (c *class[T]) takeFirst(fits func(T) bool) *Waiter[T] {
	for i, w := range c.waiting {
		if fits == nil || fits(w.Item) {
			c.drop(i)
			return w
		}
	}
	return nil
}

func (c *class[T]) takeLowest(fits func(T) bool) *Waiter[T] {
	refused := make(map[*Waiter[T]]bool)
	for len(refused) < len(c.waiting) {
		i := c.lowest(refused)
		w := c.waiting[i]
		if fits == nil || fits(w.Item) {
			c.drop(i)
			return w
		}
		refused[w] = true
	}
	return nil
}

func (c *class[T]) lowest(but map[*Waiter[T]]bool) int {
	least := -1
	for i, w := range c.waiting {
		if !but[w] && (least < 0 || w.Rank < c.waiting[least].Rank) {
			least = i
		}
	}
	return least
}

// evict removes and returns the last to arrive, or the one with the highest
// rank, of equal ones the last to arrive.
func (c *class[T]) evict(ranked bool) *Waiter[T] {
	most := len(c.waiting) - 1
	for i := most - 1; i >= 0 && ranked; i-- {
		if c.waiting[i].Rank > c.waiting[most].Rank {
			most = i
		}
	}
	w := c.waiting[most]
	c.drop(most)
	return w
}

func (c *class[T]) remove(w *Waiter[T]) bool { return cutOut(&c.waiting, w) }

// sift removes and returns those for which out is true.
func (c *class[T]) sift(out func(*Waiter[T]) bool) []*Waiter[T] {
	var gone []*Waiter[T]
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if out(w) {
			gone = append(gone, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	return gone
}

func (c *class[T]) drop(i int) { c.waiting = append(c.waiting[:i], c.waiting[i+1:]...) }

func cutOut[T any](list *[]*Waiter[T], w *Waiter[T]) bool {
	for i, x := range *list {
		if x == w {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}
