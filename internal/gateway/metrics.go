package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	partial  prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_requests_total",
			Help: "Forwarded requests by status; 0 if the caller left.",
		}, []string{"status"}),
		seconds: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "rhubarbwood_gateway_request_duration_seconds",
			Help:    "Time to the answer of forwarded requests by route.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 13),
		}, []string{"route"}),
		attempts: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_attempts_total",
			Help: "Attempts at targets by outcome.",
		}, []string{"outcome"}),
		partial: f.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_partial_answers_total",
			Help: "Answers that lack parts.",
		}),
	}
}

// record counts an answer and logs it if it is not a plain success.
func (g *Gateway) record(w *reply) {
	took := time.Since(w.request.arrived)
	g.metrics.requests.WithLabelValues(strconv.Itoa(w.status)).Inc()
	if w.route != "" {
		g.metrics.seconds.WithLabelValues(w.route).Observe(took.Seconds())
	}
	if w.missing > 0 {
		g.metrics.partial.Inc()
	}
	if w.status >= 200 && w.status < 300 && w.missing == 0 {
		return
	}
	g.log.Event(evAnswer).Str("request", w.request.call.RequestID).Str("route", w.route).Int("status", w.status).
		Str("outcome", w.outcome.String()).Int("missing", w.missing).Str("lacking", w.lacking).Dur("took", took).Str("reason", w.reason).Msg("")
}
