package claim

import (
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

type metrics struct {
	answers    *prometheus.CounterVec
	unanswered prometheus.Counter
	takeovers  *prometheus.CounterVec
	settles    *prometheus.CounterVec
	background prometheus.Gauge
	abandoned  prometheus.Counter
	removed    prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_claim_answers_total", Help: "Reservations answered, by outcome, reason and whether a repeat got an earlier answer.",
		}, []string{"outcome", "reason", "repeated"}),
		unanswered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_claim_unanswered_writes_total", Help: "Writes of a record before sending that the platform did not answer.",
		}),
		takeovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_claim_takeovers_total", Help: "Records of another attempt taken, by the proof that it never runs: the answer of its host or of its target.",
		}, []string{"proof"}),
		settles: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_claim_settles_total", Help: "Targets asked what became of an attempt, by verdict.",
		}, []string{"verdict"}),
		background: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "rhubarbwood_claim_background_writes", Help: "Outcomes and releases that wait for the platform.",
		}),
		abandoned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_claim_abandoned_writes_total", Help: "Outcomes and releases that were given up.",
		}),
		removed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_claim_removed_records_total", Help: "Old records removed.",
		}),
	}
	reg.MustRegister(m.answers, m.unanswered, m.takeovers, m.settles, m.background, m.abandoned, m.removed)
	return m
}

func (m *metrics) countReply(r query.Reservation) {
	repeated := "no"
	if r.Repeated {
		repeated = "yes"
	}
	m.answers.WithLabelValues(r.Outcome.String(), string(r.Reason), repeated).Inc()
}
