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
	slots     map[query.ShardKey]*slot
	answered  int
	open      int // slots that may still be answered
	attempts  int
	totalRows int
}

// slot is the state of one shard.
type slot struct {
	pending  int // relays asked that have not given their last word
	answered bool
	rows     []query.Row
	outcomes []outcome.Outcome
	reason   query.Reason
	result   query.ShardResult // last failure
}

// newMerge returns a merge that waits for the shards of the parts.
func newMerge(snapshot uint64, parts []query.Part) *merge {
	m := &merge{snapshot: snapshot, slots: make(map[query.ShardKey]*slot)}
	for _, p := range parts {
		for _, s := range p.Shards {
			m.slots[query.ShardKey{Service: p.Service, Shard: s}] = &slot{}
		}
	}
	m.open = len(m.slots)
	return m
}

// ask notes that one more relay was asked for the shard.
func (m *merge) ask(k query.ShardKey) { m.slots[k].pending++ }

// offer takes a relay's last word on a shard. It reports whether the word was
// wanted: a result for a foreign shard or another snapshot, or for a shard
// that has its answer, is dropped.
func (m *merge) offer(r query.ShardResult) bool {
	s, ok := m.slots[r.Key]
	if !ok {
		return false
	}
	m.attempts += r.Attempts
	if r.Outcome == outcome.Done && r.Snapshot != m.snapshot {
		r.Outcome, r.Reason = outcome.Unknown, query.ReasonBadAnswer
	}
	s.pending--
	if s.answered {
		return false
	}
	if r.Outcome == outcome.Done {
		m.answer(s, r)
		return true
	}
	s.outcomes = append(s.outcomes, r.Outcome)
	s.result = r
	return true
}

func (m *merge) answer(s *slot, r query.ShardResult) {
	s.answered = true
	s.rows = r.Rows
	m.totalRows += r.TotalRows
	m.answered++
	m.open--
}

// unanswered reports whether the shard still wants an answer.
func (m *merge) unanswered(k query.ShardKey) bool { return !m.slots[k].answered }

// settle closes the shard if no relay is left that may answer it.
func (m *merge) settle(k query.ShardKey) {
	s := m.slots[k]
	if s.answered || s.pending > 0 || s.reason != "" {
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
	for k, s := range m.slots {
		if !s.answered {
			c.Missing = append(c.Missing, k)
		}
	}
	slices.SortFunc(c.Missing, func(a, b query.ShardKey) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
	})
	return c
}

// rows returns the rows of all answered shards, best first, at most limit of
// them; 0 means all.
func (m *merge) rows(limit int) []query.Row {
	var all []query.Row
	for _, s := range m.slots {
		all = append(all, s.rows...)
	}
	slices.SortFunc(all, func(a, b query.Row) int {
		return cmp.Or(
			cmp.Compare(b.Score, a.Score),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Shard, b.Shard),
			cmp.Compare(a.Key, b.Key),
		)
	})
	if limit > 0 && len(all) > limit {
		all = all[:limit]
	}
	return all
}

// outcome returns what became of the search as a whole, for a refusal. A
// search whose shards were answered, but too few of them, ran in vain.
func (m *merge) outcome() outcome.Outcome {
	all := outcome.NotSent
	for _, s := range m.slots {
		all = outcome.Combine(all, s.outcome())
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
	if s.pending > 0 {
		return outcome.Unknown
	}
	return outcome.Combine(s.outcomes...)
}
