package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/targetconn"
)

// A request may end each target that runs it. What tells it from a bad target: its attempts
// broke off at targets that take no connection afterwards, and again at another one where it
// was tried alone. Then no host sends it to a target.

// quarantineKeys returns what the request asks and for whom, as it is known to all hosts. It is made when it
// is first wanted, as most requests need none.
func (r *request) quarantineKeys() quarantine.Request {
	r.keysOnce.Do(func() {
		r.cachedKeys = quarantine.NewRequest(addressOf(r.caller), r.method, r.host, r.uri, r.body)
	})
	return r.cachedKeys
}

// hasSuspects reports whether anything is held against any request, so that it is worth asking of one.
func (g *Gateway) hasSuspects() bool { return !g.requests.Empty() && !g.cfg.disabled(Quarantine) }

// quarantineMode returns how attempts of a request are to be made, and for how long if not at all.
func (g *Gateway) quarantineMode(r *request) (s quarantine.Stance, left time.Duration) {
	if !g.hasSuspects() {
		return quarantine.Free, 0
	}
	return g.requests.Stance(r.quarantineKeys())
}

// quarantined reports whether a request is kept from targets.
func (g *Gateway) quarantined(r *request) bool {
	mode, _ := g.quarantineMode(r)
	return mode == quarantine.Quarantined
}

// admit waits until the run may make a further attempt, and reports whether it is made alone.
func (r *run) admit(ctx context.Context) (alone bool, err error) {
	g := r.gateway
	if !g.hasSuspects() {
		return false, nil
	}
	a := quarantine.Attempt{Request: r.request.quarantineKeys(), Service: r.service.name, Among: r.route.Shards}
	return g.requests.Admit(ctx, a, r.request.acquireDeadline())
}

// releaseAdmission ends an attempt that was admitted.
func (r *run) releaseAdmission(alone bool) {
	if alone {
		r.gateway.requests.Left(r.request.quarantineKeys())
	}
}

// reconnectCheckTimeout bounds the question whether a target still takes connections. One that has
// ended refuses within a round trip.
const reconnectCheckTimeout = 100 * time.Millisecond

// refusesConnections reports whether a target whose connection broke off takes no connection any more. One
// that does keeps the new connection for the next request.
func (g *Gateway) refusesConnections(ctx context.Context, s *service, t *target) bool {
	ctx, cancel := context.WithTimeout(ctx, reconnectCheckTimeout)
	defer cancel()
	ended := targetconn.Refused(t.pool.Check(ctx))
	if ended {
		s.mu.Lock()
		t.noteUnreachable()
		s.mu.Unlock()
	}
	return ended
}

// updateQuarantine holds an attempt against its request, or clears the request by it.
func (g *Gateway) updateQuarantine(r *request, s *service, t *target, res result, alone bool) {
	if g.cfg.disabled(Quarantine) || s.inEvacuatedDomain(t) {
		return
	}
	switch {
	case res.outcome == outcome.Done:
		if g.hasSuspects() && g.requests.Answered(r.quarantineKeys(), t.conf.Service) {
			g.log.Event(evCleared).Str("request", r.call.RequestID).Str("content", r.quarantineKeys().Content()).Str("target", t.conf.ID).Msg("")
		}
	case res.targetRestarted, res.connectionLost && g.refusesConnections(r.ctx, s, t):
		g.recordStrike(r, t, alone)
	case alone && unresolved(res) && g.requests.Strikes(r.quarantineKeys()) >= unresolvedStrikeThreshold:
		// Twice its targets have ended, and this attempt has shown nothing: its target may
		// end later, or the time that it was given ended first.
		g.recordStrike(r, t, alone)
	}
}

// unresolvedStrikeThreshold is from how many strikes on an attempt made alone that nothing is heard of counts as
// one more.
const unresolvedStrikeThreshold = 2

// unresolved reports whether an attempt may have run and nothing is known of its target since.
func unresolved(res result) bool { return res.outcome == outcome.Unknown || res.targetTimedOut }

// recordStrike notes that a target ended under a request. What ended at one blow, as all parts of a query
// were sent, counts once, on all hosts that gather a part of it: requests that were in flight there
// by chance have that one, too.
func (g *Gateway) recordStrike(r *request, t *target, alone bool) {
	id := xxhash.Sum64String(r.call.RequestID)
	if alone {
		id = xxhash.Sum64String(r.call.RequestID + "/" + t.conf.ID)
	}
	quarantined := g.requests.Ended(r.quarantineKeys(), id, t.conf.Service)
	g.metrics.targetsEnded.Inc()
	if g.logLimits.brokeOff.Allow() {
		g.log.Event(evTargetEnded).Str("request", r.call.RequestID).Str("content", r.quarantineKeys().Content()).Str("target", t.conf.ID).
			Str("service", t.conf.Service).Bool("alone", alone).Int("strikes", g.requests.Strikes(r.quarantineKeys())).
			Bool("quarantined", quarantined).Msg("")
	}
}

// mergeQuarantineRecords takes what a host that gathered for this one knows of a query.
func (g *Gateway) mergeQuarantineRecords(got Gathered) {
	if len(got.Known) > 0 && !g.cfg.disabled(Quarantine) {
		g.requests.Merge(got.Known)
	}
}

// quarantineRecords returns what is known of a request that was gathered for another host.
func (g *Gateway) quarantineRecords(r *request) []quarantine.Record {
	if !g.hasSuspects() {
		return nil
	}
	return g.requests.Known(r.quarantineKeys())
}
