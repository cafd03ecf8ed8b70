package entry

import (
	"cmp"
	"slices"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// merge collects the shard results of one search in one snapshot. It takes
// the first valid answer for each shard and drops late, doubled and foreign
// ones, so coverage is a set of shards and never a count of answers. One
// goroutine owns it.
type merge struct {
	snapshot  uint64
	slots     []slot
	byKey     map[query.ShardKey]*slot
	answered  int
	open      int // slots that may still be answered
	attempts  int
	totalRows int
}

// slot is the state of one shard.
type slot struct {
	key      query.ShardKey
	tried    []string // hosts asked
	waiting  []*call  // relays asked that have not given their last word
	answered bool
	rows     []query.Row
	outcomes []outcome.Outcome
	reason   query.Reason
	result   query.ShardResult // last failure
}

// newMerge returns a merge that waits for the shards of the parts.
func newMerge(snapshot uint64, parts []query.Part) *merge {
	n := 0
	for _, p := range parts {
		n += len(p.Shards)
	}
	m := &merge{snapshot: snapshot, slots: make([]slot, 0, n), byKey: make(map[query.ShardKey]*slot, n), open: n}
	for _, p := range parts {
		for _, shard := range p.Shards {
			m.slots = append(m.slots, slot{key: query.ShardKey{Service: p.Service, Shard: shard}})
		}
	}
	for i := range m.slots {
		m.byKey[m.slots[i].key] = &m.slots[i]
	}
	return m
}

// ask notes that a relay was asked for the shard.
func (s *slot) ask(c *call) {
	s.tried = append(s.tried, c.host.ID)
	s.waiting = append(s.waiting, c)
	c.left++
}

// offer takes a relay's last word on a shard and returns the shard. A result
// for a foreign shard, or one that the relay has told already, is dropped: it
// returns nil. An answer from another snapshot is none.
func (m *merge) offer(c *call, r query.ShardResult) *slot {
	s, ok := m.byKey[r.Key]
	if !ok {
		return nil
	}
	i := slices.Index(s.waiting, c)
	if i < 0 {
		return nil
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	c.left--
	m.attempts += r.Attempts
	if r.Outcome == outcome.Done && r.Snapshot != m.snapshot {
		r.Outcome, r.Reason = outcome.Unknown, query.ReasonBadAnswer
	}
	switch {
	case s.answered:
	case r.Outcome == outcome.Done:
		m.answer(s, r)
	default:
		s.outcomes = append(s.outcomes, r.Outcome)
		s.result = r
	}
	return s
}

// openOf returns the unanswered shards that wait for the relay.
func (m *merge) openOf(c *call) []*slot {
	if c.left == 0 {
		return nil
	}
	var open []*slot
	for i := range m.slots {
		if s := &m.slots[i]; !s.answered && slices.Contains(s.waiting, c) {
			open = append(open, s)
		}
	}
	return open
}

func (m *merge) answer(s *slot, r query.ShardResult) {
	s.answered = true
	s.rows = r.Rows
	m.totalRows += r.TotalRows
	m.answered++
	m.open--
}

// settle closes the shard if no relay is left that may answer it.
func (m *merge) settle(s *slot) {
	if s.answered || len(s.waiting) > 0 || s.reason != "" {
		return
	}
	s.reason = s.result.Reason
	if s.reason == "" {
		s.reason = query.ReasonNoRelay
	}
	m.open--
}

// reachable returns the highest coverage that may still be reached.
func (m *merge) reachable() float64 {
	if len(m.slots) == 0 {
		return 1
	}
	return float64(m.answered+m.open) / float64(len(m.slots))
}

// coverage returns what was answered so far.
func (m *merge) coverage() query.Coverage {
	c := query.Coverage{Shards: len(m.slots), Answered: m.answered}
	for i := range m.slots {
		if s := &m.slots[i]; !s.answered {
			c.Missing = append(c.Missing, s.key)
		}
	}
	return c // slots are sorted as the parts are, by service and shard
}

// rows returns the rows of all answered shards, best first, at most limit of
// them; 0 means all.
func (m *merge) rows(limit int) []query.Row {
	var best []query.Row
	for i := range m.slots {
		best = append(best, m.slots[i].rows...)
		if limit > 0 && len(best) >= selectAt*limit {
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

// selectAt is how many times the limit of rows is gathered before the best are
// selected, so that a wide search never sorts all its rows.
const selectAt = 8

// byScore orders rows best first, and rows of one score by where they are from.
func byScore(a, b query.Row) int {
	if a.Score != b.Score {
		return cmp.Compare(b.Score, a.Score)
	}
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Key, b.Key))
}

// outcome returns what became of the search as a whole, for a refusal. A
// search whose shards were answered, but too few of them, ran in vain.
func (m *merge) outcome() outcome.Outcome {
	all := outcome.NotSent
	for i := range m.slots {
		all = outcome.Combine(all, m.slots[i].outcome())
	}
	if all == outcome.Done {
		return outcome.Failed
	}
	return all
}

// outcome of one shard; a relay that has not given its last word may have
// sent an attempt.
func (s *slot) outcome() outcome.Outcome {
	if s.answered {
		return outcome.Done
	}
	if len(s.waiting) > 0 {
		return outcome.Unknown
	}
	return outcome.Combine(s.outcomes...)
}
