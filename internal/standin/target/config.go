package target

import (
	"errors"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Error is the class of errors of this package.
var Error = errs.Class("target")

// Defaults of Config.
const (
	defaultSlots        = 2
	defaultConnections  = 25
	defaultQueueLength  = 8
	defaultRowsPerShard = 20
	defaultServiceTime  = unit.Duration(4 * time.Millisecond)
	defaultRetryAfter   = unit.Duration(20 * time.Millisecond)
	defaultSigma        = 0.3
)

// Config is the configuration of the stand-in.
type Config struct {
	Listen         string              `json:"listen"`                   // host:port
	ControlListen  string              `json:"control_listen,omitempty"` // host:port of the control paths, not subject to the connection limit
	ID             string              `json:"id"`
	Incarnation    uint64              `json:"incarnation,omitempty"` // 0: start time in milliseconds
	Services       map[string]Holdings `json:"services"`              // by service name
	Slots          int                 `json:"slots"`                 // maximum number of concurrent requests
	QueueLength    int                 `json:"queue_length"`          // maximum number of waiting requests; further ones are shed
	RetryAfter     unit.Duration       `json:"retry_after"`           // sent when shedding
	Connections    int                 `json:"connections"`           // maximum number of open connections; further ones are closed. 0: no limit
	ConnectionCost unit.Duration       `json:"connection_cost"`       // delay of the first request on a new connection
	ServiceTime    standin.Latency     `json:"service_time"`          // duration of one request in a slot
	ColdStart      ColdStart           `json:"cold_start,omitzero"`   // slowdown after the start
	RowsPerShard   int                 `json:"rows_per_shard"`
	Stock          map[string]int      `json:"stock,omitempty"`         // by item; items not listed never run out
	Settles        bool                `json:"settles,omitempty"`       // serve the settle interface
	ExecutionLog   string              `json:"execution_log,omitempty"` // file with one JSON line per execution
	StatusLag      unit.Duration       `json:"status_lag,omitempty"`    // delay with which the status reports state and snapshots
	Seed           uint64              `json:"seed,omitempty"`
	Faults         Faults              `json:"faults,omitzero"` // injected from the start
}

// Holdings are the shards and index snapshots of one service that a target holds.
type Holdings struct {
	Shards    []uint32         `json:"shards"`
	Snapshots []uint64         `json:"snapshots"`
	Overrides []SnapshotShards `json:"moved,omitempty"` // snapshots whose shards differ from Shards
}

// SnapshotShards are the shards that a target holds in one snapshot.
type SnapshotShards struct {
	Snapshot uint64   `json:"snapshot"`
	Shards   []uint32 `json:"shards"`
}

// shardsIn returns the shards held in the snapshot, and false if the snapshot is not held.
func (h Holdings) shardsIn(snapshot uint64) ([]uint32, bool) {
	if !slices.Contains(h.Snapshots, snapshot) {
		return nil, false
	}
	for _, m := range h.Overrides {
		if m.Snapshot == snapshot {
			return m.Shards, true
		}
	}
	return h.Shards, true
}

// withSnapshot returns holdings that include the snapshot. Without shards, the snapshot has the default
// shards of the service.
func (h Holdings) withSnapshot(snapshot uint64, shards []uint32) Holdings {
	h = h.withoutSnapshot(snapshot)
	h.Snapshots = append(h.Snapshots, snapshot)
	if len(shards) > 0 {
		h.Overrides = append(h.Overrides, SnapshotShards{snapshot, shards})
	}
	return h
}

// withoutSnapshot returns holdings that exclude the snapshot.
func (h Holdings) withoutSnapshot(snapshot uint64) Holdings {
	h.Snapshots = slices.DeleteFunc(slices.Clone(h.Snapshots), func(id uint64) bool { return id == snapshot })
	h.Overrides = slices.DeleteFunc(slices.Clone(h.Overrides), func(m SnapshotShards) bool { return m.Snapshot == snapshot })
	return h
}

// ColdStart slows a target down by Factor at its start; the factor decreases linearly to 1 over
// Duration.
type ColdStart struct {
	Duration unit.Duration `json:"duration"`
	Factor   float64       `json:"factor"`
}

// DefaultConfig returns a configuration without faults and without services.
func DefaultConfig() Config {
	return Config{
		Listen:       "127.0.0.1:0",
		Slots:        defaultSlots,
		QueueLength:  defaultQueueLength,
		RetryAfter:   defaultRetryAfter,
		Connections:  defaultConnections,
		ServiceTime:  standin.Latency{Mean: defaultServiceTime, Sigma: defaultSigma},
		RowsPerShard: defaultRowsPerShard,
		Seed:         1,
	}
}

// Validate returns all errors of the configuration.
func (c Config) Validate() error {
	var all []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			all = append(all, Error.New(format, args...))
		}
	}
	require(c.Listen != "", "listen is missing")
	require(c.ID != "", "id is missing")
	require(len(c.Services) > 0, "services are missing")
	require(c.Slots > 0, "slots %d is below 1", c.Slots)
	require(c.QueueLength >= 0, "queue_length %d is negative", c.QueueLength)
	require(c.Connections >= 0, "connections %d is negative", c.Connections)
	require(c.RowsPerShard >= 0, "rows_per_shard %d is negative", c.RowsPerShard)
	require(c.RetryAfter >= 0, "retry_after %s is negative", c.RetryAfter)
	require(c.ConnectionCost >= 0, "connection_cost %s is negative", c.ConnectionCost)
	require(c.StatusLag >= 0, "status_lag %s is negative", c.StatusLag)
	require(c.ColdStart.Duration >= 0, "cold_start: duration %s is negative", c.ColdStart.Duration)
	require(c.ColdStart.Duration == 0 || c.ColdStart.Factor >= 1, "cold_start: factor %g is below 1", c.ColdStart.Factor)
	all = append(all,
		standin.WrapFieldError("service_time", c.ServiceTime.Validate()),
		standin.WrapFieldError("faults", c.Faults.Validate()))
	return errors.Join(all...)
}
