package entry

import (
	"cmp"
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// merger collects the shard results of one search in one snapshot. It accepts
// the first valid answer for each shard and discards late and duplicate ones
// and results for foreign shards, so coverage is a set of shards and never a
// count of answers. It is not safe for concurrent use.
type merger struct {
	snapshot      uint64
	shards        []shardState
	byKey         map[query.ShardKey]*shardState
	answeredCount int
	openCount     int // shards that may still be answered
	attempts      int
	totalRows     int
}

// shardState is the state of one shard in a search.
type shardState struct {
	key         query.ShardKey
	triedHosts  []string // ids of the hosts whose relays were sent the shard
	pending     []*call  // calls without a final result for the shard
	answered    bool
	rows        []query.Row
	outcomes    []outcome.Outcome // of the results without an answer
	reason      query.Reason      // set when the shard is closed without an answer
	lastFailure query.ShardResult
}

// newMerger returns a merger for the shards of the parts.
func newMerger(snapshot uint64, parts []query.ServiceShards) *merger {
	n := 0
	for _, p := range parts {
		n += len(p.Shards)
	}
	m := &merger{snapshot: snapshot, shards: make([]shardState, 0, n), byKey: make(map[query.ShardKey]*shardState, n), openCount: n}
	for _, p := range parts {
		for _, shard := range p.Shards {
			m.shards = append(m.shards, shardState{key: query.ShardKey{Service: p.Service, Shard: shard}})
		}
	}
	for i := range m.shards {
		m.byKey[m.shards[i].key] = &m.shards[i]
	}
	return m
}

// addCall records that the call requests the shard.
func (s *shardState) addCall(c *call) {
	s.triedHosts = append(s.triedHosts, c.host.ID)
	s.pending = append(s.pending, c)
	c.pendingShards++
}

// addResult merges a relay's final result for a shard and returns the shard. It
// discards a result for a shard that the call did not request, or a second
// result for the same shard, and returns nil. An answer from another snapshot
// counts as a bad answer with an unknown outcome.
func (m *merger) addResult(c *call, r query.ShardResult) *shardState {
	s, ok := m.byKey[r.Key]
	if !ok {
		return nil
	}
	i := slices.Index(s.pending, c)
	if i < 0 {
		return nil
	}
	s.pending = slices.Delete(s.pending, i, i+1)
	c.pendingShards--
	m.attempts += r.Attempts
	if r.Outcome == outcome.Done && r.Snapshot != m.snapshot {
		r.Outcome, r.Reason = outcome.Unknown, query.ReasonBadAnswer
	}
	switch {
	case s.answered:
	case r.Outcome == outcome.Done:
		m.acceptAnswer(s, r)
	default:
		s.outcomes = append(s.outcomes, r.Outcome)
		s.lastFailure = r
	}
	return s
}

// unansweredOf returns the unanswered shards that the call has yet to return.
func (m *merger) unansweredOf(c *call) []*shardState {
	if c.pendingShards == 0 {
		return nil
	}
	var unanswered []*shardState
	for i := range m.shards {
		if s := &m.shards[i]; !s.answered && slices.Contains(s.pending, c) {
			unanswered = append(unanswered, s)
		}
	}
	return unanswered
}

func (m *merger) acceptAnswer(s *shardState, r query.ShardResult) {
	s.answered = true
	s.rows = r.Rows
	m.totalRows += r.TotalRows
	m.answeredCount++
	m.openCount--
}

// closeIfExhausted closes the shard if no pending call may answer it.
func (m *merger) closeIfExhausted(s *shardState) {
	if s.answered || len(s.pending) > 0 || s.reason != "" {
		return
	}
	s.reason = s.lastFailure.Reason
	if s.reason == "" {
		s.reason = query.ReasonNoRelay
	}
	m.openCount--
}

// reachableCoverage returns the coverage if all open shards were answered.
func (m *merger) reachableCoverage() float64 {
	if len(m.shards) == 0 {
		return 1
	}
	return float64(m.answeredCount+m.openCount) / float64(len(m.shards))
}

// coverage returns the coverage reached so far.
func (m *merger) coverage() query.Coverage {
	c := query.Coverage{Shards: len(m.shards), Answered: m.answeredCount}
	for i := range m.shards {
		if s := &m.shards[i]; !s.answered {
			c.Missing = append(c.Missing, s.key)
		}
	}
	return c // shards are in the order of the parts, by service and shard
}

// rows returns the rows of all answered shards, best first, at most limit of
// them; 0 means all.
func (m *merger) rows(limit int) []query.Row {
	var best []query.Row
	for i := range m.shards {
		best = append(best, m.shards[i].rows...)
		if limit > 0 && len(best) >= rowSelectFactor*limit {
			slices.SortFunc(best, byScore)
			best = best[:limit]
		}
	}
	slices.SortFunc(best, byScore)
	if limit > 0 && len(best) > limit {
		best = best[:limit]
	}
	return best
}

// rowSelectFactor is the number of collected rows, as a multiple of the limit,
// at which the best are selected, so that a wide search never sorts all its
// rows.
const rowSelectFactor = 8

// byScore orders rows best first, and rows of equal score by service, shard and
// key.
func byScore(a, b query.Row) int {
	if a.Score != b.Score {
		return cmp.Compare(b.Score, a.Score)
	}
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Key, b.Key))
}

// outcome returns the outcome of the whole search, for a refusal. Done becomes
// Failed: the caller gets no answer if too few shards were answered.
func (m *merger) outcome() outcome.Outcome {
	combined := outcome.NotSent
	for i := range m.shards {
		combined = outcome.Combine(combined, m.shards[i].outcome())
	}
	if combined == outcome.Done {
		return outcome.Failed
	}
	return combined
}

// outcome returns the outcome of the shard: Unknown while a call is pending, as
// its relay may have sent an attempt.
func (s *shardState) outcome() outcome.Outcome {
	if s.answered {
		return outcome.Done
	}
	if len(s.pending) > 0 {
		return outcome.Unknown
	}
	return outcome.Combine(s.outcomes...)
}
