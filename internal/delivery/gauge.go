package delivery

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
)

// burnGauge tells the burn of all objectives as metrics. Only the host that
// computed it last has values, so that a fleet computes them once; the host
// before it stops telling within checkInterval. What the report lacks is told
// beside them. A scrape sees one report, whole.
type burnGauge struct {
	reporter *Reporter
	services func() []catalog.Service
	rate     *prometheus.Desc
	missing  *prometheus.Desc

	mu     sync.Mutex
	report *BurnReport // nil: this host does not tell
}

func newBurnGauge(r *Reporter, services func() []catalog.Service, reg prometheus.Registerer) *burnGauge {
	g := &burnGauge{
		reporter: r, services: services,
		rate: prometheus.NewDesc("rhubarbwood_delivery_burn_ratio",
			"Burn rate of an objective over a window; at 1 its budget lasts exactly its period. Told by one host at a time.",
			[]string{"service", "objective", "window"}, nil),
		missing: prometheus.NewDesc("rhubarbwood_delivery_burn_missing_hosts",
			"Host incarnations of which the burn lacks windows. Told by one host at a time.", nil, nil),
	}
	if reg != nil {
		reg.MustRegister(g)
	}
	return g
}

// Describe implements prometheus.Collector.
func (g *burnGauge) Describe(ch chan<- *prometheus.Desc) {
	ch <- g.rate
	ch <- g.missing
}

// Collect implements prometheus.Collector.
func (g *burnGauge) Collect(ch chan<- prometheus.Metric) {
	g.mu.Lock()
	report := g.report
	g.mu.Unlock()
	if report == nil {
		return
	}
	for _, o := range report.Objectives {
		for _, b := range o.Burns {
			ch <- prometheus.MustNewConstMetric(g.rate, prometheus.GaugeValue, b.Rate,
				o.Objective.Service, string(o.Objective.Aim), WindowLabel(b.Window))
		}
	}
	missing := len(report.Completeness.Open) + len(report.Completeness.Missing)
	ch <- prometheus.MustNewConstMetric(g.missing, prometheus.GaugeValue, float64(missing))
}

func (g *burnGauge) clear() { g.tell(nil) }

func (g *burnGauge) tell(r *BurnReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report = r
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
	g.tell(&report)
	return nil
}
