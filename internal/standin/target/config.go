// Package target is the stand-in of a target: it runs shard requests over
// HTTP/1.1 and h2c with a limited number of slots and connections, logs every
// execution of a reservation, and takes faults. docs/TARGETS.md describes the
// interface.
package target

import (
	"errors"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Error is the class of this package's errors.
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

// Config is what the stand-in is started with.
type Config struct {
	Listen         string              `json:"listen"`                   // host:port
	ControlListen  string              `json:"control_listen,omitempty"` // host:port of the stand-in's own paths, past the connection limit
	ID             string              `json:"id"`
	Incarnation    uint64              `json:"incarnation,omitempty"` // 0: the time of the start in ms
	Services       map[string]Holdings `json:"services"`              // by service name
	Slots          int                 `json:"slots"`                 // requests run at once
	QueueLength    int                 `json:"queue_length"`          // requests waiting; more are shed
	RetryAfter     unit.Duration       `json:"retry_after"`           // told when shedding
	Connections    int                 `json:"connections"`           // open at once; more are closed. 0: no limit
	ConnectionCost unit.Duration       `json:"connection_cost"`       // delay of a new connection's first request
	ServiceTime    standin.Latency     `json:"service_time"`          // of one request in a slot
	ColdStart      ColdStart           `json:"cold_start,omitzero"`   // slower at first
	RowsPerShard   int                 `json:"rows_per_shard"`
	Stock          map[string]int      `json:"stock,omitempty"`         // by item; items not named never run out
	Settles        bool                `json:"settles,omitempty"`       // offer the settle interface
	ExecutionLog   string              `json:"execution_log,omitempty"` // file, one JSON line per execution
	StatusLag      unit.Duration       `json:"status_lag,omitempty"`    // age of state and snapshots in the status
	Seed           uint64              `json:"seed,omitempty"`
	Faults         Faults              `json:"faults,omitzero"` // in force from the start
}

// Holdings are the shards and index snapshots that a target holds of one
// service.
type Holdings struct {
	Shards    []uint32 `json:"shards"`
	Snapshots []uint64 `json:"snapshots"`
	Moved     []Moved  `json:"moved,omitempty"` // snapshots in which the shards differ
}

// Moved are the shards that a target holds in one snapshot.
type Moved struct {
	Snapshot uint64   `json:"snapshot"`
	Shards   []uint32 `json:"shards"`
}

// in returns the shards held in the snapshot, and whether it is held at all.
func (h Holdings) in(snapshot uint64) ([]uint32, bool) {
	if !slices.Contains(h.Snapshots, snapshot) {
		return nil, false
	}
	for _, m := range h.Moved {
		if m.Snapshot == snapshot {
			return m.Shards, true
		}
	}
	return h.Shards, true
}

// with returns holdings that also have the snapshot. With no shards it has
// those held in general.
func (h Holdings) with(snapshot uint64, shards []uint32) Holdings {
	h = h.without(snapshot)
	h.Snapshots = append(h.Snapshots, snapshot)
	if len(shards) > 0 {
		h.Moved = append(h.Moved, Moved{snapshot, shards})
	}
	return h
}

// without returns holdings that have the snapshot no longer.
func (h Holdings) without(snapshot uint64) Holdings {
	h.Snapshots = slices.DeleteFunc(slices.Clone(h.Snapshots), func(id uint64) bool { return id == snapshot })
	h.Moved = slices.DeleteFunc(slices.Clone(h.Moved), func(m Moved) bool { return m.Snapshot == snapshot })
	return h
}

// ColdStart makes a target Factor times slower at its start; the factor falls
// evenly to 1 over Duration.
type ColdStart struct {
	Duration unit.Duration `json:"duration"`
	Factor   float64       `json:"factor"`
}

// DefaultConfig returns a target without faults that holds nothing.
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

// Validate returns every error of the configuration.
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
		standin.Named("service_time", c.ServiceTime.Validate()),
		standin.Named("faults", c.Faults.Validate()))
	return errors.Join(all...)
}
