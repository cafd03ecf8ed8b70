package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/targetconn"
)

// A request can make each target that runs it end, that is, crash or exit. Two signs distinguish it
// from a bad target: connections of its attempts break at targets that refuse connections
// afterwards, and that happens again at another target where the request ran alone. Then no host
// sends it to a target.

// quarantineKeys returns the keys of the request's content and caller, which are the same on all
// hosts. They are computed on first use, as most requests need none.
func (r *request) quarantineKeys() quarantine.Request {
	r.keysOnce.Do(func() {
		r.cachedKeys = quarantine.NewRequest(addressOf(r.caller), r.method, r.host, r.uri, r.body)
	})
	return r.cachedKeys
}

// hasSuspects reports whether any request has a quarantine record, so that a lookup can find one.
func (g *Gateway) hasSuspects() bool {
	return !g.quarantineTable.Empty() && !g.cfg.disabled(Quarantine)
}

// quarantineMode returns how attempts of a request may be made, and for how much longer it is
// quarantined.
func (g *Gateway) quarantineMode(r *request) (s quarantine.Status, left time.Duration) {
	if !g.hasSuspects() {
		return quarantine.Free, 0
	}
	return g.quarantineTable.Status(r.quarantineKeys())
}

// quarantined reports whether a request is quarantined.
func (g *Gateway) quarantined(r *request) bool {
	mode, _ := g.quarantineMode(r)
	return mode == quarantine.Quarantined
}

// admit waits until the run may make a further attempt, and reports whether that attempt must run
// alone.
func (r *run) admit(ctx context.Context) (alone bool, err error) {
	g := r.gateway
	if !g.hasSuspects() {
		return false, nil
	}
	a := quarantine.Attempt{Request: r.request.quarantineKeys(), Service: r.service.name, Among: r.route.Shards}
	return g.quarantineTable.Admit(ctx, a, r.request.acquireDeadline())
}

// releaseAdmission ends an attempt that admit let through.
func (r *run) releaseAdmission(alone bool) {
	if alone {
		r.gateway.quarantineTable.Release(r.request.quarantineKeys())
	}
}

// reconnectCheckTimeout bounds the check whether a target still accepts connections. One that has
// ended refuses within a round trip.
const reconnectCheckTimeout = 100 * time.Millisecond

// refusesConnections reports whether a target whose connection broke refuses new connections. If it
// accepts, the new connection is kept for the next request.
func (g *Gateway) refusesConnections(ctx context.Context, s *service, t *target) bool {
	ctx, cancel := context.WithTimeout(ctx, reconnectCheckTimeout)
	defer cancel()
	refused := targetconn.Refused(t.pool.ProbeConnection(ctx))
	if refused {
		s.mu.Lock()
		t.noteUnreachable()
		s.mu.Unlock()
	}
	return refused
}

// updateQuarantine adds a strike to the request's quarantine record or clears it, by the result of
// an attempt.
func (g *Gateway) updateQuarantine(r *request, s *service, t *target, res result, alone bool) {
	if g.cfg.disabled(Quarantine) || s.inEvacuatedDomain(t) {
		return
	}
	switch {
	case res.outcome == outcome.Done:
		if g.hasSuspects() && g.quarantineTable.Answered(r.quarantineKeys(), t.info.Service) {
			g.log.Event(evCleared).Str("request", r.call.RequestID).Str("content", r.quarantineKeys().Content()).Str("target", t.info.ID).Msg("")
		}
	case res.targetRestarted, res.connectionLost && g.refusesConnections(r.ctx, s, t):
		g.recordStrike(r, t, alone)
	case alone && unresolved(res) && g.quarantineTable.Strikes(r.quarantineKeys()) >= unresolvedStrikeThreshold:
		// Targets have ended twice under the request, and this attempt is inconclusive: its target
		// may end later, or the time that it was given passed first.
		g.recordStrike(r, t, alone)
	}
}

// unresolvedStrikeThreshold is the number of strikes from which on an inconclusive attempt that ran
// alone counts as another strike.
const unresolvedStrikeThreshold = 2

// unresolved reports whether an attempt may have run and the state of its target is unknown since.
func unresolved(res result) bool { return res.outcome == outcome.Unknown || res.targetTimedOut }

// recordStrike records that a target ended under a request. Targets that end together when all parts
// of a query are sent count as one strike, on all hosts that gather a part: requests that were in
// flight there by chance get that strike too.
func (g *Gateway) recordStrike(r *request, t *target, alone bool) {
	id := xxhash.Sum64String(r.call.RequestID)
	if alone {
		id = xxhash.Sum64String(r.call.RequestID + "/" + t.info.ID)
	}
	quarantined := g.quarantineTable.Ended(r.quarantineKeys(), id, t.info.Service)
	g.metrics.targetsEnded.Inc()
	if g.logLimits.attempts.Allow() {
		g.log.Event(evTargetEnded).Str("request", r.call.RequestID).Str("content", r.quarantineKeys().Content()).Str("target", t.info.ID).
			Str("service", t.info.Service).Bool("alone", alone).Int("strikes", g.quarantineTable.Strikes(r.quarantineKeys())).
			Bool("quarantined", quarantined).Msg("")
	}
}

// mergeQuarantineRecords merges the quarantine records that came with the result of a helper.
func (g *Gateway) mergeQuarantineRecords(got Gathered) {
	if len(got.QuarantineRecords) > 0 && !g.cfg.disabled(Quarantine) {
		g.quarantineTable.Merge(got.QuarantineRecords)
	}
}

// quarantineRecords returns the records of a request that was gathered for another host.
func (g *Gateway) quarantineRecords(r *request) []quarantine.Record {
	if !g.hasSuspects() {
		return nil
	}
	return g.quarantineTable.Known(r.quarantineKeys())
}
