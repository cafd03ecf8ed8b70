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
	chosen   map[string]bool // hosts asked for any shard
	calls    map[*call]bool
	mailbox  *mailbox
	last     bool // no other snapshot is left to try
	overdue  bool // the budget ended with shards open
}

// call is one batch asked of one relay.
type call struct {
	host member.Host
	keys []query.ShardKey // asked for
	left int              // shards without the relay's last word
	at   time.Time        // when it began
	late bool             // its shards were asked of another relay as well
	told bool             // its last word on every shard was noted
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
func (s *scatter) run(ctx context.Context) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	all := make([]*slot, len(s.merge.slots))
	for i := range all {
		all[i] = &s.merge.slots[i]
	}
	s.ask(ctx, all)
	latest := time.Now().Add(s.hedgeAfter(ctx))
	timer := time.NewTimer(s.untilLate(latest))
	defer timer.Stop()
	defer s.noteLate()
	var batch []message
	for !s.decided() {
		select {
		case <-s.mailbox.bell:
			batch = s.mailbox.take(batch)
			if s.receiveAll(ctx, batch) == verdictUnheld {
				return verdictUnheld
			}
		case <-timer.C:
			now := time.Now()
			s.hedge(ctx, now, !now.Before(latest))
			if now.Before(latest) {
				timer.Reset(latest.Sub(now))
			}
		case <-ctx.Done():
			s.drain()
			s.overdue = s.merge.open > 0
			return verdictDeadline
		}
	}
	s.drain()
	return verdictAnswered
}

// decided reports whether no message can change the answer: nothing is open,
// or the minimum is out of reach.
func (s *scatter) decided() bool {
	return s.merge.open == 0 || s.merge.reachable() < s.search.MinCoverage
}

// receiveAll takes messages until the search is decided; what comes after
// that only counts.
func (s *scatter) receiveAll(ctx context.Context, batch []message) verdict {
	for i, m := range batch {
		if s.decided() {
			s.count(batch[i:])
			break
		}
		if s.receive(ctx, m) == verdictUnheld {
			s.count(batch[i+1:])
			return verdictUnheld
		}
	}
	return verdictAnswered
}

// drain takes the results that had arrived when the search was decided.
func (s *scatter) drain() { s.count(s.mailbox.take(nil)) }

// count takes results without asking any relay again.
func (s *scatter) count(batch []message) {
	for _, m := range batch {
		if !m.end {
			s.offer(m)
		}
	}
}

// offer merges a result and notes when it was the last of its call. The end
// of the call itself often comes when the search is decided.
func (s *scatter) offer(m message) *slot {
	sl := s.merge.offer(m.call, m.result)
	if m.call.left == 0 && !m.call.told {
		m.call.told = true
		s.answered(m.call)
	}
	return sl
}

// hedgeAfter returns after what time open shards are asked of another relay at
// the latest.
func (s *scatter) hedgeAfter(ctx context.Context) time.Duration {
	return time.Duration(s.entry.cfg.HedgeRelayAfter * float64(remaining(ctx)))
}

// untilLate returns when to look for calls that take longer than others do,
// at the latest at the given time.
func (s *scatter) untilLate(latest time.Time) time.Duration {
	left := time.Until(latest)
	if late, ok := s.entry.latencies.late(s.urgency); ok {
		return min(late, left)
	}
	return left
}

// noteLate tells how long the late calls took so far, as the search is over.
func (s *scatter) noteLate() {
	for c := range s.calls {
		if c.late && !c.told {
			s.entry.latencies.took(s.urgency, time.Since(c.at))
		}
	}
}

// ask chooses a relay for each shard and starts one call a relay. Shards with
// no relay left are settled.
func (s *scatter) ask(ctx context.Context, slots []*slot) {
	calls := make(map[string]*call)
	first := make(map[string]member.Host) // relay of a service's shards that were not asked for yet
	now := time.Now()
	for _, sl := range slots {
		h, ok := first[sl.key.Service]
		if !ok || len(sl.tried) > 0 {
			h, ok = s.relayFor(sl, now)
		}
		if !ok {
			s.merge.settle(sl)
			continue
		}
		if len(sl.tried) == 0 {
			first[sl.key.Service] = h
		}
		c := calls[h.ID]
		if c == nil {
			c = &call{host: h}
			calls[h.ID] = c
			s.chosen[h.ID] = true
		}
		c.keys = append(c.keys, sl.key)
		sl.ask(c)
	}
	for _, c := range calls {
		s.start(ctx, c)
	}
}

func (s *scatter) relayFor(sl *slot, now time.Time) (member.Host, bool) {
	if len(sl.tried) >= s.entry.cfg.MaxRelays {
		return member.Host{}, false
	}
	return s.entry.router.choose(sl.key.Service, now, choice{tried: sl.tried, chosen: s.chosen})
}

// start runs a relay call in its own goroutine.
func (s *scatter) start(ctx context.Context, c *call) {
	s.calls[c] = true
	c.at = time.Now()
	batch := s.batch(ctx, c)
	searcher := s.entry.relays.Searcher(c.host)
	s.entry.router.begin(c.host.ID)
	s.entry.metrics.calls.Inc()
	if s.remote(c) {
		s.entry.latencies.began(c.at, s.urgency)
	}
	go func() {
		defer s.entry.router.end(c.host.ID)
		err := searcher.Search(ctx, batch, func(r query.ShardResult) {
			s.mailbox.put(message{call: c, result: r})
		})
		s.mailbox.put(message{call: c, end: true, err: err})
	}()
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
		Parts:     partsOf(c.keys),
	}
}

// receive takes one message of a relay call.
func (s *scatter) receive(ctx context.Context, m message) verdict {
	if m.end {
		s.finish(ctx, m)
		return verdictAnswered
	}
	sl := s.offer(m)
	if sl == nil || sl.answered {
		return verdictAnswered
	}
	reason := sl.result.Reason
	if reason == query.ReasonSnapshotNotHeld && !s.last {
		return verdictUnheld
	}
	if reason == query.ReasonOverload {
		s.entry.latencies.overloaded(time.Now(), s.urgency)
	}
	if relaysFault(reason) {
		s.ask(ctx, []*slot{sl})
	}
	s.merge.settle(sl)
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
	if m.call.left == 0 {
		return
	}
	if ctx.Err() != nil {
		return
	}
	s.entry.router.lost(m.call.host.ID, time.Now())
	s.entry.metrics.lost.Inc()
	open := s.merge.openOf(m.call)
	for _, sl := range open {
		s.merge.offer(m.call, query.ShardResult{Key: sl.key, Outcome: outcome.Unknown, Reason: query.ReasonConnection})
	}
	s.ask(ctx, open)
	for _, sl := range open {
		s.merge.settle(sl)
	}
}

// answered takes a call that gave its last word on every shard. One that was
// late shows no more than that its relay is slow.
func (s *scatter) answered(c *call) {
	if s.remote(c) {
		s.entry.latencies.took(s.urgency, time.Since(c.at))
	}
	if !c.late {
		s.entry.router.answered(c.host.ID)
	}
}

// remote reports whether the relay is on another host; this host's own hedges
// by itself.
func (s *scatter) remote(c *call) bool { return c.host.ID != s.entry.members.Self().ID }

// hedge asks other relays for the shards that slow remote relays left
// open. Before the latest time for it that takes from a budget. The first valid
// answer counts, whoever gives it.
func (s *scatter) hedge(ctx context.Context, now time.Time, ended bool) {
	var again []*slot
	for c := range s.calls {
		if c.late || !s.remote(c) {
			continue
		}
		open := s.merge.openOf(c)
		if len(open) == 0 || (!ended && !s.entry.latencies.take(now, s.urgency)) {
			continue
		}
		c.late = true
		again = append(again, open...)
		s.entry.router.lost(c.host.ID, now)
		s.entry.metrics.hedges.Inc()
	}
	s.ask(ctx, again)
}
