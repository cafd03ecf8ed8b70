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

// contentKey returns the key of what the request asks and for whom. It is made when it is
// first wanted, as most requests need none.
func (r *request) contentKey() quarantine.Key {
	r.contentOnce.Do(func() {
		r.content = quarantine.KeyOf(addressOf(r.caller), r.method, r.host, r.uri, r.body)
	})
	return r.content
}

// stance returns how attempts of a request are to be made, and until when if not at all.
func (g *Gateway) stance(r *request) (quarantine.Stance, time.Time) {
	if g.requests.Empty() || g.cfg.off(Quarantine) {
		return quarantine.Free, time.Time{}
	}
	return g.requests.Stance(r.contentKey())
}

// admit waits until the run may make a further attempt, and reports whether it is made alone.
func (r *run) admit(ctx context.Context) (alone bool, err error) {
	g := r.gateway
	if g.requests.Empty() || g.cfg.off(Quarantine) {
		return false, nil
	}
	a := quarantine.Attempt{Key: r.request.contentKey(), Service: r.service.name, Among: r.route.Shards}
	return g.requests.Admit(ctx, a, r.request.waitUntil())
}

// left ends an attempt that was admitted.
func (r *run) left(alone bool) {
	if alone {
		r.gateway.requests.Left(r.request.contentKey())
	}
}

// checkTimeout bounds the question whether a target still takes connections. One that has
// ended refuses within a round trip.
const checkTimeout = 100 * time.Millisecond

// hasEnded reports whether a target whose connection broke off takes no connection any more. One
// that does keeps the new connection for the next request.
func (g *Gateway) hasEnded(ctx context.Context, t *target) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return targetconn.Refused(t.pool.Check(ctx))
}

// weigh holds an attempt against its request, or clears the request by it.
func (g *Gateway) weigh(r *request, t *target, res result, alone bool) {
	if g.cfg.off(Quarantine) {
		return
	}
	switch {
	case res.outcome == outcome.Done:
		if !g.requests.Empty() && g.requests.Answered(r.contentKey(), t.conf.Service) {
			g.log.Event(evCleared).Str("request", r.call.RequestID).Stringer("content", r.contentKey()).
				Str("target", t.conf.ID).Msg("")
		}
	case res.brokeOff && g.hasEnded(r.ctx, t):
		g.strike(r, t, alone)
	case alone && unresolved(res):
		// Twice its targets have ended, and the third attempt has shown nothing: it may have
		// ended its target later, or been ended by its time before it could.
		if held, _ := g.requests.Record(r.contentKey()); len(held.Strikes) >= decided {
			g.strike(r, t, alone)
		}
	}
}

// decided is from how many strikes on an attempt made alone that nothing is heard of counts as
// one more.
const decided = 2

// unresolved reports whether an attempt may have run and nothing is known of its target since.
func unresolved(res result) bool { return res.outcome == outcome.Unknown || res.ranOut }

// strike notes that a target ended under a request. What ended at one blow, as all parts of a
// query were sent, counts once, on all hosts that gather a part of it: requests that were in
// flight there by chance have that one, too.
func (g *Gateway) strike(r *request, t *target, alone bool) {
	id := xxhash.Sum64String(r.call.RequestID)
	if alone {
		id = xxhash.Sum64String(r.call.RequestID + "/" + t.conf.ID)
	}
	r.struck.Store(true)
	key := r.contentKey()
	n := g.requests.Ended(key, quarantine.Strike{ID: id, Services: []string{t.conf.Service}, At: time.Now()})
	stance, _ := g.requests.Stance(key)
	g.metrics.struck.Inc()
	if g.lines.brokeOff.Allow() {
		g.log.Event(evStruck).Str("request", r.call.RequestID).Stringer("content", key).Str("target", t.conf.ID).
			Str("service", t.conf.Service).Bool("alone", alone).Int("strikes", n).Bool("quarantined", stance == quarantine.Quarantined).Msg("")
	}
	if alone {
		g.tellRequest(r)
	}
}

// tellRequest tells the other hosts what is held against a request under which targets ended,
// if it is not cleared.
func (g *Gateway) tellRequest(r *request) {
	if !r.struck.Load() {
		return
	}
	if record, ok := g.requests.Share(r.contentKey()); ok {
		g.state.ReportRequest(record)
	}
}

// hearOf takes what a host that gathered for this one holds against a query.
func (g *Gateway) hearOf(r *request, got Gathered) {
	if len(got.Against.Strikes) == 0 || g.cfg.off(Quarantine) {
		return
	}
	g.requests.Merge([]quarantine.Record{got.Against})
	r.struck.Store(true)
}

// against returns what is held against a request that was gathered for another host.
func (g *Gateway) against(r *request) quarantine.Record {
	if stance, _ := g.stance(r); stance == quarantine.Free {
		return quarantine.Record{}
	}
	record, _ := g.requests.Record(r.contentKey())
	return record
}
