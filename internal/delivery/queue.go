package delivery

import (
	"slices"
	"time"
)

// pending is a closed window whose write to the platform is not confirmed.
type pending struct {
	window *Window
	opened time.Time // monotonic
	closed time.Time // monotonic
	value  []byte    // set once a write may have been applied; from then on the window does not change
}

// inDoubt reports whether an earlier write of the window may have been applied.
func (p *pending) inDoubt() bool { return p.value != nil }

// queue holds the pending windows, oldest first. Only the first one is ever
// written, so only the first one can be in doubt.
type queue struct {
	items  []*pending
	merged uint64 // number of windows that were merged into an older one
}

// push adds a closed window. Beyond MaxPending, the two oldest consecutive
// windows that can be merged become one: totals are kept, and only the time
// resolution becomes coarser.
func (q *queue) push(p *pending, cfg Config) {
	q.items = append(q.items, p)
	if len(q.items) <= cfg.MaxPending {
		return
	}
	for i := range len(q.items) - 1 {
		first, second := q.items[i], q.items[i+1]
		if first.inDoubt() || first.window.Incarnation != second.window.Incarnation {
			continue
		}
		first.window.join(second.window, cfg)
		first.closed = second.closed
		q.items = slices.Delete(q.items, i+1, i+2)
		q.merged++
		return
	}
}

func (q *queue) head() *pending {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

func (q *queue) pop() { q.items = q.items[1:] }
