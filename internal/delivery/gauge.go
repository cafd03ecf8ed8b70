package delivery

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// burnGauge exports the burn rates of all objectives as metrics. Only the host
// that computed them last exports values, so that a fleet computes them once;
// the previous host clears its values within checkInterval. A second metric
// counts the hosts that the report lacks windows of. All values of a scrape are
// from one report.
type burnGauge struct {
	reporter   *Reporter
	objectives func() []Objective
	rate       *prometheus.Desc
	missing    *prometheus.Desc

	mu     sync.Mutex
	report *BurnReport // nil: this host exports no values
}

func newBurnGauge(r *Reporter, objectives func() []Objective, reg prometheus.Registerer) *burnGauge {
	g := &burnGauge{
		reporter: r, objectives: objectives,
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
	missing := len(report.Completeness.Incomplete) + len(report.Completeness.Missing)
	ch <- prometheus.MustNewConstMetric(g.missing, prometheus.GaugeValue, float64(missing))
}

// clear stops the export of values from this host.
func (g *burnGauge) clear() { g.setReport(nil) }

func (g *burnGauge) setReport(r *BurnReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report = r
}

// update computes the burn rates and exports them from this host.
func (g *burnGauge) update(ctx context.Context) error {
	objectives := g.objectives()
	if len(objectives) == 0 {
		return nil
	}
	report, err := g.reporter.Burn(ctx, objectives)
	if err != nil {
		return err
	}
	g.setReport(&report)
	return nil
}
