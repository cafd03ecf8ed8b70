package relay

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	leastLaneWidth = 8
	lanePerPlace   = 2 // tries of one batch in the queue for each place of the service
)

// lane is the first tries of a batch at one service. Only some of them are in
// the service's queue at a time: a wide batch would fill the queue by itself
// and have its own shards refused, though nobody else waits, and a narrow one
// that comes later would wait behind all of it.
type lane struct {
	pool  *pool
	held  []*try // not yet submitted
	out   int    // tasks submitted and not final
	width int
}

// laneWidth returns how many tries of one batch may be in the queue.
func (p *pool) laneWidth() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	places := 0.0
	for _, t := range p.targets {
		places += t.rep.Limiter.Limit()
	}
	return max(leastLaneWidth, int(lanePerPlace*places))
}

// feed submits what there is room for.
func (l *lane) feed(now time.Time) {
	n := min(l.width-l.out, len(l.held))
	if n <= 0 {
		return
	}
	next := l.held[:n]
	l.held = l.held[n:]
	l.out += n
	l.pool.submit(now, next...)
}

// giveUp refuses at once what is still held back, since what is before it was
// refused for load.
func (r *run) giveUp(l *lane, after time.Duration) {
	held := l.held
	l.held = nil
	l.out += len(held)
	for _, t := range held {
		k := t.task
		k.live = 0
		k.note(&report{try: t, refused: true, answer: answer{
			outcome: outcome.NotSent, reason: query.ReasonOverload, retryAfter: after,
		}})
		r.finish(k)
	}
}
