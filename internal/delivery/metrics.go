package delivery

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of the windows that this host writes.
type metrics struct {
	answers  *prometheus.CounterVec
	folded   prometheus.Counter
	leftOut  prometheus.Counter
	pending  prometheus.Gauge
	merged   prometheus.Counter
	written  prometheus.Counter
	bytes    prometheus.Counter
	failures prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "rhubarbwood_delivery_" + name, Help: help})
	}
	m := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_delivery_answers_total",
			Help: "Answers and refusals given to callers, by outcome.",
		}, []string{"outcome"}),
		folded:  counter("folded_answers_total", "Answers summed without their caller, as a window had too many keys."),
		leftOut: counter("left_out_records_total", "Single records left out, as a window had too many."),
		pending: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "rhubarbwood_delivery_pending_windows", Help: "Windows that wait to be written to the platform.",
		}),
		merged:   counter("merged_windows_total", "Windows joined to an older one while the platform did not take them."),
		written:  counter("written_windows_total", "Windows written to the platform."),
		bytes:    counter("written_window_bytes_total", "Bytes of the windows written to the platform."),
		failures: counter("write_failures_total", "Writes of windows that failed or were not answered."),
	}
	if reg != nil {
		reg.MustRegister(m.answers, m.folded, m.leftOut, m.pending, m.merged, m.written, m.bytes, m.failures)
	}
	return m
}
