package relay

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

const (
	pollJitter     = 0.1     // of the interval, either way
	maxStatusBytes = 1 << 20 // of a status answer
	leastPollPause = 10 * time.Millisecond
)

// pollTargets reads the status of every target that this host relays, each
// one about once in a StatusInterval, spread evenly over it. One goroutine
// keeps the time; each poll in flight has its own, bounded by the timeout.
func (r *Relay) pollTargets(ctx context.Context) {
	next := map[*target]time.Time{}
	for ctx.Err() == nil {
		now := time.Now()
		wait := r.cfg.StatusInterval.Std()
		alive := make(map[*target]time.Time, len(next))
		for _, p := range r.current().pools {
			p.closeForeign()
			for _, t := range p.polled() {
				at, known := next[t]
				if !known || !at.After(now) {
					r.work.Go(func() { p.poll(ctx, t) })
					at = now.Add(jitter(r.cfg.StatusInterval.Std()))
				}
				alive[t] = at
				wait = min(wait, at.Sub(now))
			}
		}
		next = alive
		await.Sleep(ctx, max(wait, leastPollPause))
	}
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
}

// polled returns the targets that this host polls: none of a service that it
// does not relay.
func (p *pool) polled() []*target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.own {
		return nil
	}
	return append([]*target(nil), p.targets...)
}

// closeForeign closes the idle connections to targets that this host no longer
// relays; they count against the targets' limits.
func (p *pool) closeForeign() {
	p.mu.Lock()
	own := p.own
	p.mu.Unlock()
	if !own {
		p.close()
	}
}

func (p *pool) poll(ctx context.Context, t *target) {
	ctx, cancel := context.WithTimeout(ctx, p.relay.cfg.StatusTimeout.Std())
	defer cancel()
	p.setPolling(t, true)
	s, err := t.status(ctx)
	p.setPolling(t, false)
	if err != nil {
		p.relay.metrics.polls.WithLabelValues("status", "failed").Inc()
		return
	}
	p.relay.metrics.polls.WithLabelValues("status", "answered").Inc()
	p.applyStatus(t, s)
}

func (p *pool) setPolling(t *target, on bool) {
	p.mu.Lock()
	t.polling = on
	var refused refusals
	if !on {
		refused = p.drain(time.Now())
	}
	p.mu.Unlock()
	refused.tell()
}

// applyStatus takes a status. Of its claims only a start and a draining state
// count; that it is ready proves nothing, its answers show that.
func (p *pool) applyStatus(t *target, s targetapi.Status) {
	now := time.Now()
	p.mu.Lock()
	switch t.health.status(now, s) {
	case started:
		p.started(now, t)
	case left:
		p.left(t)
		p.tell(now, t, signStatus)
	case unchanged:
	}
	refused := p.drain(now)
	p.mu.Unlock()
	refused.tell()
}

// started forgets what the target's last incarnation showed.
func (p *pool) started(now time.Time, t *target) {
	t.rep.Restart(now, 0)
	t.rep.Ramp = policy.Ramp{}
	t.warmUp(now, p.relay.cfg.ColdRamp.Std())
	p.relay.log.Event(evTargetStarted).Str("service", p.name).Str("target", t.conf.ID).
		Uint64("incarnation", t.health.incarnation).Msg("")
}

func (t *target) status(ctx context.Context) (targetapi.Status, error) {
	req := &http.Request{
		Method: http.MethodGet, Host: t.conf.Address, Header: http.Header{},
		URL:   &url.URL{Scheme: "http", Host: t.conf.Address, Path: targetapi.PathStatus},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	res, err := t.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return targetapi.Status{}, Error.New("read status: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	var s targetapi.Status
	if res.StatusCode != http.StatusOK {
		return s, Error.New("read status: answer %d", res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxStatusBytes)).Decode(&s); err != nil {
		return s, Error.New("parse status: %w", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxStatusBytes)) // lets the connection be kept
	if s.ID != t.conf.ID {
		return s, Error.New("status of target %q", s.ID)
	}
	return s, nil
}
