package member

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Values of the label "kind" of the probes.
const (
	kindDirect    = "direct"
	kindIndirect  = "indirect"
	kindReconnect = "reconnect"
	kindAnnounce  = "announce"
	kindJoin      = "join"
	kindSync      = "sync"
)

type metrics struct {
	probes      *prometheus.CounterVec
	hosts       *prometheus.GaugeVec
	suspicions  prometheus.Counter
	deaths      prometheus.Counter
	refutations prometheus.Counter
	platform    *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	return &metrics{
		probes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_member_probes_total", Help: "Probes begun by this host, by kind and result.",
		}, []string{"kind", "result"}),
		hosts: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "rhubarbwood_member_hosts", Help: "Hosts known, this one included, by state.",
		}, []string{"state"}),
		suspicions: f.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_member_suspicions_total", Help: "Suspicions begun by this host.",
		}),
		deaths: f.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_member_deaths_total", Help: "Hosts that this host declared dead.",
		}),
		refutations: f.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_member_refutations_total", Help: "Suspicions and deaths of this host that it refuted.",
		}),
		platform: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_member_platform_calls_total", Help: "Platform calls for the member records, by call and result.",
		}, []string{"call", "result"}),
	}
}

func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
