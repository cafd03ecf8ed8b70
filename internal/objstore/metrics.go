package objstore

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Results of calls, as in the label "result" of the metrics.
const (
	resultOK          = "ok"
	resultConflict    = "conflict"
	resultNotFound    = "not_found"
	resultCompacted   = "compacted"
	resultUnavailable = "unavailable"
	resultUnanswered  = "unanswered"
)

type metrics struct {
	calls      *prometheus.CounterVec
	seconds    *prometheus.HistogramVec
	unreadable *prometheus.CounterVec
	limited    *prometheus.CounterVec
	era        prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	return &metrics{
		unreadable: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_platform_unreadable_records_total",
			Help: "Records that could not be read, by kind, each time that they were met.",
		}, []string{"kind"}),
		limited: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_platform_responses_over_limit_total",
			Help: "Responses of the platform that were given up as they exceeded a limit, by verb and limit.",
		}, []string{"verb", "limit"}),
		era: f.NewGauge(prometheus.GaugeOpts{
			Name: "rhubarbwood_platform_era",
			Help: "Times that the platform came back from an older copy, as it tells; 0 if it tells none.",
		}),
		calls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_platform_calls_total",
			Help: "Calls to the platform by verb and result.",
		}, []string{"verb", "result"}),
		seconds: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "rhubarbwood_platform_call_duration_seconds",
			Help:    "Time of calls to the platform by verb, the wait for a token included; a watch includes its wait.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"verb"}),
	}
}

func (m *metrics) observe(verb string, took time.Duration, err error) {
	m.calls.WithLabelValues(verb, resultOf(err)).Inc()
	m.seconds.WithLabelValues(verb).Observe(took.Seconds())
}

// resultOf maps the error of a call to its result label.
func resultOf(err error) string {
	var conflict *Conflict
	var refused *RecordConflict
	var unavailable *Unavailable
	switch {
	case err == nil:
		return resultOK
	case errors.As(err, &conflict), errors.As(err, &refused):
		return resultConflict
	case errors.Is(err, ErrNotFound):
		return resultNotFound
	case errors.Is(err, ErrCompacted):
		return resultCompacted
	case errors.As(err, &unavailable):
		return resultUnavailable
	default:
		return resultUnanswered
	}
}
