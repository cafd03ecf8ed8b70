package relay

import (
	"context"
	"encoding/json"
	"io"
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

// mustRun is the rank of a reservation: its claim is made, so that only its
// budget may still refuse it.
const mustRun = 0

// Pick implements claim.Sender. It refuses what would wait too long, so that
// no claim is made for a reservation that has no chance.
func (r *Relay) Pick(q query.Reserve, exclude []string) (string, *query.Refusal) {
	p := r.pool(q.Service)
	if p == nil {
		return "", refuse(q, query.ReasonUnknownService, 0)
	}
	set, _, _, ok := p.locate(q.Item)
	if !ok {
		return "", refuse(q, query.ReasonNoSnapshot, r.cfg.RetryAfter.Std())
	}
	return p.pick(q, set, exclude)
}

func refuse(q query.Reserve, reason query.Reason, after time.Duration) *query.Refusal {
	return &query.Refusal{RequestID: q.RequestID, Reason: reason, Outcome: outcome.NotSent, RetryAfter: after}
}

// locate returns the replica set, shard and snapshot of an item: those of the
// newest snapshot of which every shard has a usable holder.
func (p *pool) locate(item string) (*replicaSet, uint32, uint64, bool) {
	p.mu.Lock()
	workload := p.conf.Workload
	p.mu.Unlock()
	for _, s := range p.relay.view.Snapshots(workload) {
		pl := p.placement(s.ID)
		if pl == nil || len(pl.shards) == 0 || !p.allHeld(pl) {
			continue
		}
		shard := xxhash.Sum64String(item) % uint64(len(pl.shards))
		return pl.shards[shard], uint32(shard), s.ID, true
	}
	return nil, 0, 0, false
}

func (p *pool) allHeld(pl *placement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range pl.shards {
		t := try{holders: s.targets}
		if !t.anyUsable() {
			return false
		}
	}
	return true
}

func (p *pool) pick(q query.Reserve, set *replicaSet, exclude []string) (string, *query.Refusal) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := p.queue.ExpectedWait(now, p.conf.Urgency)
	if wait > q.Budget {
		return "", refuse(q, query.ReasonOverload, policy.RetryAfter(wait, p.rng.Float64()))
	}
	t := &try{holders: set.targets}
	for i, h := range set.targets {
		if excluded(exclude, h.conf.ID) {
			t.spent |= 1 << i
		}
	}
	i := p.best(now, t)
	if i < 0 {
		return "", refuse(q, p.whyNone(t), p.relay.cfg.RetryAfter.Std())
	}
	return set.targets[i].conf.ID, nil
}

func excluded(ids []string, id string) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// best chooses a holder whether or not it has a free place, -1 if there is none.
func (p *pool) best(now time.Time, t *try) int {
	options := make([]policy.Option, 0, len(t.holders))
	open := make([]int, 0, len(t.holders))
	for i, h := range t.holders {
		if !t.holds(i) {
			continue
		}
		open = append(open, i)
		options = append(options, policy.Option{
			Cost:   h.rep.Outlier.Cost(now, h.rep.Limiter.InFlight(), h.rep.Limiter.Limit()),
			Local:  h.local,
			Barred: h.rep.Outlier.Ejected(now) || !h.rep.Ramp.Takes(now, p.rng.Float64()),
		})
	}
	chosen := policy.Choose(p.rng, options)
	if chosen < 0 {
		return -1
	}
	return open[chosen]
}

// Send implements claim.Sender.
func (r *Relay) Send(ctx context.Context, q query.Reserve, targetID, attemptID string) query.Reservation {
	deadline := time.Now().Add(q.Budget)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	notSent := func(reason query.Reason) query.Reservation {
		return reservation(q, targetID, answer{
			outcome: outcome.NotSent, reason: reason, retryAfter: r.cfg.RetryAfter.Std()})
	}
	p := r.pool(q.Service)
	if p == nil {
		return notSent(query.ReasonUnknownService)
	}
	r.noteOwnership(p)
	t, usable := p.targetOf(targetID)
	if !usable {
		return notSent(query.ReasonDraining)
	}
	set, shard, snapshot, ok := p.locate(q.Item)
	if !ok {
		return notSent(query.ReasonNoSnapshot)
	}
	body, err := json.Marshal(targetapi.Request{
		Kind: targetapi.KindReserve, Caller: q.Caller, ReservationID: q.ReservationID, Item: q.Item,
	})
	if err != nil {
		return notSent(query.ReasonBadRequest)
	}
	s := &single{pool: p, peers: set.replicas, fate: make(chan answer, 1), ctx: ctx, attempt: &attempt{
		id: attemptID, requestID: q.RequestID, service: q.Service, shard: shard,
		snapshot: snapshot, body: body, deadline: deadline,
	}}
	return reservation(q, targetID, s.run(t))
}

func reservation(q query.Reserve, targetID string, a answer) query.Reservation {
	out := query.Reservation{
		RequestID: q.RequestID, ReservationID: q.ReservationID, Target: targetID,
		Outcome: a.outcome, Reason: a.reason, RetryAfter: a.retryAfter,
	}
	if a.outcome == outcome.Done {
		out.Granted, out.Answer = a.body.Granted, a.body.Text
	}
	return out
}

func (p *pool) urgency() query.Urgency {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conf.Urgency
}

func (p *pool) targetOf(id string) (*target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.byID[id]
	return t, ok && t.usable()
}

// single is one attempt to one given target, sent one time at most.
type single struct {
	pool    *pool
	peers   []*policy.Replica
	ctx     context.Context
	attempt *attempt
	fate    chan answer
}

func (s *single) run(t *target) answer {
	tr := &try{owner: s, kind: policy.FirstTry, holders: []*target{t}, peers: s.peers}
	tr.waiter.Urgency, tr.waiter.Deadline, tr.waiter.Rank = s.pool.urgency(), s.attempt.deadline, mustRun
	s.pool.submit(time.Now(), tr)
	timer := time.NewTimer(time.Until(s.attempt.deadline))
	defer timer.Stop()
	select {
	case a := <-s.fate:
		return a
	case <-s.ctx.Done():
	case <-timer.C:
	}
	if s.pool.forget(tr) {
		return answer{outcome: outcome.NotSent, reason: query.ReasonBudget}
	}
	return <-s.fate
}

// send implements owner. The attempt's own deadline ends it.
func (s *single) send(t *try) answer {
	ctx, cancel := context.WithDeadline(s.ctx, s.attempt.deadline)
	defer cancel()
	return t.target.send(ctx, cancel, s.attempt)
}

func (s *single) ended(_ *try, a answer) { s.fate <- a }

func (s *single) refused(_ *try, reason query.Reason, after time.Duration) {
	s.fate <- answer{outcome: outcome.NotSent, reason: reason, retryAfter: after}
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
		return out, Error.New("settle attempt %s: target %q offers no settlement", attemptID, targetID)
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
		return out, Error.New("settle attempt %s: answer %d", attemptID, res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, t.maxAnswer))
	if err != nil {
		return out, Error.New("settle attempt %s: %w", attemptID, err)
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, Error.New("settle attempt %s: %w", attemptID, err)
	}
	if out.AttemptID != attemptID {
		return out, Error.New("settle attempt %s: answer about %q", attemptID, out.AttemptID)
	}
	return out, nil
}

// Drain reports the change to a service's settings that drains a target or
// undoes it. The caller writes it; the drain is in force where it is applied,
// and stands until undone.
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
