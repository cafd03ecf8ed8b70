package objectstore

import (
	"maps"
	"strconv"
	"sync"
)

// Verb is an operation type of the object API.
type Verb string

// Operation types. A watch counts as one call, however long it waits.
const (
	VerbGet    Verb = "get"
	VerbList   Verb = "list"
	VerbPut    Verb = "put"
	VerbDelete Verb = "delete"
	VerbWatch  Verb = "watch"
)

// Results of calls that ended without an HTTP status code.
const (
	ResultCut  = "cut"  // a fault cut the connection
	ResultGone = "gone" // the client disconnected first
)

// Counters counts the calls and their results.
type Counters struct {
	Calls          map[Verb]uint64            `json:"calls"`   // counted on arrival
	Results        map[Verb]map[string]uint64 `json:"results"` // by HTTP status, ResultCut or ResultGone
	WaitingWatches int                        `json:"waiting_watches"`
}

// Total returns the number of calls of the given verbs, or of all verbs if none is given.
func (c Counters) Total(verbs ...Verb) uint64 {
	var n uint64
	if len(verbs) == 0 {
		for _, v := range c.Calls {
			n += v
		}
		return n
	}
	for _, v := range verbs {
		n += c.Calls[v]
	}
	return n
}

type counters struct {
	mu sync.Mutex
	c  Counters
}

func (c *counters) countCall(v Verb) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.c.Calls == nil {
		c.c.Calls = map[Verb]uint64{}
		c.c.Results = map[Verb]map[string]uint64{}
	}
	c.c.Calls[v]++
}

func (c *counters) countResult(v Verb, result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.c.Results[v] == nil {
		c.c.Results[v] = map[string]uint64{}
	}
	c.c.Results[v][result]++
}

func (c *counters) addWaitingWatches(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.c.WaitingWatches += delta
}

// Counters returns a copy of the current counters.
func (s *Store) Counters() Counters {
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	out := Counters{
		Calls:          maps.Clone(s.counts.c.Calls),
		Results:        map[Verb]map[string]uint64{},
		WaitingWatches: s.counts.c.WaitingWatches,
	}
	for v, r := range s.counts.c.Results {
		out.Results[v] = maps.Clone(r)
	}
	return out
}

func statusResult(code int) string { return strconv.Itoa(code) }
