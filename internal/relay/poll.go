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
	pollJitter     = 0.1     // maximum deviation as a fraction of the interval
	maxStatusBytes = 1 << 20 // of a status response
	minPollPause   = 10 * time.Millisecond
)

// pollTargets polls the status of every target of the services that this host
// relays, each about once per StatusInterval, spread evenly over the interval.
// One goroutine schedules the polls; each poll runs on its own, bounded by
// StatusTimeout, so that a target that does not respond delays no other.
func (r *Relay) pollTargets(ctx context.Context) {
	next := map[*target]time.Time{}
	for ctx.Err() == nil {
		now := time.Now()
		wait := r.cfg.StatusInterval.Std()
		polled := make(map[*target]time.Time, len(next))
		for _, p := range r.current().pools {
			p.closeIfUnassigned()
			for _, t := range p.targetsToPoll() {
				at, known := next[t]
				if !known || !at.After(now) {
					r.work.Go(func() { p.poll(ctx, t) })
					at = now.Add(jitter(r.cfg.StatusInterval.Std()))
				}
				polled[t] = at
				wait = min(wait, at.Sub(now))
			}
		}
		next = polled
		await.Sleep(ctx, max(wait, minPollPause))
	}
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
}

// targetsToPoll returns the targets that this host polls: none if it does not
// relay the service.
func (p *pool) targetsToPoll() []*target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.assigned {
		return nil
	}
	return append([]*target(nil), p.targets...)
}

// closeIfUnassigned closes the idle connections to the targets if this host
// does not relay the service. They count against the connection limits of the
// targets.
func (p *pool) closeIfUnassigned() {
	p.mu.Lock()
	assigned := p.assigned
	p.mu.Unlock()
	if !assigned {
		p.close()
	}
}

func (p *pool) poll(ctx context.Context, t *target) {
	ctx, cancel := context.WithTimeout(ctx, p.relay.cfg.StatusTimeout.Std())
	defer cancel()
	p.setPolling(t, true)
	s, err := t.fetchStatus(ctx)
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
		refused = p.dispatch(time.Now())
	}
	p.mu.Unlock()
	refused.notify()
}

// applyStatus applies the status of a target. Only a start and the draining
// state have an effect; a ready state is not trusted, attempts have to show
// it.
func (p *pool) applyStatus(t *target, s targetapi.Status) {
	now := time.Now()
	p.mu.Lock()
	switch t.health.applyStatus(now, s) {
	case statusStarted:
		p.resetRestarted(now, t)
	case statusLeaving:
		p.recordLeaving(t)
		p.announce(now, t, signStatus)
	case statusUnchanged:
	}
	refused := p.dispatch(now)
	p.mu.Unlock()
	refused.notify()
}

// resetRestarted discards the policy state of the previous incarnation of the
// target.
func (p *pool) resetRestarted(now time.Time, t *target) {
	t.replica.Restart(now, 0)
	t.replica.Ramp = policy.Ramp{}
	t.startRamp(now, p.relay.cfg.ColdRamp.Std())
	p.relay.log.Event(evTargetStarted).Str("service", p.name).Str("target", t.conf.ID).
		Uint64("incarnation", t.health.incarnation).Msg("")
}

func (t *target) fetchStatus(ctx context.Context) (targetapi.Status, error) {
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
		return s, Error.New("read status: unexpected HTTP status %d", res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxStatusBytes)).Decode(&s); err != nil {
		return s, Error.New("parse status: %w", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxStatusBytes)) // so that the connection can be reused
	if s.ID != t.conf.ID {
		return s, Error.New("read status: response is from target %q", s.ID)
	}
	return s, nil
}
