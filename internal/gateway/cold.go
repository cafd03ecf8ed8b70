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

// coldLimit is what the targets of a service bear while they are cold.
type coldLimit struct {
	perSecond float64       // requests of all hosts together; 0: not bounded
	duration  time.Duration // from a target's start on
}

// coldLimit returns what a cold target of a service bears.
func (c Config) coldLimit(s routing.Service) coldLimit {
	if s.ColdPerSecond <= 0 {
		return coldLimit{}
	}
	return coldLimit{perSecond: s.ColdPerSecond*c.WarmupRatio + c.WarmupSlack, duration: s.ColdFor}
}

// coldState is what is known of a target's coldness. It is guarded by the service's lock.
type coldState struct {
	until        time.Time // cold until then
	permit       discovery.Permit
	maxPerSecond int // requests that this host may send in any second while the target is cold
	window       *policy.ColdWindow
	reserved     int // attempts that were given a place and have not been sent
	// restartSigns counts the signs that the target may have started again: it took no connection, or ended one
	// before its time. Where it has not answered since the last one how long it stays cold, it is asked
	// before more is sent.
	restartSigns int
	handledSigns int // doubts that it has answered to
}

// extend makes the target count as cold until a time.
func (w *coldState) extend(until time.Time) {
	if until.After(w.until) {
		w.until = until
	}
}

// inherit takes over what was sent to a target before it registered anew: its last incarnation may have got
// some of it before it told of itself.
func (w *coldState) inherit(before *target) {
	w.window = before.cold.window
	w.until = before.cold.until
}

// apply takes over what a view tells of a target's coldness. now is the time at which the view was made.
func (w *coldState) apply(f *serviceRegistry, conf discovery.Target, v discovery.View, bound coldLimit, now time.Time) {
	if bound.perSecond <= 0 {
		return
	}
	if conf.ColdUntil.After(v.Now) {
		w.extend(now.Add(conf.ColdUntil.Sub(v.Now)))
	}
	if ended, ok := v.EvacuationEnds[conf.Domain]; ok {
		// The targets may have become cold shortly before; their registrations tell so a beat later.
		w.extend(now.Add(ended.Sub(v.Now) + bound.duration))
	}
	w.permit = v.Permits[conf.ID]
	w.maxPerSecond = w.permit.Of(f.hostID)
}

// cold reports whether a target counts as cold. The caller holds the lock.
func (s *service) cold(now time.Time, t *target) bool {
	return s.coldLimit.perSecond > 0 && now.Before(t.cold.until)
}

// hasPermit reports whether this host may ever send to a target while it is cold. The caller holds the lock.
func (s *service) hasPermit(t *target) bool { return t.cold.maxPerSecond > 0 }

// admitCold returns whether a request may be sent to a cold target now, and else when. What was given a
// place and has not been sent counts as sent. The caller holds the lock.
func (s *service) admitCold(now time.Time, t *target, urgent bool) (ok bool, next time.Time) {
	w := &t.cold
	if now.Before(s.coldSendsFrom) {
		return false, s.coldSendsFrom
	}
	if !s.permitsValid() {
		return false, now.Add(coldRecheckDelay)
	}
	if w.window.Room(now, w.maxPerSecond, urgent)-w.reserved > 0 {
		return true, now
	}
	next = w.window.Next(now, w.maxPerSecond, urgent)
	if !next.After(now) {
		next = now.Add(coldRecheckDelay)
	}
	return false, next
}

// coldRecheckDelay is the time until a cold target is looked at again whose places are taken by attempts that are
// not sent yet.
const coldRecheckDelay = 20 * time.Millisecond

// coldStartupDelay is for how long a process sends nothing to cold targets: the one before it on the host may have
// sent its part in that second.
const coldStartupDelay = 1100 * time.Millisecond

// authorizeSend takes the right to send to a target that was given a place. It is asked for when the attempt has
// a connection, since that may take longer than a cold target's second.
func (s *service) authorizeSend(t *target, r *request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t.cold.reserved--
	if t.evacuated {
		return errEvacuated
	}
	if !s.cold(now, t) {
		return nil
	}
	if now.Before(s.coldSendsFrom) || !s.permitsValid() || t.cold.window.Room(now, t.cold.maxPerSecond, s.urgent(r)) <= 0 {
		return errColdLimit
	}
	t.cold.window.Sent(now)
	return nil
}

// observeWarmup takes how much longer a target stays cold, as it said; 0: it said nothing. The caller holds the
// lock.
func (s *service) observeWarmup(now time.Time, t *target, left time.Duration) {
	if left <= 0 || s.coldLimit.perSecond <= 0 {
		return
	}
	t.cold.extend(now.Add(left))
	s.signalCold(t)
}

// needsWarmupQuery reports whether a target must be asked how long it stays cold before anything is sent to it, and the
// last sign that it may have started again. One of a service whose health path is not known can't be asked, and
// counts as cold.
func (s *service) needsWarmupQuery(t *target) (doubt int, ask bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &t.cold
	if s.coldLimit.perSecond <= 0 {
		return 0, false
	}
	if t.pool.TakeRestarted() {
		w.restartSigns++
	}
	if w.restartSigns > w.handledSigns && s.checkPath == "" {
		w.handledSigns = w.restartSigns
		s.observeWarmup(time.Now(), t, s.coldLimit.duration)
	}
	return w.restartSigns, w.restartSigns > w.handledSigns
}

// maxWarmupQueryTime is how long a target's word on its coldness is waited for: a pause of its garbage
// collection and a round trip.
const maxWarmupQueryTime = 300 * time.Millisecond

// queryWarmup asks a target that may have started again how long it stays cold, over a connection, and returns
// one for the request. The answer counts for the signs up to doubt.
func (g *Gateway) queryWarmup(ctx context.Context, conn *targetconn.Conn, s *service, t *target, r *request, doubt int) (*targetconn.Conn, error) {
	deadline := time.Now().Add(maxWarmupQueryTime)
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	t.pool.Reserve() // before the question gives its connection back, which others wait for
	v, err := g.queryHealth(ctx, deadline, conn, s, r)
	if err != nil {
		t.pool.Unreserve()
		return nil, err
	}
	s.mu.Lock()
	t.cold.handledSigns = max(t.cold.handledSigns, doubt)
	s.observeWarmup(time.Now(), t, v.Warmup)
	s.mu.Unlock()
	return t.pool.Get(ctx, r.deadline)
}

// unreserveSend notes that an attempt that was given a place at a target is not sent. The caller holds the lock.
func (t *target) unreserveSend() { t.cold.reserved-- }

// urgent reports whether a request is of the most urgent kind that the service gets.
func (s *service) urgent(r *request) bool { return r.rank <= s.urgentRank }

// ColdTarget is a target that is cold and has no permit.
type ColdTarget struct {
	ID    string
	Bound float64  // requests that it bears in a second
	Hosts []string // that work for it
}

// signalCold lets whoever writes permits look at a cold target that has none. The caller holds the lock.
func (s *service) signalCold(t *target) {
	if t.cold.permit.Target != "" || s.coldSignal == nil {
		return
	}
	select {
	case s.coldSignal <- struct{}{}:
	default: // it will look anyway
	}
}

// BecameCold returns a channel that tells when a target without a permit becomes cold.
func (g *Gateway) BecameCold() <-chan struct{} { return g.registry.coldSignal }

// ColdTargets returns the targets that are cold and have no permit.
func (g *Gateway) ColdTargets() []ColdTarget {
	f := g.registry
	var all []ColdTarget
	for _, s := range f.allServices() {
		s.mu.Lock()
		now := time.Now()
		var cold []*target
		for _, t := range s.targets {
			if s.cold(now, t) && t.cold.permit.Target == "" {
				cold = append(cold, t)
			}
		}
		bound := s.coldLimit.perSecond
		s.mu.Unlock()
		for _, t := range cold {
			all = append(all, ColdTarget{ID: t.conf.ID, Bound: bound, Hosts: f.hostsServing(s.name, t.conf.Domain)})
		}
	}
	return all
}

// hostsServing returns the hosts that work for the targets of a service in a failure domain: those that gather
// where it is a shard, any others; of the domain, if there are such.
func (f *serviceRegistry) hostsServing(service, domain string) []string {
	f.mu.Lock()
	route := f.routeByShard[service]
	f.mu.Unlock()
	all := f.gatherers.all()
	if route != nil {
		all = f.gatherers.forRoute(f, route).all(f.gatherers.self)
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
func (r *gathererIndex) all() []member.Host {
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
	if g.selfGathers || len(all) == 0 {
		all = append([]member.Host{self}, all...)
	}
	return all
}
