// Package query holds the typed messages of a request on its way from the
// caller through entry and relay to the targets, and back.
//
// In every message time is a remaining budget, never a clock reading: the
// wall clocks of two hosts are never compared.
package query

import (
	"fmt"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// Urgency is the class of a workload under load.
type Urgency string

const (
	// Interactive requests are admitted before deferrable ones.
	Interactive Urgency = "interactive"
	// Deferrable requests wait for a bounded time and are never starved.
	Deferrable Urgency = "deferrable"
)

// ShardKey names one shard of one service.
type ShardKey struct {
	Service string
	Shard   uint32
}

// String returns the form "service/shard".
func (k ShardKey) String() string { return fmt.Sprintf("%s/%d", k.Service, k.Shard) }

// Row is one result row. Score orders rows of different shards.
type Row struct {
	Service string  `json:"service"`
	Shard   uint32  `json:"shard"`
	Key     string  `json:"key"`
	Value   string  `json:"value"`
	Score   float64 `json:"score"`
}

// Search asks one service, or every service of one workload. Exactly one of
// Service and Workload is set.
type Search struct {
	RequestID   string
	Caller      string
	Service     string
	Workload    string
	Text        string
	Limit       int           // rows wanted, best first; 0 means all
	MinCoverage float64       // 0..1; below it the caller is refused
	Budget      time.Duration // time that remains for the whole request
}

// Coverage is the set of distinct shards that answered in one snapshot, over
// the shards of that snapshot's map. Complete is derived from it, never set.
type Coverage struct {
	Shards   int
	Answered int
	Missing  []ShardKey // sorted by service and shard
}

// Complete reports whether every shard answered.
func (c Coverage) Complete() bool { return c.Answered == c.Shards && len(c.Missing) == 0 }

// Fraction returns answered shards over all shards; 1 when there are none.
func (c Coverage) Fraction() float64 {
	if c.Shards == 0 {
		return 1
	}
	return float64(c.Answered) / float64(c.Shards)
}

// Answer is the merged answer to a Search. All rows are of one snapshot.
type Answer struct {
	RequestID string
	Workload  string
	Snapshot  uint64
	Rows      []Row
	TotalRows int // rows that the answering shards found, before the limit
	Coverage  Coverage
	Attempts  int // shard attempts sent to targets, hedges and retries included
	Needed    int // shard answers needed
	Elapsed   time.Duration
}

// Batch is what an entry asks of one relay for one search: the shards of one
// or more services, all in the same snapshot.
type Batch struct {
	RequestID string
	Caller    string
	Workload  string
	Snapshot  uint64
	Urgency   Urgency
	Text      string
	Limit     int
	Budget    time.Duration
	Parts     []Part
}

// Part lists the shards wanted of one service.
type Part struct {
	Service string
	Shards  []uint32
}

// ShardResult is a relay's final word on one shard of a batch. Rows are set
// only when Outcome is Done; Reason and RetryAfter only when it is not.
type ShardResult struct {
	Key        ShardKey
	Snapshot   uint64
	Outcome    outcome.Outcome
	Rows       []Row
	TotalRows  int
	Reason     Reason
	RetryAfter time.Duration
	Attempts   int
}

// Reserve asks for one non-idempotent reservation. ReservationID is the
// caller's, a ULID, and so carries the time at which it was made.
type Reserve struct {
	RequestID     string
	Caller        string
	ReservationID string
	Service       string
	Item          string
	Budget        time.Duration
}

// Reservation is the final word on a Reserve. Answer is the target's own text
// and set only when Outcome is Done.
type Reservation struct {
	RequestID     string
	ReservationID string
	Outcome       outcome.Outcome
	Granted       bool
	Answer        string
	Target        string
	Repeated      bool // the answer is that of an earlier request with this id
	Reason        Reason
	RetryAfter    time.Duration
}
