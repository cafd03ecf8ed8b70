package catalog

import (
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Service is a named set of targets that serve shards, with the rules for the
// requests to them. It is stored as one platform object of kind "service".
type Service struct {
	Name     string        `json:"name"`
	Workload string        `json:"workload"`
	Urgency  query.Urgency `json:"urgency"`
	Targets  []Target      `json:"targets"`
	Rules    Rules         `json:"rules"`
	// Dropped marks a service that an operator has dropped. Its object is kept, so
	// that its versions keep growing and it records who dropped the service.
	Dropped bool   `json:"dropped,omitempty"`
	Change  Change `json:"change,omitzero"`
}

// Change records who wrote the object that contains it, and why. If the response
// to a write is lost, finding the id in the object proves that the write took
// effect.
type Change struct {
	ID       string   `json:"id"` // ULID
	Operator string   `json:"operator,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Previous []string `json:"previous,omitempty"` // ids of the changes before it, newest first
}

// Target is one backend of a service.
type Target struct {
	ID            string `json:"id"`
	Address       string `json:"address"` // host:port, HTTP
	FailureDomain string `json:"failure_domain"`
	Slots         int    `json:"slots"`             // maximum of requests that run concurrently
	Connections   int    `json:"connections"`       // maximum of connections, over all relays
	Drained       bool   `json:"drained,omitempty"` // by an operator; it receives no new requests until undrained
}

// Rules are the policy of a service. Zero fields are replaced by those of
// DefaultRules when the service is read.
type Rules struct {
	Protocol            string        `json:"protocol,omitempty"`              // "http1" or "h2c"
	Relays              int           `json:"relays,omitempty"`                // maximum of relays per target; 0: as many as its connections allow
	ConnectionsPerRelay int           `json:"connections_per_relay,omitempty"` // connections of one relay to one target
	DefaultBudget       unit.Duration `json:"default_budget,omitempty"`        // of requests without a budget of their own
	QueueWait           unit.Duration `json:"queue_wait,omitempty"`            // longest wait of a deferrable request in a relay
	HedgeQuantile       float64       `json:"hedge_quantile,omitempty"`        // quantile, 0..1, of the replica set's latency
	HedgeBudget         float64       `json:"hedge_budget,omitempty"`          // hedges per first attempt; negative: off
	RetryBudget         float64       `json:"retry_budget,omitempty"`          // retries per first attempt; negative: off
	Settle              bool          `json:"settle,omitempty"`                // targets can be queried for the outcome of an attempt
	LatencyObjective    unit.Duration `json:"latency_objective,omitempty"`
	LatencyRatio        float64       `json:"latency_ratio,omitempty"` // share of answers within the objective, 0..1
	CoverageRatio       float64       `json:"coverage_ratio,omitempty"`
}

// Snapshot fixes, for one workload, the index version and the shard map of
// every service. It is stored as one platform object of kind "snapshot", named
// "<workload>.<id>", and is immutable. The ids of a workload's snapshots increase.
type Snapshot struct {
	Workload string              `json:"workload"`
	ID       uint64              `json:"id"`
	Services map[string]ShardMap `json:"services"`
	Change   Change              `json:"change,omitzero"`
}

// ShardMap is the index version of a service and the targets that serve each
// shard. The index in Shards is the shard's number.
type ShardMap struct {
	IndexVersion string     `json:"index_version"`
	Shards       [][]string `json:"shards"` // target ids
}
