package catalog

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Protocols of the connections to targets.
const (
	ProtocolHTTP1 = "http1"
	ProtocolH2C   = "h2c"
)

// DefaultRules returns the rules of a service that sets none. HedgeBudget and
// RetryBudget are per first attempt; the ratios are shares of all answers.
func DefaultRules() Rules {
	return Rules{
		Protocol:            ProtocolHTTP1,
		ConnectionsPerRelay: 2,
		DefaultBudget:       unit.Duration(time.Second),
		QueueWait:           unit.Duration(time.Second),
		HedgeQuantile:       0.95,
		HedgeBudget:         0.05,
		RetryBudget:         0.10,
		LatencyObjective:    unit.Duration(110 * time.Millisecond),
		LatencyRatio:        0.99,
		CoverageRatio:       0.999,
	}
}

// withDefaults returns the rules with zero fields replaced by their defaults. For
// Relays and Settle the default is zero.
func (r Rules) withDefaults() Rules {
	d := DefaultRules()
	setDefault(&r.Protocol, d.Protocol)
	setDefault(&r.ConnectionsPerRelay, d.ConnectionsPerRelay)
	setDefault(&r.DefaultBudget, d.DefaultBudget)
	setDefault(&r.QueueWait, d.QueueWait)
	setDefault(&r.HedgeQuantile, d.HedgeQuantile)
	setDefault(&r.HedgeBudget, d.HedgeBudget)
	setDefault(&r.RetryBudget, d.RetryBudget)
	setDefault(&r.LatencyObjective, d.LatencyObjective)
	setDefault(&r.LatencyRatio, d.LatencyRatio)
	setDefault(&r.CoverageRatio, d.CoverageRatio)
	return r
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
