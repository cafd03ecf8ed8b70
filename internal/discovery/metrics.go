package discovery

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	unusable  prometheus.Counter
	tooLong   *prometheus.CounterVec
	evacuated *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	return &metrics{
		unusable: f.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_discovery_unusable_registrations_total",
			Help: "Registrations that turned unusable, as another writer may leave them.",
		}),
		tooLong: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_discovery_watches_too_long_total",
			Help: "Watches of the store whose changes were more than one response may hold, after which everything was read, by what was watched.",
		}, []string{"what"}),
		evacuated: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "rhubarbwood_discovery_evacuated",
			Help: "1 for a failure domain to whose targets nothing more is sent, by an operator's word; 0 once that has ended.",
		}, []string{"failure_domain"}),
	}
}
