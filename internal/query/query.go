// Package query defines the messages of a request on its way from the caller
// through entry and relay to the targets, and back.
//
// Messages carry time as a remaining budget, never as a clock reading, as the
// wall clocks of two hosts are never compared.
//
// It contains no routing, encoding or network code. Start reading at SearchRequest and
// Answer, then Batch and ShardResult; Refusal is in refusal.go.
package query

import (
	"fmt"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// Urgency is the priority class of a workload under load.
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

// SearchRequest is a search request to one service, or to every service of one workload.
// Exactly one of Service and Workload is set.
type SearchRequest struct {
	RequestID   string
	Caller      string
	Service     string
	Workload    string
	Text        string
	Limit       int           // maximum number of rows, best first; 0 means all
	MinCoverage float64       // 0..1; the request is refused if the coverage is lower
	Budget      time.Duration // remaining time for the whole request
}

// Coverage states which of the distinct shards in a snapshot's shard map
// answered. Completeness is derived from it and never stored.
type Coverage struct {
	Shards   int
	Answered int
	Missing  []ShardKey // sorted by service and shard
}

// Complete reports whether every shard answered.
func (c Coverage) Complete() bool { return c.Answered == c.Shards && len(c.Missing) == 0 }

// Fraction returns the answered shards divided by all shards; 1 if there are none.
func (c Coverage) Fraction() float64 {
	if c.Shards == 0 {
		return 1
	}
	return float64(c.Answered) / float64(c.Shards)
}

// Answer is the merged answer to a SearchRequest. All rows are of one snapshot.
type Answer struct {
	RequestID     string
	Workload      string
	Snapshot      uint64
	Rows          []Row
	TotalRows     int // rows found by the answered shards, before the limit
	Coverage      Coverage
	Attempts      int // shard attempts sent to targets, including hedges and retries
	NeededAnswers int // shard answers needed for a complete answer
	Elapsed       time.Duration
}

// Batch is the request of an entry to one relay for one search: the shards of
// one or more services, all in the same snapshot.
type Batch struct {
	RequestID string
	Caller    string
	Workload  string
	Snapshot  uint64
	Urgency   Urgency
	Text      string
	Limit     int
	Budget    time.Duration
	Parts     []ServiceShards
}

// ServiceShards lists the requested shards of one service.
type ServiceShards struct {
	Service string
	Shards  []uint32
}

// ShardResult is a relay's final result for one shard of a batch. Rows are set
// only if Outcome is Done, Reason and RetryAfter only if it is not.
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

// ReserveRequest is a request for one non-idempotent reservation. ReservationID is a
// ULID chosen by the caller and so contains its creation time.
type ReserveRequest struct {
	RequestID     string
	Caller        string
	ReservationID string
	Service       string
	Item          string
	Budget        time.Duration
}

// Reservation is the final result of a ReserveRequest. Answer is the text returned by
// the target and is set only if Outcome is Done.
type Reservation struct {
	RequestID     string
	ReservationID string
	Outcome       outcome.Outcome
	Granted       bool
	Answer        string
	Target        string
	Repeated      bool // the answer was given to an earlier request with this id
	Reason        Reason
	RetryAfter    time.Duration
}
