package gateway

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/targetconn"
)

// A target that is cold falls over at more than a few requests a second. Where its service says how many it
// bears, a host sends to a cold target only what its permit lets it, and nothing without one.

// coldBound is what the targets of a service bear while they are cold.
type coldBound struct {
	perSecond float64       // requests of all hosts together; 0: not bounded
	lasts     time.Duration // from a target's start on
}

// coldBound returns what a cold target of a service bears.
func (c Config) coldBound(s routing.Service) coldBound {
	if s.ColdPerSecond <= 0 {
		return coldBound{}
	}
	return coldBound{perSecond: s.ColdPerSecond*c.WarmupRatio + c.WarmupSlack, lasts: s.ColdFor}
}

// warmth is what is known of a target's coldness. It is guarded by the service's lock.
type warmth struct {
	until  time.Time // cold until then
	permit discovery.Permit
	each   int // requests that this host may send in any second while the target is cold
	window *policy.ColdWindow
	unsent int // attempts that were given a place and have not been sent
	// doubts counts the signs that the target may have started again: it took no connection, or ended one
	// before its time. Where it has not answered since the last one how long it stays cold, it is asked
	// before more is sent.
	doubts   int
	answered int // doubts that it has answered to
}

// chill makes the target count as cold until a time.
func (w *warmth) chill(until time.Time) {
	if until.After(w.until) {
		w.until = until
	}
}

// sentAs takes over what was sent to a target before it registered anew: its last incarnation may have got
// some of it before it told of itself.
func (w *warmth) sentAs(before *target) {
	w.window = before.warmth.window
	w.until = before.warmth.until
}

// apply takes over what a view tells of a target's coldness. now is the time at which the view was made.
func (w *warmth) apply(f *fleet, conf discovery.Target, v discovery.View, bound coldBound, now time.Time) {
	if bound.perSecond <= 0 {
		return
	}
	if conf.ColdUntil.After(v.Now) {
		w.chill(now.Add(conf.ColdUntil.Sub(v.Now)))
	}
	if ended, ok := v.EvacuationEnds[conf.Domain]; ok {
		// The targets may have become cold shortly before; their registrations tell so a beat later.
		w.chill(now.Add(ended.Sub(v.Now) + bound.lasts))
	}
	w.permit = v.Permits[conf.ID]
	w.each = w.permit.Of(f.host)
}

// cold reports whether a target counts as cold. The caller holds the lock.
func (s *service) cold(now time.Time, t *target) bool {
	return s.coldBound.perSecond > 0 && now.Before(t.warmth.until)
}

// mayWarm reports whether this host may ever send to a target while it is cold. The caller holds the lock.
func (s *service) mayWarm(t *target) bool { return t.warmth.each > 0 }

// coldRoom returns whether a request may be sent to a cold target now, and else when. What was given a
// place and has not been sent counts as sent. The caller holds the lock.
func (s *service) coldRoom(now time.Time, t *target, urgent bool) (ok bool, next time.Time) {
	w := &t.warmth
	if now.Before(s.coldFrom) {
		return false, s.coldFrom
	}
	if !s.permitsCount() {
		return false, now.Add(coldLook)
	}
	if w.window.Room(now, w.each, urgent)-w.unsent > 0 {
		return true, now
	}
	next = w.window.Next(now, w.each, urgent)
	if !next.After(now) {
		next = now.Add(coldLook)
	}
	return false, next
}

// coldLook is the time until a cold target is looked at again whose places are taken by attempts that are
// not sent yet.
const coldLook = 20 * time.Millisecond

// startHold is for how long a process sends nothing to cold targets: the one before it on the host may have
// sent its part in that second.
const startHold = 1100 * time.Millisecond

// maySend takes the right to send to a target that was given a place. It is asked for when the attempt has
// a connection, since that may take longer than a cold target's second.
func (s *service) maySend(t *target, r *request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t.warmth.unsent--
	if t.evacuated {
		return errEvacuated
	}
	if !s.cold(now, t) {
		return nil
	}
	if now.Before(s.coldFrom) || !s.permitsCount() || t.warmth.window.Room(now, t.warmth.each, s.urgent(r)) <= 0 {
		return errCold
	}
	t.warmth.window.Sent(now)
	return nil
}

// toldWarmup takes how much longer a target stays cold, as it said; 0: it said nothing. The caller holds the
// lock.
func (s *service) toldWarmup(now time.Time, t *target, left time.Duration) {
	if left <= 0 || s.coldBound.perSecond <= 0 {
		return
	}
	t.warmth.chill(now.Add(left))
	s.noteCold(t)
}

// mustAsk reports whether a target must be asked how long it stays cold before anything is sent to it, and the
// last sign that it may have started again. One of a service whose health path is not known can't be asked, and
// counts as cold.
func (s *service) mustAsk(t *target) (doubt int, ask bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &t.warmth
	if s.coldBound.perSecond <= 0 {
		return 0, false
	}
	if t.pool.TakeRestarted() {
		w.doubts++
	}
	if w.doubts > w.answered && s.health == "" {
		w.answered = w.doubts
		s.toldWarmup(time.Now(), t, s.coldBound.lasts)
	}
	return w.doubts, w.doubts > w.answered
}

// askWarmthLongest is how long a target's word on its coldness is waited for: a pause of its garbage
// collection and a round trip.
const askWarmthLongest = 300 * time.Millisecond

// askWarmth asks a target that may have started again how long it stays cold, over a connection, and returns
// one for the request. The answer counts for the signs up to doubt.
func (g *Gateway) askWarmth(ctx context.Context, conn *targetconn.Conn, s *service, t *target, r *request, doubt int) (*targetconn.Conn, error) {
	deadline := time.Now().Add(askWarmthLongest)
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	t.pool.Reserve() // before the question gives its connection back, which others wait for
	v, err := g.askHealth(ctx, deadline, conn, s, r)
	if err != nil {
		t.pool.Unreserve()
		return nil, err
	}
	s.mu.Lock()
	t.warmth.answered = max(t.warmth.answered, doubt)
	s.toldWarmup(time.Now(), t, v.Warmup)
	s.mu.Unlock()
	return t.pool.Get(ctx, r.deadline)
}

// notSent notes that an attempt that was given a place at a target is not sent. The caller holds the lock.
func (t *target) notSent() { t.warmth.unsent-- }

// urgent reports whether a request is of the most urgent kind that the service gets.
func (s *service) urgent(r *request) bool { return r.rank <= s.urgentRank }

// ColdTarget is a target that is cold and has no permit.
type ColdTarget struct {
	ID    string
	Bound float64  // requests that it bears in a second
	Hosts []string // that work for it
}

// noteCold lets whoever writes permits look at a cold target that has none. The caller holds the lock.
func (s *service) noteCold(t *target) {
	if t.warmth.permit.Target != "" || s.onCold == nil {
		return
	}
	select {
	case s.onCold <- struct{}{}:
	default: // it will look anyway
	}
}

// BecameCold returns a channel that tells when a target without a permit becomes cold.
func (g *Gateway) BecameCold() <-chan struct{} { return g.fleet.onCold }

// ColdTargets returns the targets that are cold and have no permit.
func (g *Gateway) ColdTargets() []ColdTarget {
	f := g.fleet
	var all []ColdTarget
	for _, s := range f.allServices() {
		s.mu.Lock()
		now := time.Now()
		var cold []*target
		for _, t := range s.targets {
			if s.cold(now, t) && t.warmth.permit.Target == "" {
				cold = append(cold, t)
			}
		}
		bound := s.coldBound.perSecond
		s.mu.Unlock()
		for _, t := range cold {
			all = append(all, ColdTarget{ID: t.conf.ID, Bound: bound, Hosts: f.workersFor(s.name, t.conf.Domain)})
		}
	}
	return all
}

// workersFor returns the hosts that work for the targets of a service in a failure domain: those that gather
// where it is a shard, any others; of the domain, if there are such.
func (f *fleet) workersFor(service, domain string) []string {
	f.mu.Lock()
	route := f.shardOf[service]
	f.mu.Unlock()
	all := f.roster.all()
	if route != nil {
		all = f.roster.of(f, route).all(f.roster.self)
	}
	var near, any []string
	for _, h := range all {
		any = append(any, h.ID)
		if h.FailureDomain == domain {
			near = append(near, h.ID)
		}
	}
	if len(near) > 0 {
		return near
	}
	return any
}

// all returns the hosts that are there, this one included.
func (r *roster) all() []member.Host {
	all := []member.Host{r.self}
	for _, h := range r.hosts() {
		if h.ID != r.self.ID && h.State == member.Alive {
			all = append(all, h)
		}
	}
	return all
}

// all returns the hosts that gather, self if it does.
func (g *gatherers) all(self member.Host) []member.Host {
	all := g.hosts
	if g.self || len(all) == 0 {
		all = append([]member.Host{self}, all...)
	}
	return all
}
