package entry

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// scatter runs one search in one snapshot: it groups shards by relay, asks the
// relays side by side and merges their results. One goroutine, that of run,
// owns its state; the relay calls send it messages.
type scatter struct {
	entry    *Entry
	search   query.Search
	urgency  query.Urgency
	snapshot uint64
	workload string
	merge    *merge
	tried    map[query.ShardKey]map[string]bool
	chosen   map[string]bool
	calls    map[*call]bool
	messages chan message
	last     bool // no other snapshot is left to try
	overdue  bool // the budget ended with shards open
}

// call is one batch asked of one relay.
type call struct {
	host member.Host
	open map[query.ShardKey]bool // shards without the relay's last word
	late bool                    // its shards were asked of another relay as well
}

// message is what a relay call sends: a result, or its end.
type message struct {
	call   *call
	result query.ShardResult
	end    bool
	err    error
}

// verdict tells how a scatter ended.
type verdict uint8

const (
	verdictAnswered verdict = iota // nothing is left open, or nothing more can help
	verdictUnheld                  // a shard's targets no longer hold the snapshot
	verdictDeadline                // the budget ended
)

// run asks every shard of the parts and returns as soon as the search is
// decided. Relay calls that are still running then are cancelled and not
// waited for. On the last snapshot to be tried, a shard that is not held is
// missing and ends nothing.
func (s *scatter) run(ctx context.Context, parts []query.Part) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ask(ctx, keysOf(parts))
	patience := time.NewTimer(s.patience(ctx))
	defer patience.Stop()
	for s.merge.open > 0 && s.merge.reachable() >= s.search.MinCoverage {
		select {
		case m := <-s.messages:
			if s.receive(ctx, m) == verdictUnheld {
				return verdictUnheld
			}
		case <-patience.C:
			s.overtake(ctx)
		case <-ctx.Done():
			s.drain()
			s.overdue = s.merge.open > 0
			return verdictDeadline
		}
	}
	s.drain()
	return verdictAnswered
}

// drain takes the results that had arrived when the search was decided.
func (s *scatter) drain() {
	for {
		select {
		case m := <-s.messages:
			if !m.end {
				s.merge.offer(m.result)
			}
		default:
			return
		}
	}
}

// patience returns after what time open shards are asked of another relay.
func (s *scatter) patience(ctx context.Context) time.Duration {
	return time.Duration(s.entry.cfg.RelayPatience * float64(remaining(ctx)))
}

// ask chooses a relay for each shard and starts one call a relay. Shards with
// no relay left are settled.
func (s *scatter) ask(ctx context.Context, keys []query.ShardKey) {
	byHost := make(map[string]*call)
	now := time.Now()
	for _, k := range keys {
		h, ok := s.relayFor(k, now)
		if !ok {
			s.merge.settle(k)
			continue
		}
		c := byHost[h.ID]
		if c == nil {
			c = &call{host: h, open: make(map[query.ShardKey]bool)}
			byHost[h.ID] = c
		}
		c.open[k] = true
		s.note(k, h.ID)
	}
	for _, c := range byHost {
		s.start(ctx, c)
	}
}

func (s *scatter) relayFor(k query.ShardKey, now time.Time) (member.Host, bool) {
	tried := s.tried[k]
	if len(tried) >= s.entry.cfg.MaxRelays {
		return member.Host{}, false
	}
	return s.entry.router.choose(k.Service, now, choice{tried: tried, chosen: s.chosen})
}

func (s *scatter) note(k query.ShardKey, host string) {
	if s.tried[k] == nil {
		s.tried[k] = make(map[string]bool)
	}
	s.tried[k][host] = true
	s.chosen[host] = true
	s.merge.ask(k)
}

// start runs a relay call in its own goroutine.
func (s *scatter) start(ctx context.Context, c *call) {
	s.calls[c] = true
	batch := s.batch(ctx, c)
	searcher := s.entry.relays.Searcher(c.host)
	s.entry.router.begin(c.host.ID)
	s.entry.metrics.calls.Inc()
	go func() {
		defer s.entry.router.end(c.host.ID)
		err := searcher.Search(ctx, batch, func(r query.ShardResult) {
			s.send(ctx, message{call: c, result: r})
		})
		s.send(ctx, message{call: c, end: true, err: err})
	}()
}

func (s *scatter) send(ctx context.Context, m message) {
	select {
	case s.messages <- m:
	case <-ctx.Done():
	}
}

func (s *scatter) batch(ctx context.Context, c *call) query.Batch {
	budget := remaining(ctx)
	if allowance := s.entry.cfg.HopAllowance.Std(); budget > 2*allowance {
		budget -= allowance
	}
	return query.Batch{
		RequestID: s.search.RequestID,
		Caller:    s.search.Caller,
		Workload:  s.workload,
		Snapshot:  s.snapshot,
		Urgency:   s.urgency,
		Text:      s.search.Text,
		Limit:     s.search.Limit,
		Budget:    budget,
		Parts:     partsOf(c.open),
	}
}

// receive takes one message of a relay call.
func (s *scatter) receive(ctx context.Context, m message) verdict {
	if m.end {
		s.finish(ctx, m)
		return verdictAnswered
	}
	k := m.result.Key
	if !m.call.open[k] {
		return verdictAnswered // foreign, or told twice by this relay
	}
	delete(m.call.open, k)
	s.merge.offer(m.result)
	if !s.merge.unanswered(k) {
		return verdictAnswered
	}
	reason := s.merge.slots[k].result.Reason
	if reason == query.ReasonSnapshotNotHeld && !s.last {
		return verdictUnheld
	}
	if relaysFault(reason) {
		s.ask(ctx, []query.ShardKey{k})
	}
	s.merge.settle(k)
	return verdictAnswered
}

// relaysFault reports whether another relay may do better: the relay itself
// refused, does not know the snapshot yet, or answered from another one.
func relaysFault(r query.Reason) bool {
	switch r {
	case query.ReasonNotRelay, query.ReasonNoSnapshot, query.ReasonUnknownService,
		query.ReasonStale, query.ReasonDraining, query.ReasonBadAnswer:
		return true
	}
	return false
}

// finish takes the end of a relay call. Shards without a last word may have
// run; searches are idempotent, so they are asked of another relay.
func (s *scatter) finish(ctx context.Context, m message) {
	delete(s.calls, m.call)
	if m.err == nil && len(m.call.open) == 0 {
		s.entry.router.answered(m.call.host.ID)
		return
	}
	if ctx.Err() != nil {
		return
	}
	s.entry.router.lost(m.call.host.ID, time.Now())
	s.entry.metrics.lost.Inc()
	var again []query.ShardKey
	for k := range m.call.open {
		s.merge.offer(query.ShardResult{Key: k, Outcome: outcome.Unknown, Reason: query.ReasonConnection})
		if s.merge.unanswered(k) {
			again = append(again, k)
		}
	}
	s.ask(ctx, again)
	for _, k := range again {
		s.merge.settle(k)
	}
}

// overtake asks other relays for the shards that slow remote relays left
// open. The first valid answer counts, whoever gives it.
func (s *scatter) overtake(ctx context.Context) {
	var again []query.ShardKey
	for c := range s.calls {
		if c.late || c.host.ID == s.entry.members.Self().ID {
			continue // this host's own relay hedges by itself
		}
		c.late = true
		for k := range c.open {
			if s.merge.unanswered(k) {
				again = append(again, k)
			}
		}
		if len(c.open) > 0 {
			s.entry.router.lost(c.host.ID, time.Now())
			s.entry.metrics.overtaken.Inc()
		}
	}
	s.ask(ctx, again)
}
