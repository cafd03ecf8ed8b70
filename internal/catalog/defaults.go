package catalog

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Protocols towards targets.
const (
	ProtocolHTTP1 = "http1"
	ProtocolH2C   = "h2c"
)

// DefaultRules are the rules of a service that names none. Budgets and ratios
// are per first try and per answer.
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

// filled returns the rules with the defaults in place of zero fields. Relays
// and Settle have no other default than zero.
func (r Rules) filled() Rules {
	d := DefaultRules()
	fill(&r.Protocol, d.Protocol)
	fill(&r.ConnectionsPerRelay, d.ConnectionsPerRelay)
	fill(&r.DefaultBudget, d.DefaultBudget)
	fill(&r.QueueWait, d.QueueWait)
	fill(&r.HedgeQuantile, d.HedgeQuantile)
	fill(&r.HedgeBudget, d.HedgeBudget)
	fill(&r.RetryBudget, d.RetryBudget)
	fill(&r.LatencyObjective, d.LatencyObjective)
	fill(&r.LatencyRatio, d.LatencyRatio)
	fill(&r.CoverageRatio, d.CoverageRatio)
	return r
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
