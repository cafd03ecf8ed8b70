package relay

import (
	"context"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/member"
)

// TargetSign tells another relay of a service that a target of it leaves, or
// that the platform's list took that back.
type TargetSign struct {
	Service     string
	Target      string
	Incarnation uint64 // greatest that the teller has seen of the target, 0 if none
	Sign        Sign
}

// Teller carries signs to another host. An error means that they may not have
// come there; told twice they do no harm.
type Teller interface {
	Tell(ctx context.Context, to member.Host, signs []TargetSign) error
}

// A sign that was not told within tellSpan is given up: by then the relay is
// either gone or has its own.
const (
	tellSpan    = 3 * time.Second
	tellTimeout = 500 * time.Millisecond // of one call
	tellPause   = 300 * time.Millisecond // after a failed call
)

// dueSign is a sign on its way to a host.
type dueSign struct {
	sign  TargetSign
	until time.Time
}

// recipient is one host at one address.
type recipient struct{ id, peer string }

// courier tells other hosts of signs. A host has one call in flight, which
// carries all that is due to it, so that a frozen host delays no other and
// many targets that leave at once do not mean many calls.
type courier struct {
	relay *Relay

	mu   sync.Mutex
	ctx  context.Context         // nil: not started, or stopped
	dues map[recipient][]dueSign // of the hosts that are being told
}

func (c *courier) start(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx, c.dues = ctx, map[recipient][]dueSign{}
}

func (c *courier) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx = nil
}

// tell sends the sign to the hosts but this one. It never blocks.
func (c *courier) tell(now time.Time, hosts []member.Host, s TargetSign) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relay.Teller == nil || c.ctx == nil {
		return
	}
	self := c.relay.members.Self().ID
	for _, h := range hosts {
		if h.ID == self {
			continue
		}
		key := recipient{h.ID, h.Peer}
		due, busy := c.dues[key]
		c.dues[key] = append(due, dueSign{s, now.Add(tellSpan)})
		if !busy {
			ctx := c.ctx
			c.relay.work.Go(func() { c.serve(ctx, h) })
		}
	}
}

// serve tells the host until nothing is due to it any more.
func (c *courier) serve(ctx context.Context, to member.Host) {
	key := recipient{to.ID, to.Peer}
	var cause error
	for {
		due := c.due(key, cause)
		if len(due) == 0 {
			return
		}
		if cause = c.call(ctx, to, due); cause == nil {
			c.done(key, len(due))
			continue
		}
		await.Sleep(ctx, tellPause)
	}
}

// due returns what the host is to be told, in order. It drops what is too
// late; if nothing is left, the host counts as not being told any more.
func (c *courier) due(key recipient, cause error) []TargetSign {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	due, lost := c.dues[key], 0
	for lost < len(due) && (c.ctx == nil || !now.Before(due[lost].until)) {
		lost++
	}
	if lost > 0 && c.ctx != nil {
		c.relay.noteUntold(key.id, lost, cause)
	}
	c.dues[key] = due[lost:]
	if lost == len(due) {
		delete(c.dues, key)
	}
	var out []TargetSign
	for _, d := range due[lost:] {
		out = append(out, d.sign)
	}
	return out
}

// done takes off the first n signs due to the host; they came there.
func (c *courier) done(key recipient, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dues[key] = c.dues[key][n:]
	c.relay.metrics.signs.WithLabelValues("told").Add(float64(n))
}

func (c *courier) call(ctx context.Context, to member.Host, signs []TargetSign) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return c.relay.Teller.Tell(ctx, to, signs)
}

func (r *Relay) noteUntold(host string, signs int, cause error) {
	r.metrics.signs.WithLabelValues("untold").Add(float64(signs))
	text := "the calls before took too long"
	if cause != nil {
		text = cause.Error()
	}
	r.log.Event(evSignsUntold).Str("to", host).Int("signs", signs).Str("cause", text).Msg("")
}

// tell tells the other relays of the service of the target's sign. The pool's
// lock is held.
func (p *pool) tell(now time.Time, t *target, s Sign) {
	t.health.told = s
	p.relay.courier.tell(now, p.hosts, t.sign(s))
}

func (t *target) sign(s Sign) TargetSign {
	return TargetSign{Service: t.service, Target: t.conf.ID, Incarnation: t.health.incarnation, Sign: s}
}

// tellNew tells the hosts that are relays only now, or have started again
// since, of the signs that stand. The pool's lock is held.
func (p *pool) tellNew(now time.Time, before []member.Host) {
	var fresh []member.Host
	for _, h := range p.hosts {
		if !containsStart(before, h) {
			fresh = append(fresh, h)
		}
	}
	for _, t := range p.targets {
		if p.own && t.health.leaving != signNone {
			p.relay.courier.tell(now, fresh, t.sign(t.health.leaving))
		}
	}
}

func containsStart(hosts []member.Host, h member.Host) bool {
	for _, x := range hosts {
		if x.ID == h.ID && x.Incarnation == h.Incarnation {
			return true
		}
	}
	return false
}

// Told takes signs that another host saw, as if they were this host's own, but
// tells nobody of them. Signs of unknown services, targets or kinds are
// dropped.
func (r *Relay) Told(signs []TargetSign) {
	for _, s := range signs {
		result := "unknown"
		if p := r.pool(s.Service); p != nil && s.Sign.known() {
			result = p.told(s)
		}
		r.metrics.signs.WithLabelValues(result).Inc()
	}
}

func (p *pool) told(s TargetSign) string {
	now := time.Now()
	p.mu.Lock()
	t, ok := p.byID[s.Target]
	if !ok {
		p.mu.Unlock()
		return "unknown"
	}
	before := t.health.incarnation
	verdict := t.health.hear(now, s.Sign, s.Incarnation, p.relay.cfg.HostListLag.Std())
	if before != 0 && t.health.incarnation > before {
		p.started(now, t)
	}
	if verdict == heardFirst {
		p.left(t)
	}
	refused := p.drain(now)
	p.mu.Unlock()
	refused.tell()
	return string(verdict)
}
