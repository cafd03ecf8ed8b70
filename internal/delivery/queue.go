package delivery

import (
	"slices"
	"time"
)

// pending is a closed window that is not yet known to be in the platform.
type pending struct {
	window *Window
	opened time.Time // monotonic
	closed time.Time // monotonic
	value  []byte    // set once a write may have been applied; from then on the window is not changed
}

func (p *pending) inDoubt() bool { return p.value != nil }

// queue holds the pending windows, oldest first. Only the first is ever
// written, so only the first can be in doubt.
type queue struct {
	items  []*pending
	merged uint64 // windows that were joined to an older one
}

// push adds a closed window. Past the bound two old ones that follow each
// other become one: totals stay, only the moments grow coarser.
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
