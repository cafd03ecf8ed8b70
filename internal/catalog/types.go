package catalog

import (
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Service is a named set of targets that hold shards, with the rules for the
// requests to them. It is one platform object, kind "service".
type Service struct {
	Name     string        `json:"name"`
	Workload string        `json:"workload"`
	Urgency  query.Urgency `json:"urgency"`
	Targets  []Target      `json:"targets"`
	Rules    Rules         `json:"rules"`
	// Dropped marks a service that operators have dropped. Its object stays, so
	// that its versions go on growing and tell who dropped it.
	Dropped bool   `json:"dropped,omitempty"`
	Change  Change `json:"change,omitzero"`
}

// Change tells who wrote the object that holds it, and why. Its id settles a
// write that was not answered: whoever finds the id in the object knows that
// the write took effect.
type Change struct {
	ID       string   `json:"id"` // ULID
	Operator string   `json:"operator,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Previous []string `json:"previous,omitempty"` // ids of the changes before it, newest first
}

// Target is one back end of a service.
type Target struct {
	ID            string `json:"id"`
	Address       string `json:"address"` // host:port, HTTP
	FailureDomain string `json:"failure_domain"`
	Slots         int    `json:"slots"`             // requests it runs at once
	Connections   int    `json:"connections"`       // connections it accepts in all
	Drained       bool   `json:"drained,omitempty"` // by an operator; no new work until undone
}

// Rules are the policy of a service. Zero fields take the value of
// DefaultRules when the service is read.
type Rules struct {
	Protocol            string        `json:"protocol,omitempty"`              // "http1" or "h2c"
	Relays              int           `json:"relays,omitempty"`                // upper bound of relays per target; 0: all that fit
	ConnectionsPerRelay int           `json:"connections_per_relay,omitempty"` // that a relay holds to one target
	DefaultBudget       unit.Duration `json:"default_budget,omitempty"`        // of requests that name none
	QueueWait           unit.Duration `json:"queue_wait,omitempty"`            // longest wait of a deferrable request in a relay
	HedgeQuantile       float64       `json:"hedge_quantile,omitempty"`        // 0..1, of the replica set's latency
	HedgeBudget         float64       `json:"hedge_budget,omitempty"`          // hedges per first try; negative: off
	RetryBudget         float64       `json:"retry_budget,omitempty"`          // retries per first try; negative: off
	Settle              bool          `json:"settle,omitempty"`                // targets can be asked about an attempt
	LatencyObjective    unit.Duration `json:"latency_objective,omitempty"`
	LatencyRatio        float64       `json:"latency_ratio,omitempty"` // of answers within the objective, 0..1
	CoverageRatio       float64       `json:"coverage_ratio,omitempty"`
}

// Snapshot fixes, for one workload, the index version and the shard map of
// every service. It is one platform object, kind "snapshot", named
// "<workload>.<id>", and never changes once written. Ids grow.
type Snapshot struct {
	Workload string              `json:"workload"`
	ID       uint64              `json:"id"`
	Services map[string]ShardMap `json:"services"`
	Change   Change              `json:"change,omitzero"`
}

// ShardMap tells the index version of a service and which targets hold each
// shard; the index in Shards is the shard's number.
type ShardMap struct {
	IndexVersion string     `json:"index_version"`
	Shards       [][]string `json:"shards"` // target ids
}
