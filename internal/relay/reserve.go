package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// reservationRank is the queue rank of reservations. Their claim has been
// made, so they must not be evicted for batches of any rank; only the budget
// may refuse them.
const reservationRank = 0

// Pick implements claim.Sender. It refuses a reservation whose expected wait
// exceeds the budget, so that no claim is made for one that cannot succeed.
func (r *Relay) Pick(q query.ReserveRequest, exclude []string) (string, *query.Refusal) {
	p := r.pool(q.Service)
	if p == nil {
		return "", refuse(q, query.ReasonUnknownService, 0)
	}
	set, _, _, ok := p.locateItem(q.Item)
	if !ok {
		return "", refuse(q, query.ReasonNoSnapshot, r.cfg.RetryAfter.Std())
	}
	return p.pick(q, set, exclude)
}

func refuse(q query.ReserveRequest, reason query.Reason, after time.Duration) *query.Refusal {
	return &query.Refusal{RequestID: q.RequestID, Reason: reason, Outcome: outcome.NotSent, RetryAfter: after}
}

// locateItem returns the replica set, shard and snapshot of an item. It uses
// the newest snapshot of which every shard has a usable target.
func (p *pool) locateItem(item string) (*replicaSet, uint32, uint64, bool) {
	p.mu.Lock()
	workload := p.conf.Workload
	p.mu.Unlock()
	for _, s := range p.relay.view.Snapshots(workload) {
		pl := p.placement(s.ID)
		if pl == nil || len(pl.shards) == 0 || !p.allShardsUsable(pl) {
			continue
		}
		shard := xxhash.Sum64String(item) % uint64(len(pl.shards))
		return pl.shards[shard], uint32(shard), s.ID, true
	}
	return nil, 0, 0, false
}

// allShardsUsable reports whether every shard has a usable target.
func (p *pool) allShardsUsable(pl *placement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range pl.shards {
		t := try{candidates: s.targets}
		if !t.anyEligible() {
			return false
		}
	}
	return true
}

func (p *pool) pick(q query.ReserveRequest, set *replicaSet, exclude []string) (string, *query.Refusal) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excludeHostPause(now)
	wait := p.queue.ExpectedWait(now, p.conf.Urgency)
	if wait > q.Budget {
		return "", refuse(q, query.ReasonOverload, policy.RetryAfter(wait, p.rng.Float64()))
	}
	t := &try{candidates: set.targets}
	for i, h := range set.targets {
		if containsID(exclude, h.conf.ID) {
			t.excluded |= 1 << i
		}
	}
	i := p.chooseAnyCapacity(now, t)
	if i < 0 {
		return "", refuse(q, p.unavailableReason(t), p.relay.cfg.RetryAfter.Std())
	}
	return set.targets[i].conf.ID, nil
}

func containsID(ids []string, id string) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// chooseAnyCapacity chooses an eligible candidate whether or not it has a free
// slot. It returns -1 if there is none.
func (p *pool) chooseAnyCapacity(now time.Time, t *try) int {
	options := make([]policy.Option, 0, len(t.candidates))
	indices := make([]int, 0, len(t.candidates))
	for i, c := range t.candidates {
		if !t.eligible(i) {
			continue
		}
		indices = append(indices, i)
		options = append(options, policy.Option{
			Cost:       c.replica.Outlier.Cost(now, c.replica.Limiter.InFlight(), c.replica.Limiter.Limit()),
			Local:      c.sameDomain,
			LastResort: c.replica.Outlier.Ejected(now) || !c.replica.Ramp.Takes(now, p.rng.Float64()),
		})
	}
	chosen := policy.Choose(p.rng, options)
	if chosen < 0 {
		return -1
	}
	return indices[chosen]
}

// Send implements claim.Sender.
func (r *Relay) Send(ctx context.Context, q query.ReserveRequest, targetID, attemptID string) query.Reservation {
	deadline := time.Now().Add(q.Budget)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	notSent := func(reason query.Reason) query.Reservation {
		return reservation(q, targetID, attemptResult{
			outcome: outcome.NotSent, reason: reason, retryAfter: r.cfg.RetryAfter.Std()})
	}
	p := r.pool(q.Service)
	if p == nil {
		return notSent(query.ReasonUnknownService)
	}
	r.countForeignRequest(p)
	t, usable := p.usableTarget(targetID)
	if !usable {
		return notSent(query.ReasonDraining)
	}
	set, shard, snapshot, ok := p.locateItem(q.Item)
	if !ok {
		return notSent(query.ReasonNoSnapshot)
	}
	body, err := json.Marshal(targetapi.Request{
		Kind: targetapi.KindReserve, Caller: q.Caller, ReservationID: q.ReservationID, Item: q.Item,
	})
	if err != nil {
		return notSent(query.ReasonBadRequest)
	}
	s := &reserveAttempt{pool: p, peers: set.replicas, result: make(chan attemptResult, 1), ctx: ctx, attempt: &attempt{
		id: attemptID, requestID: q.RequestID, service: q.Service, shard: shard,
		snapshot: snapshot, body: body, deadline: deadline, once: true,
	}}
	return reservation(q, targetID, s.run(t))
}

func reservation(q query.ReserveRequest, targetID string, a attemptResult) query.Reservation {
	out := query.Reservation{
		RequestID: q.RequestID, ReservationID: q.ReservationID, Target: targetID,
		Outcome: a.outcome, Reason: a.reason, RetryAfter: a.retryAfter,
	}
	if a.outcome == outcome.Done {
		out.Granted, out.Answer = a.answer.Granted, a.answer.Text
	}
	return out
}

func (p *pool) urgency() query.Urgency {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conf.Urgency
}

// usableTarget returns the target with the id and whether it exists and is
// usable.
func (p *pool) usableTarget(id string) (*target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.byID[id]
	return t, ok && t.usable()
}

// reserveAttempt is the attempt of a reservation to a given target. It is sent
// at most once.
type reserveAttempt struct {
	pool    *pool
	peers   []*policy.Replica
	ctx     context.Context
	attempt *attempt
	result  chan attemptResult
}

func (s *reserveAttempt) run(t *target) attemptResult {
	tr := &try{owner: s, kind: policy.FirstTry, candidates: []*target{t}, peers: s.peers}
	tr.waiter.Urgency, tr.waiter.Deadline, tr.waiter.Rank = s.pool.urgency(), s.attempt.deadline, reservationRank
	s.pool.submit(time.Now(), tr)
	timer := time.NewTimer(time.Until(s.attempt.deadline))
	defer timer.Stop()
	select {
	case a := <-s.result:
		return a
	case <-s.ctx.Done():
	case <-timer.C:
	}
	if s.pool.dequeue(tr) {
		return attemptResult{outcome: outcome.NotSent, reason: query.ReasonBudget}
	}
	return <-s.result
}

// send implements tryOwner. The deadline of the attempt bounds it.
func (s *reserveAttempt) send(t *try) attemptResult {
	ctx, cancel := context.WithDeadline(s.ctx, s.attempt.deadline)
	defer cancel()
	return t.target.send(ctx, cancel, s.attempt)
}

func (s *reserveAttempt) ended(_ *try, a attemptResult) { s.result <- a }

func (s *reserveAttempt) refused(_ *try, reason query.Reason, after time.Duration) {
	s.result <- attemptResult{outcome: outcome.NotSent, reason: reason, retryAfter: after}
}

// Settle implements claim.Sender.
func (r *Relay) Settle(ctx context.Context, service, targetID, attemptID string) (targetapi.Settlement, error) {
	var out targetapi.Settlement
	p := r.pool(service)
	if p == nil {
		return out, Error.New("settle attempt %s: no service %q", attemptID, service)
	}
	p.mu.Lock()
	t, settles := p.byID[targetID], p.conf.Rules.Settle
	p.mu.Unlock()
	if t == nil || !settles {
		return out, Error.New("settle attempt %s: target %q does not exist or does not support settlement", attemptID, targetID)
	}
	return t.settle(ctx, attemptID)
}

func (t *target) settle(ctx context.Context, attemptID string) (targetapi.Settlement, error) {
	var out targetapi.Settlement
	path := targetapi.PathSettle + "/" + attemptID + "/settle"
	req := &http.Request{
		Method: http.MethodPost, Host: t.conf.Address, Header: http.Header{},
		URL:   &url.URL{Scheme: "http", Host: t.conf.Address, Path: path},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	res, err := t.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return out, Error.New("settle attempt %s: %w", attemptID, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return out, Error.New("settle attempt %s: unexpected HTTP status %d", attemptID, res.StatusCode)
	}
	memory := t.openMemory(res)
	defer memory.Release() // by then the response is decoded
	body, err := t.readBody(res, memory)
	if err != nil {
		return out, Error.New("settle attempt %s: %w", attemptID, err)
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, Error.New("settle attempt %s: parse response: %w", attemptID, err)
	}
	if out.AttemptID != attemptID {
		return out, Error.New("settle attempt %s: response is for attempt %q", attemptID, out.AttemptID)
	}
	return out, nil
}

// Drain returns the service with the drained flag of the target set. The
// caller has to store it; the drain takes effect on each host that applies the
// configuration, and lasts until undone.
func Drain(s catalog.Service, targetID string, drained bool) (catalog.Service, error) {
	targets := append([]catalog.Target(nil), s.Targets...)
	for i := range targets {
		if targets[i].ID == targetID {
			targets[i].Drained = drained
			s.Targets = targets
			return s, nil
		}
	}
	return s, Error.New("service %q has no target %q", s.Name, targetID)
}
