package target

import (
	"maps"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Result is the outcome of a shard request at the target.
type Result string

// Outcomes of shard requests.
const (
	ResultDone            Result = "done"
	ResultSnapshotNotHeld Result = "snapshot_not_held"
	ResultDraining        Result = "draining"
	ResultShed            Result = "shed"
	ResultRefusedAttempt  Result = "refused_attempt"
	ResultBudget          Result = "budget" // budget expired; the response says shed
	ResultCancelled       Result = "cancelled"
	ResultFailed          Result = "failed"
	ResultCut             Result = "cut"
	ResultBad             Result = "bad_request"
	ResultSpoiled         Result = "spoiled" // run, but a fault corrupted the answer
)

// Counters are the counters of a target.
type Counters struct {
	Requests           map[string]map[Result]uint64 `json:"requests"` // by kind
	Received           uint64                       `json:"received"` // shard requests, counted on arrival
	Statuses           uint64                       `json:"statuses"`
	Settles            uint64                       `json:"settles"`
	Running            int                          `json:"running"`
	RunningMax         int                          `json:"running_max"`
	Queued             int                          `json:"queued"`
	Connections        int                          `json:"connections"`
	ConnectionsMax     int                          `json:"connections_max"`
	ConnectionsOpened  uint64                       `json:"connections_opened"`
	ConnectionsRefused uint64                       `json:"connections_refused"`
	AfterDrain         uint64                       `json:"after_drain"`       // requests received since the drain began
	LastAfterDrain     unit.Duration                `json:"last_after_drain"`  // from the start of the drain to the latest of them
	AfterDrainTimes    []unit.Duration              `json:"after_drain_times"` // from the start of the drain to each of the first ones, at most maxAfterDrainTimes
}

// Count returns the number of requests of all kinds with this result.
func (c Counters) Count(r Result) uint64 {
	var n uint64
	for _, results := range c.Requests {
		n += results[r]
	}
	return n
}

const maxAfterDrainTimes = 10000

type counters struct {
	mu sync.Mutex
	c  Counters
}

func (c *counters) update(f func(*Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.c)
}

// received counts a shard request on arrival; drained is the time since the drain began, negative
// if the target isn't draining.
func (c *counters) received(drained time.Duration) {
	c.update(func(c *Counters) {
		c.Received++
		if drained < 0 {
			return
		}
		c.AfterDrain++
		c.LastAfterDrain = unit.Duration(drained)
		if len(c.AfterDrainTimes) < maxAfterDrainTimes {
			c.AfterDrainTimes = append(c.AfterDrainTimes, unit.Duration(drained))
		}
	})
}

func (c *counters) ended(kind string, r Result) {
	c.update(func(c *Counters) {
		if c.Requests == nil {
			c.Requests = map[string]map[Result]uint64{}
		}
		if c.Requests[kind] == nil {
			c.Requests[kind] = map[Result]uint64{}
		}
		c.Requests[kind][r]++
	})
}

// Counters returns a copy of the current counters.
func (t *Target) Counters() Counters {
	t.counts.mu.Lock()
	defer t.counts.mu.Unlock()
	out := t.counts.c
	out.Requests = map[string]map[Result]uint64{}
	for kind, results := range t.counts.c.Requests {
		out.Requests[kind] = maps.Clone(results)
	}
	out.AfterDrainTimes = append([]unit.Duration{}, t.counts.c.AfterDrainTimes...)
	out.Running, out.Queued, out.RunningMax = t.slots.load()
	return out
}
