package membudget

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// register registers the metrics of the budget with reg, or leaves them unregistered if reg is nil.
func (b *Budget) register(reg prometheus.Registerer) {
	f := promauto.With(reg)
	source := prometheus.Labels{"source": b.source}
	read := func(figure func(Stats) int64) func() float64 {
		return func() float64 { return float64(figure(b.Stats())) }
	}
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rhubarbwood_memory_message_bytes", ConstLabels: source,
		Help: "Memory held by messages that are being received or used, by source.",
	}, read(func(s Stats) int64 { return s.Held }))
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rhubarbwood_memory_message_peak_bytes", ConstLabels: source,
		Help: "Most memory held by messages at once since the start, by source.",
	}, read(func(s Stats) int64 { return s.Peak }))
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rhubarbwood_memory_message_max_bytes", ConstLabels: source,
		Help: "Limit of the memory held by messages at once, by source.",
	}, read(func(s Stats) int64 { return s.Max }))
	f.NewCounterFunc(prometheus.CounterOpts{
		Name: "rhubarbwood_memory_messages_given_up_total", ConstLabels: source,
		Help: "Messages given up because the memory of their source was used up, by source.",
	}, read(func(s Stats) int64 { return s.GivenUp }))
}
