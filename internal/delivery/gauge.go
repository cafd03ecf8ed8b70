package delivery

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
)

// burnGauge tells the burn of all objectives as metrics. Only the host that
// did the last round of compaction has values, so that a fleet computes them
// once; what the report lacks is told beside them.
type burnGauge struct {
	reporter *Reporter
	services func() []catalog.Service
	rate     *prometheus.GaugeVec
	missing  prometheus.Gauge
}

func newBurnGauge(r *Reporter, services func() []catalog.Service, reg prometheus.Registerer) *burnGauge {
	g := &burnGauge{
		reporter: r, services: services,
		rate: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "rhubarbwood_delivery_burn_ratio",
			Help: "Burn rate of an objective over a window; at 1 its budget lasts exactly its period. Told by one host at a time.",
		}, []string{"service", "objective", "window"}),
		missing: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "rhubarbwood_delivery_burn_missing_hosts",
			Help: "Host incarnations of which the burn lacks windows.",
		}),
	}
	if reg != nil {
		reg.MustRegister(g.rate, g.missing)
	}
	return g
}

func (g *burnGauge) clear() {
	g.rate.Reset()
	g.missing.Set(0)
}

func (g *burnGauge) set(ctx context.Context) error {
	services := g.services()
	if len(services) == 0 {
		return nil
	}
	report, err := g.reporter.Burn(ctx, services)
	if err != nil {
		return err
	}
	g.rate.Reset()
	for _, o := range report.Objectives {
		for _, b := range o.Burns {
			g.rate.WithLabelValues(o.Objective.Service, string(o.Objective.Aim), windowLabel(b.Window)).Set(b.Rate)
		}
	}
	g.missing.Set(float64(len(report.Completeness.Open) + len(report.Completeness.Missing)))
	return nil
}

// windowLabel names a burn window as it is usually written: 5m, 1h, 6h, 3d.
func windowLabel(d time.Duration) string {
	for label, known := range map[string]time.Duration{"5m": BurnWindows[0], "1h": BurnWindows[1], "6h": BurnWindows[2], "3d": BurnWindows[3]} {
		if d == known {
			return label
		}
	}
	return d.String()
}
