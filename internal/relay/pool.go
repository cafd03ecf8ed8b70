package relay

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// pool is the state of one service: its targets, the queue of the tries that
// wait for them, and the budgets of extra attempts.
type pool struct {
	relay *Relay
	name  string

	mu      sync.Mutex
	conf    catalog.Service
	targets []*target
	byID    map[string]*target
	queue   *policy.Queue[*try]
	retries *policy.Budget
	sets    map[string]*replicaSet
	maps    map[uint64]*placement // by snapshot
	rng     *rand.Rand
	pacing  *time.Timer // wakes the queue when pacing is all that holds it
	expired time.Time   // when the queue was last looked through
	running int
	// stranding tells that a target left since the queue was last granted
	// from, so that some of those who wait may have no holder any more.
	stranding bool
	relays    int  // hosts that share the service's targets
	own       bool // this host is one of them
}

// replicaSet is the targets that hold the same shards.
type replicaSet struct {
	targets  []*target
	replicas []*policy.Replica // of the same targets
	hedger   *policy.Hedger
}

func (s *replicaSet) add(t *target) {
	s.targets = append(s.targets, t)
	s.replicas = append(s.replicas, t.rep)
}

// placement tells the replica set of each shard in one snapshot.
type placement struct{ shards []*replicaSet }

// refusal is the word on a try that gets no place.
type refusal struct {
	try    *try
	reason query.Reason
	after  time.Duration
}

type refusals []refusal

// tell hands the refusals to their owners, who may take locks of their own.
func (r refusals) tell() {
	for _, x := range r {
		x.try.owner.refused(x.try, x.reason, x.after)
	}
}

// submit gives each try to a free holder or lets it wait. The owners of those
// refused at once are told before it returns.
func (p *pool) submit(now time.Time, tries ...*try) {
	var out refusals
	p.mu.Lock()
	for _, t := range tries {
		if x, ok := p.admit(now, t); !ok {
			out = append(out, x)
		}
	}
	out = append(out, p.drain(now)...)
	p.mu.Unlock()
	out.tell()
}

// resubmit is submit for a further try of a task. It reports false, and tells
// nobody, if the retry budget is used up; free tries do not count against it.
func (p *pool) resubmit(now time.Time, t *try, free bool) bool {
	p.mu.Lock()
	if !t.anyUsable() || (!free && !p.retries.Take(now)) {
		p.mu.Unlock()
		return false
	}
	var out refusals
	if x, ok := p.admit(now, t); !ok {
		out = append(out, x)
	}
	out = append(out, p.drain(now)...)
	p.mu.Unlock()
	out.tell()
	return true
}

// admit puts the try in the queue, from which grant takes it. A refusal is
// made at once, with the time to come back.
func (p *pool) admit(now time.Time, t *try) (refusal, bool) {
	if !t.anyUsable() {
		return refusal{t, p.whyNone(t), p.relay.cfg.RetryAfter.Std()}, false
	}
	t.waiter.Item = t
	a := p.queue.Push(now, &t.waiter)
	if !a.Admitted {
		p.relay.metrics.shed.WithLabelValues(p.name).Inc()
		return refusal{t, query.ReasonOverload, policy.RetryAfter(a.RetryAfter, p.rng.Float64())}, false
	}
	return refusal{}, true
}

// hedge starts a second try beside the first one, if the budget allows it and
// another holder has a free place. A hedge never waits.
func (p *pool) hedge(now time.Time, t *try) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	saturated := p.queue.Len() > 0 || !p.healthyFree(now, t)
	if !t.set.hedger.Take(now, saturated) || !p.take(now, t) {
		return false
	}
	go t.owner.granted(t)
	return true
}

// healthyFree reports whether a holder that is not set aside has a free place.
func (p *pool) healthyFree(now time.Time, t *try) bool {
	for i, h := range t.holders {
		if t.holds(i) && h.rep.Limiter.Free(now) && !h.rep.Outlier.Ejected(now) {
			return true
		}
	}
	return false
}

func (t *try) anyUsable() bool {
	for i := range t.holders {
		if t.holds(i) {
			return true
		}
	}
	return false
}

// whyNone tells why a try has no holder to ask.
func (p *pool) whyNone(t *try) query.Reason {
	for i, h := range t.holders {
		if t.spent&(1<<i) == 0 && !h.usable() {
			return query.ReasonDraining
		}
	}
	return query.ReasonNoTarget
}

// take chooses a holder with a free place and takes the place.
func (p *pool) take(now time.Time, t *try) bool {
	if !t.anyFree(now) {
		return false
	}
	i := p.choose(now, t)
	if i < 0 {
		return false
	}
	h := t.holders[i]
	h.rep.Send(now)
	h.stats.attempts++
	p.relay.metrics.attempts.Inc()
	t.spent |= 1 << i
	t.target, t.started = h, now
	p.running++
	return true
}

func (t *try) anyFree(now time.Time) bool {
	for i, h := range t.holders {
		if t.holds(i) && h.rep.Limiter.Free(now) {
			return true
		}
	}
	return false
}

// choose returns the index of the holder that the policy picks, -1 if none. A
// hedge looks in other failure domains than that of its first try before it
// looks in the same.
func (p *pool) choose(now time.Time, t *try) int {
	replicas := t.replicas()
	pick := func(usable func(i int) bool) int {
		r := policy.Pick(now, p.rng, t.kind, replicas, func(r *policy.Replica) bool {
			return usable(index(replicas, r))
		})
		return index(replicas, r)
	}
	if t.kind == policy.Hedge {
		elsewhere := func(i int) bool { return t.holds(i) && t.holders[i].conf.FailureDomain != t.avoid }
		if i := pick(elsewhere); i >= 0 {
			return i
		}
	}
	if i := pick(t.holds); i >= 0 || t.kind == policy.Hedge {
		return i
	}
	return pick(func(i int) bool { return t.holds(i) && p.overEjected(now, t.holders[i]) })
}

func index(replicas []*policy.Replica, r *policy.Replica) int {
	for i, x := range replicas {
		if x == r {
			return i
		}
	}
	return -1
}

// overEjected reports whether the target is set aside although MaxSuspect of
// the service's targets, all worse than it, are so already. It then still
// gets the work that finds no other place.
func (p *pool) overEjected(now time.Time, h *target) bool {
	if !h.rep.Outlier.Ejected(now) {
		return false
	}
	worse := 0
	for _, o := range p.targets {
		if o != h && o.rep.Outlier.Ejected(now) && o.worseThan(h) {
			worse++
		}
	}
	return worse >= int(p.relay.cfg.MaxSuspect*float64(len(p.targets)))
}

// worseThan orders targets that are set aside, by id where all else is equal.
func (t *target) worseThan(o *target) bool {
	a, b := t.rep.Outlier, o.rep.Outlier
	if a.FailureRatio() != b.FailureRatio() {
		return a.FailureRatio() > b.FailureRatio()
	}
	if a.Latency() != b.Latency() {
		return a.Latency() > b.Latency()
	}
	return t.conf.ID > o.conf.ID
}

// done ends a granted try: its place goes back, the policies learn from it,
// and the place goes to the next in the queue.
func (p *pool) done(t *try, a answer) {
	now := time.Now()
	took := now.Sub(t.started)
	sig := t.signal(a)
	p.mu.Lock()
	p.running--
	p.release(now, t, sig, blames(a))
	p.learn(now, t, a, took)
	refused := p.drain(now)
	p.mu.Unlock()
	refused.tell()
}

func (p *pool) learn(now time.Time, t *try, a answer, took time.Duration) {
	p.noteSuspect(now, t.target)
	if a.outcome == outcome.Done {
		p.queue.Served(took)
		if t.set != nil {
			t.set.hedger.Observe(now, took)
		}
		return
	}
	t.target.stats.last = a.reason
	switch a.reason {
	case query.ReasonOverload:
		t.target.stats.sheds++
	case query.ReasonDraining:
		p.leave(now, t.target, signAnswer)
	case query.ReasonBudget, query.ReasonSnapshotNotHeld:
	default:
		t.target.stats.errors++
	}
	if a.reason == query.ReasonBadAnswer {
		p.relay.metrics.bad.WithLabelValues(p.name).Inc()
		p.relay.log.Event(evBadAnswer).Str("service", p.name).Str("target", t.target.conf.ID).
			Str("cause", a.cause.Error()).Msg("")
	}
}

// noteSuspect logs that a target has just been set aside.
func (p *pool) noteSuspect(now time.Time, t *target) {
	is := t.rep.Outlier.Ejected(now)
	if is && !t.suspect {
		p.relay.log.Event(evTargetSuspect).Str("service", p.name).Str("target", t.conf.ID).
			Str("reason", string(t.stats.last)).Float64("failure_ratio", t.rep.Outlier.FailureRatio()).Msg("")
	}
	t.suspect = is
}

// release gives the try's place back. An orderly refusal tells nothing of the
// target but ends a probe.
func (p *pool) release(now time.Time, t *try, sig policy.Signal, blame bool) {
	r := t.target.rep
	took := now.Sub(t.started)
	if blame || r.Outlier.Ejected(now) {
		r.Done(now, took, sig, t.replicas())
		return
	}
	r.Limiter.Release(now, took, sig)
}

// leave notes a sign of leaving.
func (p *pool) leave(now time.Time, t *target, s sign) {
	if t.health.leave(now, s) {
		p.left(t)
	}
}

func (p *pool) left(t *target) {
	p.stranding = true
	p.relay.log.Event(evTargetLeaving).Str("service", p.name).Str("target", t.conf.ID).
		Str("sign", string(t.health.leaving)).Msg("")
	p.relay.metrics.leaving.WithLabelValues(p.name, string(t.health.leaving)).Inc()
}

// drain grants what places there are, and returns the tries that can no
// longer be served, to be told without the lock.
func (p *pool) drain(now time.Time) refusals {
	if p.queue.Len() == 0 {
		return nil
	}
	out := p.expire(now, nil)
	stranded := false
	fits := func(t *try) bool {
		if !t.anyUsable() {
			stranded = true
			return true
		}
		return p.take(now, t)
	}
	for p.queue.Len() > 0 && p.mayGrant(now) {
		stranded = false
		w := p.queue.Pop(now, fits)
		if w == nil {
			break
		}
		if stranded {
			out = append(out, refusal{w.Item, p.whyNone(w.Item), p.relay.cfg.RetryAfter.Std()})
			continue
		}
		p.granted(now, w.Item)
	}
	p.stranding = false
	p.pace(now)
	return out
}

func (p *pool) granted(now time.Time, t *try) {
	if t.set != nil && t.kind == policy.FirstTry {
		p.retries.First(now)
		t.set.hedger.First(now)
	}
	go t.owner.granted(t)
}

// mayGrant spares the queue a search that can't find anything.
func (p *pool) mayGrant(now time.Time) bool {
	if p.stranding {
		return true
	}
	for _, t := range p.targets {
		if t.rep.Limiter.Free(now) {
			return true
		}
	}
	return false
}

// expireEvery bounds how often the whole queue is looked through.
const expireEvery = 2 * time.Millisecond

func (p *pool) expire(now time.Time, out refusals) refusals {
	if now.Sub(p.expired) < expireEvery {
		return out
	}
	p.expired = now
	for _, w := range p.queue.Expire(now) {
		after := policy.RetryAfter(p.queue.ExpectedWait(now, w.Urgency), p.rng.Float64())
		out = append(out, refusal{w.Item, query.ReasonBudget, after})
	}
	return out
}

// pace sets the timer that wakes the queue when no release will.
func (p *pool) pace(now time.Time) {
	if p.queue.Len() == 0 {
		return
	}
	wait := time.Duration(0)
	for _, t := range p.targets {
		if w := t.rep.Limiter.Wait(now); w > 0 && (wait == 0 || w < wait) {
			wait = w
		}
	}
	if wait == 0 {
		return
	}
	if p.pacing == nil {
		p.pacing = time.AfterFunc(wait, p.wake)
		return
	}
	p.pacing.Reset(wait)
}

// wake grants what has become possible without a release.
func (p *pool) wake() {
	p.mu.Lock()
	refused := p.drain(time.Now())
	p.mu.Unlock()
	refused.tell()
}

// forget takes a try out of the queue and reports whether it still waited.
func (p *pool) forget(t *try) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Remove(&t.waiter)
}

// placement returns where the shards of a snapshot are; nil if the snapshot
// is not known.
func (p *pool) placement(id uint64) *placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.maps[id]; ok {
		return m
	}
	for _, s := range p.relay.view.Snapshots(p.conf.Workload) {
		if s.ID == id {
			p.maps[id] = p.place(s.Services[p.name])
			return p.maps[id]
		}
	}
	return nil
}

func (p *pool) place(m catalog.ShardMap) *placement {
	pl := &placement{shards: make([]*replicaSet, len(m.Shards))}
	for i, ids := range m.Shards {
		pl.shards[i] = p.set(ids)
	}
	return pl
}

func (p *pool) set(ids []string) *replicaSet {
	sorted := append([]string(nil), ids...)
	sort.Strings(sorted)
	key := strings.Join(sorted, "\x00")
	if s, ok := p.sets[key]; ok {
		return s
	}
	s := &replicaSet{hedger: policy.NewHedger(p.conf.Rules.HedgeQuantile, p.conf.Rules.HedgeBudget)}
	for _, id := range sorted {
		if t, ok := p.byID[id]; ok && len(s.targets) < maxHolders {
			s.add(t)
		}
	}
	p.sets[key] = s
	return s
}
