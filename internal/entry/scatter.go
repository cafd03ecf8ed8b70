package entry

import (
	"context"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// scatter runs one search in one snapshot: it groups the shards by relay, calls
// the relays concurrently and merges their results. Its state is used only by
// the goroutine of run; the relay calls send their results to the mailbox.
type scatter struct {
	entry           *Entry
	search          query.SearchRequest
	urgency         query.Urgency
	snapshot        uint64
	workload        string
	merger          *merger
	contacted       map[string]bool // hosts that were sent any shard
	running         map[*call]bool
	mailbox         *mailbox
	lastSnapshot    bool // no other snapshot will be tried
	budgetExhausted bool // the budget ended while shards were open
}

// call is one batch sent to one relay.
type call struct {
	host          member.Host
	keys          []query.ShardKey // shards in the batch
	pendingShards int              // number of shards without a final result
	startedAt     time.Time        // when it began
	hedged        bool             // it was late and its open shards were sent to another relay as well
	completed     bool             // every shard has a final result
}

// message is a result of a relay call, or its end.
type message struct {
	call   *call
	result query.ShardResult
	end    bool
	err    error
}

// runStatus is the reason why run ended. While messages are processed,
// statusDecided means that the run is not aborted.
type runStatus uint8

const (
	statusDecided         runStatus = iota // no shard is open, or the minimum coverage is out of reach
	statusSnapshotNotHeld                  // a shard's targets no longer hold the snapshot; another may be tried
	statusDeadline                         // the budget ended
)

// run requests every shard and returns as soon as the search is decided. It
// cancels the relay calls that are still running then and does not wait for
// them. On the last snapshot to be tried, a shard whose snapshot is not held is
// reported as missing and does not end the run.
func (s *scatter) run(ctx context.Context) runStatus {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	all := make([]*shardState, len(s.merger.shards))
	for i := range all {
		all[i] = &s.merger.shards[i]
	}
	s.dispatch(ctx, all)
	hedgeDeadline := time.Now().Add(s.maxHedgeDelay(ctx))
	timer := time.NewTimer(s.hedgeCheckDelay(hedgeDeadline))
	defer timer.Stop()
	defer s.observeHedgedCalls()
	var batch []message
	for !s.decided() {
		select {
		case <-s.mailbox.ready:
			batch = s.mailbox.takeAll(batch)
			if s.receiveAll(ctx, batch) == statusSnapshotNotHeld {
				return statusSnapshotNotHeld
			}
		case <-timer.C:
			now := time.Now()
			s.hedge(ctx, now, !now.Before(hedgeDeadline))
			if now.Before(hedgeDeadline) {
				timer.Reset(hedgeDeadline.Sub(now))
			}
		case <-ctx.Done():
			s.drain()
			s.budgetExhausted = s.merger.openCount > 0
			return statusDeadline
		}
	}
	s.drain()
	return statusDecided
}

// decided reports whether further results are not needed: no shard is open, or
// the minimum coverage is out of reach.
func (s *scatter) decided() bool {
	return s.merger.openCount == 0 || s.merger.reachableCoverage() < s.search.MinCoverage
}

// receiveAll processes messages until the search is decided. Later results are
// merged without sending further requests.
func (s *scatter) receiveAll(ctx context.Context, batch []message) runStatus {
	for i, m := range batch {
		if s.decided() {
			s.addResults(batch[i:])
			break
		}
		if s.receive(ctx, m) == statusSnapshotNotHeld {
			s.addResults(batch[i+1:])
			return statusSnapshotNotHeld
		}
	}
	return statusDecided
}

// drain merges the results that had arrived when the search was decided.
func (s *scatter) drain() { s.addResults(s.mailbox.takeAll(nil)) }

// addResults merges results without sending further requests.
func (s *scatter) addResults(batch []message) {
	for _, m := range batch {
		if !m.end {
			s.addResult(m)
		}
	}
}

// addResult merges a result and completes its call after the last one. It does
// not wait for the end message of the call, which often arrives after the
// search is decided.
func (s *scatter) addResult(m message) *shardState {
	shard := s.merger.addResult(m.call, m.result)
	if m.call.pendingShards == 0 && !m.call.completed {
		m.call.completed = true
		s.callCompleted(m.call)
	}
	return shard
}

// maxHedgeDelay returns the delay after which open shards are sent to another
// relay even if their calls are not late by their usual latency.
func (s *scatter) maxHedgeDelay(ctx context.Context) time.Duration {
	return time.Duration(s.entry.cfg.HedgeRelayAfter * float64(remaining(ctx)))
}

// hedgeCheckDelay returns the delay until calls are checked for lateness: the
// late threshold, but not after the hedge deadline.
func (s *scatter) hedgeCheckDelay(hedgeDeadline time.Time) time.Duration {
	untilDeadline := time.Until(hedgeDeadline)
	if threshold, ok := s.entry.callLatencies.lateThreshold(s.urgency); ok {
		return min(threshold, untilDeadline)
	}
	return untilDeadline
}

// observeHedgedCalls records the time that hedged calls took so far, as the
// search does not wait for their end.
func (s *scatter) observeHedgedCalls() {
	for c := range s.running {
		if c.hedged && !c.completed {
			s.entry.callLatencies.observe(s.urgency, time.Since(c.startedAt))
		}
	}
}

// dispatch chooses a relay for each shard and starts one call per relay. Shards
// without an untried relay are closed unless another call may answer them.
func (s *scatter) dispatch(ctx context.Context, shards []*shardState) {
	calls := make(map[string]*call)
	relayOf := make(map[string]member.Host) // by service, for shards that were sent to no relay yet
	now := time.Now()
	for _, shard := range shards {
		h, ok := relayOf[shard.key.Service]
		if !ok || len(shard.triedHosts) > 0 {
			h, ok = s.relayFor(shard, now)
		}
		if !ok {
			s.merger.closeIfExhausted(shard)
			continue
		}
		if len(shard.triedHosts) == 0 {
			relayOf[shard.key.Service] = h
		}
		c := calls[h.ID]
		if c == nil {
			c = &call{host: h}
			calls[h.ID] = c
			s.contacted[h.ID] = true
		}
		c.keys = append(c.keys, shard.key)
		shard.addCall(c)
	}
	for _, c := range calls {
		s.startCall(ctx, c)
	}
}

// relayFor returns an untried relay for the shard; false if there is none or
// MaxRelays were tried.
func (s *scatter) relayFor(shard *shardState, now time.Time) (member.Host, bool) {
	if len(shard.triedHosts) >= s.entry.cfg.MaxRelays {
		return member.Host{}, false
	}
	return s.entry.router.choose(shard.key.Service, now, relayChoice{triedHosts: shard.triedHosts, contacted: s.contacted})
}

// startCall runs a relay call in its own goroutine.
func (s *scatter) startCall(ctx context.Context, c *call) {
	s.running[c] = true
	c.startedAt = time.Now()
	batch := s.newBatch(ctx, c)
	searcher := s.entry.relays.Searcher(c.host)
	s.entry.router.callStarted(c.host.ID)
	s.entry.metrics.relayCalls.Inc()
	if s.isRemote(c) {
		s.entry.callLatencies.callStarted(c.startedAt, s.urgency)
	}
	go func() {
		defer s.entry.router.callEnded(c.host.ID)
		err := searcher.Search(ctx, batch, func(r query.ShardResult) {
			s.mailbox.add(message{call: c, result: r})
		})
		s.mailbox.add(message{call: c, end: true, err: err})
	}()
}

// newBatch returns the batch of a call, with the remaining budget less the hop
// allowance.
func (s *scatter) newBatch(ctx context.Context, c *call) query.Batch {
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
		Parts:     groupByService(c.keys),
	}
}

// receive processes one message of a relay call.
func (s *scatter) receive(ctx context.Context, m message) runStatus {
	if m.end {
		s.callEnded(ctx, m)
		return statusDecided
	}
	shard := s.addResult(m)
	if shard == nil || shard.answered {
		return statusDecided
	}
	reason := shard.lastFailure.Reason
	if reason == query.ReasonSnapshotNotHeld && !s.lastSnapshot {
		return statusSnapshotNotHeld
	}
	if reason == query.ReasonOverload {
		s.entry.callLatencies.overloadRefused(time.Now(), s.urgency)
	}
	if retryOnOtherRelay(reason) {
		s.dispatch(ctx, []*shardState{shard})
	}
	s.merger.closeIfExhausted(shard)
	return statusDecided
}

// retryOnOtherRelay reports whether another relay may succeed: the relay itself
// refused, does not have the service or the snapshot yet, or sent a bad answer.
func retryOnOtherRelay(r query.Reason) bool {
	switch r {
	case query.ReasonNotRelay, query.ReasonNoSnapshot, query.ReasonUnknownService,
		query.ReasonStale, query.ReasonDraining, query.ReasonBadAnswer:
		return true
	}
	return false
}

// callEnded processes the end of a relay call. Shards without a final result may
// have run; as searches are idempotent, they are sent to another relay.
func (s *scatter) callEnded(ctx context.Context, m message) {
	delete(s.running, m.call)
	if m.call.pendingShards == 0 {
		return
	}
	if ctx.Err() != nil {
		return
	}
	s.entry.router.callLost(m.call.host.ID, time.Now())
	s.entry.metrics.relaysLost.Inc()
	unanswered := s.merger.unansweredOf(m.call)
	for _, shard := range unanswered {
		s.merger.addResult(m.call, query.ShardResult{Key: shard.key, Outcome: outcome.Unknown, Reason: query.ReasonConnection})
	}
	s.dispatch(ctx, unanswered)
	for _, shard := range unanswered {
		s.merger.closeIfExhausted(shard)
	}
}

// callCompleted records the latency of a call that returned a final result for
// every shard. It ends the avoidance of the relay unless the call was late.
func (s *scatter) callCompleted(c *call) {
	if s.isRemote(c) {
		s.entry.callLatencies.observe(s.urgency, time.Since(c.startedAt))
	}
	if !c.hedged {
		s.entry.router.callAnswered(c.host.ID)
	}
}

// isRemote reports whether the relay is on another host. The local relay hedges
// its own attempts, so calls to it are neither hedged nor measured.
func (s *scatter) isRemote(c *call) bool { return c.host.ID != s.entry.members.Self().ID }

// hedge sends the unanswered shards of late remote calls to other relays as well.
// Before the hedge deadline this is limited by the budget for early hedges. The
// first valid answer for a shard is used, from whichever relay.
func (s *scatter) hedge(ctx context.Context, now time.Time, deadlinePassed bool) {
	var toHedge []*shardState
	for c := range s.running {
		if c.hedged || !s.isRemote(c) {
			continue
		}
		unanswered := s.merger.unansweredOf(c)
		if len(unanswered) == 0 || (!deadlinePassed && !s.entry.callLatencies.takeEarlyHedge(now, s.urgency)) {
			continue
		}
		c.hedged = true
		toHedge = append(toHedge, unanswered...)
		s.entry.router.callLost(c.host.ID, now)
		s.entry.metrics.relayHedges.Inc()
	}
	s.dispatch(ctx, toHedge)
}
