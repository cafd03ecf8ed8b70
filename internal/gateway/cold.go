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

// A cold target fails at more than a few requests per second. Where the service configures a rate
// for cold targets, a host sends to them only within its permit, and nothing without one.

// coldLimit limits the requests to the cold targets of a service.
type coldLimit struct {
	perSecond float64       // all hosts together; 0: unlimited
	duration  time.Duration // from the start of a target
}

// coldLimit returns the limit of a service's cold targets.
func (c Config) coldLimit(s routing.Service) coldLimit {
	if s.ColdPerSecond <= 0 {
		return coldLimit{}
	}
	return coldLimit{perSecond: s.ColdPerSecond*c.WarmupRatio + c.WarmupSlack, duration: s.ColdFor}
}

// coldState tracks whether a target is cold. It is guarded by the service's lock.
type coldState struct {
	until        time.Time // cold until then
	permit       discovery.Permit
	maxPerSecond int                // requests that this host may send within any second while the target is cold
	window       *policy.ColdWindow // requests of this host that the target may have received within the last second
	reserved     int                // attempts with a connection slot that have not been sent yet
	// restartSigns counts the events that may mean a restart: the target refused a connection, or
	// closed one before its time. While it exceeds handledSigns, the target is queried for its
	// warm-up time before anything is sent.
	restartSigns int
	handledSigns int // value of restartSigns at the last answered query
}

// extend prolongs the time during which the target counts as cold.
func (c *coldState) extend(until time.Time) {
	if until.After(c.until) {
		c.until = until
	}
}

// inherit copies the send window and the cold time of the previous incarnation: the new one may
// have got some of its requests before it registered.
func (c *coldState) inherit(previous *target) {
	c.window = previous.cold.window
	c.until = previous.cold.until
}

// apply updates the state from a view of the cluster. now is the local time of the view.
func (c *coldState) apply(reg *serviceRegistry, conf discovery.Target, v discovery.View, limit coldLimit, now time.Time) {
	if limit.perSecond <= 0 {
		return
	}
	if conf.ColdUntil.After(v.Now) {
		c.extend(now.Add(conf.ColdUntil.Sub(v.Now)))
	}
	if ended, ok := v.EvacuationEnds[conf.Domain]; ok {
		// The targets may have become cold shortly before, which their registrations show only at
		// the next heartbeat.
		c.extend(now.Add(ended.Sub(v.Now) + limit.duration))
	}
	c.permit = v.Permits[conf.ID]
	c.maxPerSecond = c.permit.LimitFor(reg.hostID)
}

// cold reports whether a target counts as cold. The caller holds the lock.
func (s *service) cold(now time.Time, t *target) bool {
	return s.coldLimit.perSecond > 0 && now.Before(t.cold.until)
}

// hasPermit reports whether this host has a permit for a cold target. The caller holds the lock.
func (s *service) hasPermit(t *target) bool { return t.cold.maxPerSecond > 0 }

// admitCold reports whether a request may be sent to a cold target now and, if not, when to check
// again. Attempts with a connection slot count as sent. The caller holds the lock.
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

// coldRecheckDelay is the time until a cold target is checked again whose permit is used up by
// attempts that are not sent yet.
const coldRecheckDelay = 20 * time.Millisecond

// coldStartupDelay is how long after its start a process sends nothing to cold targets: the
// previous process on the host may have used up the permit of that second.
const coldStartupDelay = 1100 * time.Millisecond

// authorizeSend charges an attempt to the permit of a cold target. It is called when the attempt
// has a connection, since connecting may take longer than the second that the permit covers. The
// charge, nil if the target is not cold, stands until a second after the attempt has ended:
// finishAttempt ends it.
func (s *service) authorizeSend(t *target, r *request) (*policy.ColdSend, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t.cold.reserved--
	if t.evacuated {
		return nil, errEvacuated
	}
	if s.versionMoved(t) {
		return nil, errVersionMoved
	}
	if !s.cold(now, t) {
		return nil, nil
	}
	if now.Before(s.coldSendsFrom) || !s.permitsValid() || t.cold.window.Room(now, t.cold.maxPerSecond, s.urgent(r)) <= 0 {
		return nil, errColdLimit
	}
	return t.cold.window.Send(), nil
}

// endColdSend ends the charge of an attempt to a permit, if there is one. The caller holds the lock.
func (r result) endColdSend(now time.Time) {
	switch {
	case r.coldSend == nil:
	case r.answer.Status != 0:
		r.coldSend.Answered(now)
	default:
		r.coldSend.GivenUp(now)
	}
}

// observeWarmup records the remaining warm-up time that a target reported; 0: it reported none. The
// caller holds the lock.
func (s *service) observeWarmup(now time.Time, t *target, left time.Duration) {
	if left <= 0 || s.coldLimit.perSecond <= 0 {
		return
	}
	t.cold.extend(now.Add(left))
	s.signalCold(t)
}

// needsWarmupQuery reports whether a target must be queried for its warm-up time before anything is
// sent to it, and the current count of restart signs. A target whose health path is unknown can't
// be queried, and counts as cold.
func (s *service) needsWarmupQuery(t *target) (signs int, needed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &t.cold
	if s.coldLimit.perSecond <= 0 {
		return 0, false
	}
	if t.pool.TakeMayHaveRestarted() {
		w.restartSigns++
	}
	if w.restartSigns > w.handledSigns && s.checkPath == "" {
		w.handledSigns = w.restartSigns
		s.observeWarmup(time.Now(), t, s.coldLimit.duration)
	}
	return w.restartSigns, w.restartSigns > w.handledSigns
}

// maxWarmupQueryTime limits the wait for the answer to a warm-up query: a garbage collection pause
// of the target and a round trip.
const maxWarmupQueryTime = 300 * time.Millisecond

// queryWarmup queries a target that may have restarted for its warm-up time over a connection, and
// returns a connection for the request. The answer covers the restart signs up to signs.
func (g *Gateway) queryWarmup(ctx context.Context, conn *targetconn.Conn, s *service, t *target, r *request, signs int) (*targetconn.Conn, error) {
	deadline := time.Now().Add(maxWarmupQueryTime)
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	t.pool.Reserve() // before the query releases its connection, which other requests wait for
	v, err := g.queryHealth(ctx, deadline, conn, s, t, r)
	if err != nil {
		t.pool.CancelReservation()
		return nil, err
	}
	s.mu.Lock()
	t.cold.handledSigns = max(t.cold.handledSigns, signs)
	s.observeWarmup(time.Now(), t, v.Warmup)
	s.mu.Unlock()
	return t.pool.Get(ctx, r.deadline, r.call.RequestID)
}

// unreserveSend records that an attempt with a connection slot is not sent. The caller holds the
// lock.
func (t *target) unreserveSend() { t.cold.reserved-- }

// urgent reports whether a request has the lowest, most urgent rank among the service's routes.
func (s *service) urgent(r *request) bool { return r.rank <= s.urgentRank }

// ColdTarget is a cold target without a permit.
type ColdTarget struct {
	ID           string
	MaxPerSecond float64  // requests per second that it can take
	Hosts        []string // hosts that send requests to it
}

// signalCold notifies the permit writer of a cold target without a permit. The caller holds the
// lock.
func (s *service) signalCold(t *target) {
	if t.cold.permit.Target != "" || s.coldSignal == nil {
		return
	}
	select {
	case s.coldSignal <- struct{}{}:
	default: // a notification is already pending
	}
}

// BecameCold returns a channel that receives when a target without a permit becomes cold.
func (g *Gateway) BecameCold() <-chan struct{} { return g.registry.coldSignal }

// ColdTargets returns the cold targets without a permit.
func (g *Gateway) ColdTargets() []ColdTarget {
	reg := g.registry
	var all []ColdTarget
	for _, s := range reg.allServices() {
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
			all = append(all, ColdTarget{ID: t.info.ID, MaxPerSecond: bound, Hosts: reg.hostsServing(s.name, t.info.Domain)})
		}
	}
	return all
}

// hostsServing returns the hosts that send requests to the targets of a service in a failure
// domain: those that gather its route if the service is a shard, all hosts otherwise. Only the
// hosts in that domain are returned if there are any.
func (reg *serviceRegistry) hostsServing(service, domain string) []string {
	reg.mu.Lock()
	route := reg.routeByShard[service]
	reg.mu.Unlock()
	all := reg.gatherers.all()
	if route != nil {
		all = reg.gatherers.forRoute(reg, route).all(reg.gatherers.self)
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

// all returns the live hosts, including this one.
func (index *gathererIndex) all() []member.Host {
	all := []member.Host{index.self}
	for _, h := range index.hosts() {
		if h.ID != index.self.ID && h.State == member.Alive {
			all = append(all, h)
		}
	}
	return all
}

// all returns the hosts that gather the route. It includes self if self gathers or no other host
// does.
func (g *gatherers) all(self member.Host) []member.Host {
	all := g.hosts
	if g.selfGathers || len(all) == 0 {
		all = append([]member.Host{self}, all...)
	}
	return all
}
