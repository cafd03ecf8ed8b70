package relay

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

const (
	laneWaiting     = 2   // tries of one batch in the queue beyond the places of the service
	serviceSmooth   = 0.1 // weight of the newest answer in the mean time of service
	serviceDoubt    = 0.99
	leastAdmissible = 1 // tries of a batch that are never refused by the estimate
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

// places returns how many attempts the service's targets take at once from
// this host; the pool's lock is held.
func (p *pool) places() float64 {
	places := 0.0
	for _, t := range p.targets {
		if t.usable() {
			places += t.rep.Limiter.Limit()
		}
	}
	return places
}

// open sets the width and returns how many of the held tries can be served
// before the deadline, behind what waits already, and when to come back with
// the rest.
func (l *lane) open(now, deadline time.Time) (n int, after time.Duration) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	places := max(p.places(), 1)
	l.width = int(places) + laneWaiting
	n = len(l.held)
	interval := time.Duration(float64(p.service) / places)
	if interval > 0 {
		ahead := p.queue.Len() + p.held
		fits := int((deadline.Sub(now)-p.service)/interval) + int(places) - ahead
		n = min(n, max(fits, leastAdmissible))
		after = time.Duration(ahead+len(l.held)) * interval
	}
	if n < len(l.held) {
		p.service = time.Duration(serviceDoubt * float64(p.service))
	}
	p.held += n
	return n, policy.RetryAfter(after, p.rng.Float64())
}

// learnService takes the time from place to answer; the pool's lock is held.
func (p *pool) learnService(took time.Duration) {
	if p.service == 0 {
		p.service = took
		return
	}
	p.service += time.Duration(serviceSmooth * float64(took-p.service))
}

// start submits the first tries and refuses at once those that can't be
// served in the budget.
func (r *run) start(l *lane) {
	now := time.Now()
	n, after := l.open(now, r.deadline)
	late := l.held[n:]
	l.held = l.held[:n]
	r.refuseTries(l, late, after)
	l.feed(now)
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
	l.pool.unhold(n)
	l.pool.submit(now, next...)
}

func (p *pool) unhold(n int) {
	p.mu.Lock()
	p.held -= n
	p.mu.Unlock()
}

// drop empties the lane and returns what was held.
func (l *lane) drop() []*try {
	held := l.held
	l.held = nil
	if len(held) > 0 {
		l.pool.unhold(len(held))
	}
	return held
}

// giveUp refuses at once what is still held back, since what is before it was
// refused for load.
func (r *run) giveUp(l *lane, after time.Duration) { r.refuseTries(l, l.drop(), after) }

func (r *run) refuseTries(l *lane, tries []*try, after time.Duration) {
	l.out += len(tries)
	for _, t := range tries {
		k := t.task
		k.live = 0
		k.note(&report{try: t, refused: true, answer: answer{
			outcome: outcome.NotSent, reason: query.ReasonOverload, retryAfter: after,
		}})
		r.finish(k)
	}
}
