package rollouts

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"google.golang.org/protobuf/proto"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// metrics are the metrics of a keeper. Those of single orders are read from it when they are
// collected, so that those of withdrawn orders disappear.
type metrics struct {
	reports *prometheus.CounterVec
	bytes   *prometheus.CounterVec
}

var (
	descOrders = prometheus.NewDesc("rhubarbwood_rollout_orders",
		"Rollout orders by the state in the store; new: no status.", []string{"state"}, nil)
	descPhase = prometheus.NewDesc("rhubarbwood_rollout_phase",
		"How far this host is with an order: 0 waiting, 1 canary, 2 moving, 3 rolled back, 4 succeeded.", []string{"service", "version"}, nil)
	descShare = prometheus.NewDesc("rhubarbwood_rollout_share",
		"Mean probability that a first attempt goes to the new version during the canary.", []string{"service", "version"}, nil)
	descRequests = prometheus.NewDesc("rhubarbwood_rollout_requests",
		"Requests of this host since it knew the order, by side of the order: old or new.", []string{"service", "version", "side"}, nil)
	descBad = prometheus.NewDesc("rhubarbwood_rollout_bad_answers",
		"Requests of this host that failed at a target since it knew the order, by side of the order.", []string{"service", "version", "side"}, nil)
	descCoordinates = prometheus.NewDesc("rhubarbwood_rollout_coordinated_orders",
		"Rollout orders that this host decides on.", nil, nil)
)

func newMetrics(reg prometheus.Registerer, k *Keeper) *metrics {
	f := promauto.With(reg)
	m := &metrics{
		reports: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_rollout_reports_total", Help: "Reports of evidence to coordinators by result: sent or failed.",
		}, []string{"result"}),
		bytes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_rollout_report_bytes_total", Help: "Bytes of the reports to coordinators and of their replies, without headers.",
		}, []string{"message"}),
	}
	reg.MustRegister(collector{k})
	return m
}

// noteReport counts a report and its reply.
func (m *metrics) noteReport(report *peerpb.RolloutReport, reply *peerpb.RolloutDirectives, err error) {
	m.bytes.WithLabelValues("report").Add(float64(proto.Size(report)))
	if err != nil {
		m.reports.WithLabelValues("failed").Inc()
		return
	}
	m.reports.WithLabelValues("sent").Inc()
	m.bytes.WithLabelValues("reply").Add(float64(proto.Size(reply)))
}

// collector collects the metrics of the orders of a keeper.
type collector struct{ k *Keeper }

// Describe implements prometheus.Collector.
func (collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descOrders, descPhase, descShare, descRequests, descBad, descCoordinates} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	now := c.k.Clock.Now()
	c.k.mu.Lock()
	defer c.k.mu.Unlock()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	byState, coordinated := map[rollout.State]int{rollout.StateNone: 0, rollout.StateRunning: 0, rollout.StateSucceeded: 0, rollout.StateRolledBack: 0}, 0
	for _, o := range c.k.orders {
		byState[o.State()]++
		if o.active && !o.isSettled() {
			coordinated++
		}
		share := 0.0
		if o.plan.Phase == rollout.PhaseCanary {
			share, _ = o.share(now, c.k.cfg)
		}
		gauge(descPhase, float64(o.plan.Phase), o.Service, o.Version)
		gauge(descShare, share, o.Service, o.Version)
		var s sums
		s.add(o.evidence)
		gauge(descRequests, float64(s.oldRequests), o.Service, o.Version, "old")
		gauge(descRequests, float64(s.newRequests), o.Service, o.Version, "new")
		gauge(descBad, float64(s.oldBad), o.Service, o.Version, "old")
		gauge(descBad, float64(s.newBad), o.Service, o.Version, "new")
	}
	for state, n := range byState {
		if state == rollout.StateNone {
			state = "new"
		}
		gauge(descOrders, float64(n), string(state))
	}
	gauge(descCoordinates, float64(coordinated))
}

// PhaseName returns the name of a phase in log lines and on the command line.
func PhaseName(p rollout.Phase) string {
	names := [...]string{"waiting", "canary", "moving", "rolled_back", "succeeded"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// milliseconds returns an age for log lines, -1 if it is unknown.
func milliseconds(age time.Duration) float64 {
	if age < 0 {
		return -1
	}
	return float64(age) / float64(time.Millisecond)
}

// logPhase logs a change of how this host treats the versions, with the inputs. The caller holds the
// lock.
func (k *Keeper) logPhase(now time.Time, o *order, from rollout.Phase, reason string) {
	var s sums
	countedBy := "host"
	if c := k.collected[o.ID]; c != nil && o.active {
		countedBy = "fleet"
		for _, e := range c.processes {
			s.add(e.Evidence)
		}
	} else {
		s.add(o.evidence)
	}
	share, _ := o.share(now, k.cfg)
	k.Log.Event(evPhase).Str("service", o.Service).Str("version", o.Version).Str("from", PhaseName(from)).Str("to", PhaseName(o.plan.Phase)).
		Float64("age", milliseconds(o.ageAt(now))).Str("reason", reason).Float64("share", share).Msg("")
	k.Log.Event(evEvidence).Str("service", o.Service).Str("version", o.Version).Str("counted_by", countedBy).
		Uint64("old_requests", s.oldRequests).Float64("old_rate", rate(s.oldBad, s.oldRequests)).
		Uint64("new_requests", s.newRequests).Uint64("new_bad", s.newBad).Float64("new_rate", rate(s.newBad, s.newRequests)).Msg("")
}
