package entry

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

type metrics struct {
	requests         *prometheus.CounterVec
	latency          *prometheus.HistogramVec
	attempts         prometheus.Counter
	neededAnswers    prometheus.Counter
	relayCalls       prometheus.Counter
	relaysLost       prometheus.Counter
	relayHedges      prometheus.Counter
	snapshotRestarts prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Name: "rhubarbwood_entry_" + name, Help: help})
	}
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_entry_requests_total",
			Help: "Requests of callers by outcome, reason of refusal and coverage band.",
		}, []string{"service", "outcome", "reason", "coverage"}),
		latency: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "rhubarbwood_entry_latency_seconds",
			Help:    "Time from a request's arrival to its answer or refusal.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 20),
		}, []string{"service"}),
		attempts:         counter("attempts_total", "Shard attempts sent to targets, hedges and retries included."),
		neededAnswers:    counter("needed_total", "Shard answers that answered searches needed."),
		relayCalls:       counter("relay_calls_total", "Batches sent to relays."),
		relaysLost:       counter("relays_lost_total", "Relay calls that ended without a last word on every shard."),
		relayHedges:      counter("relay_hedges_total", "Relay calls whose open shards were asked of another relay as well."),
		snapshotRestarts: counter("snapshot_restarts_total", "Searches that left a snapshot which a shard's targets no longer held."),
	}
}

// observe counts a completed request.
func (m *metrics) observe(d delivery.Delivery) {
	if d.Reason == query.ReasonUnknownService || d.Reason == query.ReasonBadRequest {
		d.Service = "" // the name comes from the caller and must not become a label
	}
	m.requests.WithLabelValues(d.Service, d.Outcome.String(), string(d.Reason), coverageBand(d.Coverage)).Inc()
	m.latency.WithLabelValues(d.Service).Observe(d.Latency.Seconds())
	m.attempts.Add(float64(d.Attempts))
	m.neededAnswers.Add(float64(d.Needed))
}

// coverageBand returns the value of the coverage label.
func coverageBand(coverage float64) string {
	switch {
	case coverage >= 1:
		return "complete"
	case coverage == 0:
		return "none"
	}
	return "partial_" + strconv.Itoa(int(coverage*10)*10)
}
