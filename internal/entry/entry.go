// Package entry processes the requests of callers: it pins a snapshot, sends
// the shards to their relays, merges the results and reports the coverage. A
// caller gets the complete answer to its own request or a refusal that says
// whether the request ran.
//
// It opens no connections to targets and listens on no port: package relay
// sends shard requests to targets. Start reading at Entry.Search; scatter runs
// one search on one snapshot.
package entry

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/relay"
)

// RelayClients returns clients for the relay on a host, including this one.
type RelayClients interface {
	Searcher(h member.Host) relay.Searcher
	Reserver(h member.Host) claim.Reserver
}

// Freshness reports whether the configuration of this host is stale. A stale
// host refuses callers, as it may have missed a change that is in force.
type Freshness interface {
	Stale() bool
}

// Entry answers callers. It is safe for concurrent use.
type Entry struct {
	cfg           Config
	catalog       catalog.View
	members       member.View
	relays        RelayClients
	freshness     Freshness
	recorder      delivery.Recorder
	router        *router
	callLatencies *callLatencies
	notHeld       *notHeldCache
	metrics       *metrics
}

// New returns an entry that uses the given catalog, membership and relays.
func New(cfg Config, cat catalog.View, members member.View, relays RelayClients, freshness Freshness,
	recorder delivery.Recorder, reg prometheus.Registerer) *Entry {
	return &Entry{
		cfg:           cfg,
		catalog:       cat,
		members:       members,
		relays:        relays,
		freshness:     freshness,
		recorder:      recorder,
		router:        newRouter(members, cat),
		callLatencies: newCallLatencies(),
		notHeld:       &notHeldCache{ttl: cfg.NotHeldTTL.Std(), seenAt: make(map[snapshotKey]time.Time)},
		metrics:       newMetrics(reg),
	}
}

// Start does nothing: an entry has no background work.
func (e *Entry) Start(context.Context) error { return nil }

// Stop does nothing: the callers' listener ends the requests in flight.
func (e *Entry) Stop(context.Context) error { return nil }

// budget returns the time that a request may take: the requested budget, or the
// default if that is 0, at most MaxBudget. It refuses the request if this host
// is stale or the requested budget has already run out.
func (e *Entry) budget(requested, defaultBudget time.Duration) (time.Duration, *query.Refusal) {
	if e.freshness.Stale() {
		return 0, e.refuse(query.ReasonStale, outcome.NotSent, "this host has lost touch with platform and peers")
	}
	if requested < 0 {
		return 0, e.refuse(query.ReasonBudget, outcome.NotSent, "the budget had run out on arrival")
	}
	if requested == 0 {
		requested = defaultBudget
	}
	return min(requested, e.cfg.MaxBudget.Std()), nil
}

// refuse returns a refusal with the configured retry delay. Requests that the
// caller must change first get none, as a retry cannot succeed.
func (e *Entry) refuse(reason query.Reason, o outcome.Outcome, detail string) *query.Refusal {
	r := &query.Refusal{Reason: reason, Outcome: o, Detail: detail, RetryAfter: e.cfg.RetryAfter.Std()}
	if reason == query.ReasonBadRequest || reason == query.ReasonUnknownService || reason == query.ReasonTooLarge {
		r.RetryAfter = 0
	}
	return r
}

// record adds a delivery to the metrics and to the recorder.
func (e *Entry) record(d delivery.Delivery) {
	e.metrics.observe(d)
	e.recorder.Record(d)
}

// remaining returns the time until the deadline of ctx; 0 if it has none.
func remaining(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d), 0)
}
