package relay

import (
	"context"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/member"
)

// TargetSign informs another relay of a service that a target is leaving, or
// that the host list no longer lists it as leaving.
type TargetSign struct {
	Service     string
	Target      string
	Incarnation uint64 // greatest that the sender observed of the target, 0 if none
	Sign        Sign
}

// SignSender sends signs to another host. After an error the signs may or may
// not have arrived; a duplicate has no effect.
type SignSender interface {
	SendSigns(ctx context.Context, to member.Host, signs []TargetSign) error
}

// Limits of the delivery of signs to another relay.
const (
	signMaxAge      = 3 * time.Second        // then a sign is dropped: the relay is gone or has detected the target by itself
	signCallTimeout = 500 * time.Millisecond // of one call
	signRetryDelay  = 300 * time.Millisecond // after a failed call
)

// pendingSign is a sign that is not delivered yet.
type pendingSign struct {
	sign      TargetSign
	expiresAt time.Time
}

// recipient is a host at one peer address.
type recipient struct{ id, peer string }

// announcer delivers signs to other hosts. Each host has at most one call in
// flight, which carries all signs pending for it. A frozen host therefore
// delays no other, and many targets that leave at once need few calls.
type announcer struct {
	relay *Relay

	mu      sync.Mutex
	ctx     context.Context             // nil before start and after stop
	pending map[recipient][]pendingSign // an entry exists while deliver runs for the host
}

func (a *announcer) start(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ctx, a.pending = ctx, map[recipient][]pendingSign{}
}

func (a *announcer) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ctx = nil
}

// announce queues the sign for each of the hosts except this one. It does not
// block.
func (a *announcer) announce(now time.Time, hosts []member.Host, s TargetSign) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.relay.SignSender == nil || a.ctx == nil {
		return
	}
	self := a.relay.members.Self().ID
	for _, h := range hosts {
		if h.ID == self {
			continue
		}
		key := recipient{h.ID, h.PeerAddress}
		pending, busy := a.pending[key]
		a.pending[key] = append(pending, pendingSign{s, now.Add(signMaxAge)})
		if !busy {
			ctx := a.ctx
			a.relay.work.Go(func() { a.deliver(ctx, h) })
		}
	}
}

// deliver sends the pending signs of the host until none is left.
func (a *announcer) deliver(ctx context.Context, to member.Host) {
	key := recipient{to.ID, to.PeerAddress}
	var cause error
	for {
		batch := a.nextBatch(key, cause)
		if len(batch) == 0 {
			return
		}
		if cause = a.send(ctx, to, batch); cause == nil {
			a.markDelivered(key, len(batch))
			continue
		}
		await.Sleep(ctx, signRetryDelay)
	}
}

// nextBatch returns the pending signs of the host, oldest first, and drops the
// expired ones. If none is left it removes the entry of the host.
func (a *announcer) nextBatch(key recipient, cause error) []TargetSign {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	pending, expired := a.pending[key], 0
	for expired < len(pending) && (a.ctx == nil || !now.Before(pending[expired].expiresAt)) {
		expired++
	}
	if expired > 0 && a.ctx != nil {
		a.relay.recordUndelivered(key.id, expired, cause)
	}
	a.pending[key] = pending[expired:]
	if expired == len(pending) {
		delete(a.pending, key)
	}
	var out []TargetSign
	for _, d := range pending[expired:] {
		out = append(out, d.sign)
	}
	return out
}

// markDelivered removes the first n pending signs of the host.
func (a *announcer) markDelivered(key recipient, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending[key] = a.pending[key][n:]
	a.relay.metrics.signs.WithLabelValues("told").Add(float64(n))
}

func (a *announcer) send(ctx context.Context, to member.Host, signs []TargetSign) error {
	ctx, cancel := context.WithTimeout(ctx, signCallTimeout)
	defer cancel()
	return a.relay.SignSender.SendSigns(ctx, to, signs)
}

func (r *Relay) recordUndelivered(host string, signs int, cause error) {
	r.metrics.signs.WithLabelValues("untold").Add(float64(signs))
	text := "earlier calls to the host took too long"
	if cause != nil {
		text = cause.Error()
	}
	r.log.Event(evSignsUndelivered).Str("to", host).Int("signs", signs).Str("cause", text).Msg("")
}

// announce sends a sign of the target to the other relays of the service. The
// caller holds the lock of the pool.
func (p *pool) announce(now time.Time, t *target, s Sign) {
	t.health.announced = s
	p.relay.announcer.announce(now, p.relayHosts, t.sign(s))
}

func (t *target) sign(s Sign) TargetSign {
	return TargetSign{Service: t.service, Target: t.conf.ID, Incarnation: t.health.incarnation, Sign: s}
}

// announceToNewRelays sends the signs that are in force to the hosts that are
// not in previousHosts or have restarted since. The caller holds the lock of
// the pool.
func (p *pool) announceToNewRelays(now time.Time, previousHosts []member.Host) {
	var newRelays []member.Host
	for _, h := range p.relayHosts {
		if !containsIncarnation(previousHosts, h) {
			newRelays = append(newRelays, h)
		}
	}
	for _, t := range p.targets {
		if p.assigned && t.health.leaving != signNone {
			p.relay.announcer.announce(now, newRelays, t.sign(t.health.leaving))
		}
	}
}

// containsIncarnation reports whether hosts contains the host with the same
// incarnation.
func containsIncarnation(hosts []member.Host, h member.Host) bool {
	for _, x := range hosts {
		if x.ID == h.ID && x.Incarnation == h.Incarnation {
			return true
		}
	}
	return false
}

// ReceiveSigns applies signs that another host observed, as if this host had
// observed them, but does not announce them further. Signs of unknown
// services, targets or kinds are dropped.
func (r *Relay) ReceiveSigns(signs []TargetSign) {
	for _, s := range signs {
		result := "unknown"
		if p := r.pool(s.Service); p != nil && s.Sign.valid() {
			result = p.receiveSign(s)
		}
		r.metrics.signs.WithLabelValues(result).Inc()
	}
}

func (p *pool) receiveSign(s TargetSign) string {
	now := time.Now()
	p.mu.Lock()
	t, ok := p.byID[s.Target]
	if !ok {
		p.mu.Unlock()
		return "unknown"
	}
	previousIncarnation := t.health.incarnation
	result := t.health.applyRemoteSign(now, s.Sign, s.Incarnation, p.relay.cfg.HostListLag.Std())
	if previousIncarnation != 0 && t.health.incarnation > previousIncarnation {
		p.resetRestarted(now, t)
	}
	if result == resultApplied {
		p.recordLeaving(t)
	}
	refused := p.dispatch(now)
	p.mu.Unlock()
	refused.notify()
	return string(result)
}
