package discovery

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	unusable prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	return &metrics{unusable: promauto.With(reg).NewCounter(prometheus.CounterOpts{
		Name: "rhubarbwood_discovery_unusable_registrations_total",
		Help: "Registrations that turned unusable, as another writer may leave them.",
	})}
}
