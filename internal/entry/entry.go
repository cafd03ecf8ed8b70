// Package entry takes the requests of callers: it pins a snapshot, asks the
// relays of every shard, merges what they answer and states its coverage. A
// caller gets the whole answer to its own request or a refusal that says
// whether the request ran.
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

// Relays gives access to the relay on a host, this one included.
type Relays interface {
	Searcher(h member.Host) relay.Searcher
	Reserver(h member.Host) claim.Reserver
}

// Freshness tells whether this host has lost touch with the configuration: it
// then refuses callers, as it may not know of a change in force.
type Freshness interface {
	Stale() bool
}

// Entry answers callers. It is safe for concurrent use.
type Entry struct {
	cfg       Config
	catalog   catalog.View
	members   member.View
	relays    Relays
	fresh     Freshness
	recorder  delivery.Recorder
	router    *router
	latencies *callLatencies
	unheld    *unheldSnapshots
	metrics   *metrics
}

// New returns an entry over the configuration, the membership and the relays.
func New(cfg Config, cat catalog.View, members member.View, relays Relays, fresh Freshness,
	recorder delivery.Recorder, reg prometheus.Registerer) *Entry {
	return &Entry{
		cfg:       cfg,
		catalog:   cat,
		members:   members,
		relays:    relays,
		fresh:     fresh,
		recorder:  recorder,
		router:    newRouter(members, cat),
		latencies: newCallLatencies(),
		unheld:    &unheldSnapshots{span: cfg.UnheldFor.Std(), at: make(map[snapshotKey]time.Time)},
		metrics:   newMetrics(reg),
	}
}

// Start does nothing: an entry works only when it is called.
func (e *Entry) Start(context.Context) error { return nil }

// Stop does nothing: requests in flight are ended by the callers' listener.
func (e *Entry) Stop(context.Context) error { return nil }

// budget returns the time that a request may take: what the caller named, or
// the service's default, at most MaxBudget.
func (e *Entry) budget(named, byDefault time.Duration) (time.Duration, *query.Refusal) {
	if e.fresh.Stale() {
		return 0, e.refuse(query.ReasonStale, outcome.NotSent, "this host has lost touch with platform and peers")
	}
	if named < 0 {
		return 0, e.refuse(query.ReasonBudget, outcome.NotSent, "the budget had run out on arrival")
	}
	if named == 0 {
		named = byDefault
	}
	return min(named, e.cfg.MaxBudget.Std()), nil
}

// refuse returns a refusal with the usual time to come back. A request that
// must be changed first is never worth a repeat.
func (e *Entry) refuse(reason query.Reason, o outcome.Outcome, detail string) *query.Refusal {
	r := &query.Refusal{Reason: reason, Outcome: o, Detail: detail, RetryAfter: e.cfg.RetryAfter.Std()}
	if reason == query.ReasonBadRequest || reason == query.ReasonUnknownService || reason == query.ReasonTooLarge {
		r.RetryAfter = 0
	}
	return r
}

// record counts a delivery and hands it to the records.
func (e *Entry) record(d delivery.Delivery) {
	e.metrics.observe(d)
	e.recorder.Record(d)
}

// remaining returns the time until ctx is done; the caller has set a deadline.
func remaining(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d), 0)
}
