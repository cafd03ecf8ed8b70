package rollouts

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

// Error is the class of this package's errors.
var Error = errs.Class("rollouts")

// Orders is the cached state of the rollout orders.
type Orders interface {
	// Orders returns the orders by service, which must not be modified, and when the store last
	// confirmed them; the zero time if it never did.
	Orders() (orders map[string]rollout.Order, asOf time.Time)
	// NoteOrderSeen records that a host first saw an order at a time, by this host's clock.
	NoteOrderSeen(id rollout.ID, at time.Time)
	// OnlyNonIdempotent reports whether no route of a service has requests that may run twice.
	OnlyNonIdempotent(service string) bool
}

// Gateway chooses targets by the plans and counts the results.
type Gateway interface {
	ApplyRollouts(plans []rollout.Plan, ordersCurrent bool)
	RolloutEvidence(id rollout.ID) rollout.Evidence
	// RolloutTargets returns the usable targets of the order's version, and the slots of the usable
	// targets of other versions and of this one.
	RolloutTargets(id rollout.ID) (usable []string, oldSlots, newSlots int)
}

// Turns ranks the hosts that watch the store; it is a discovery.Exchange.
type Turns interface {
	Coordinators(key string, n int) []member.Host
	TurnFor(key string) (rank int, watches bool)
}

// Statuses writes the status of orders.
type Statuses interface {
	// WriteRolloutStatus writes a state on the condition that the order's object has not changed since
	// order.Written, and returns the order as the store holds it. With an *objstore.RecordConflict
	// nothing was written, and the order is the one found.
	WriteRolloutStatus(ctx context.Context, order rollout.Order, state rollout.State) (rollout.Order, error)
}

// Parts is what a Keeper works with.
type Parts struct {
	Orders   Orders
	Gateway  Gateway
	Members  member.View
	Turns    Turns
	Peers    Peers
	Statuses Statuses
	Store    objstore.Store // holds the ages of orders
	Clock    *clock.Clock
	Log      *event.Log
	Metrics  prometheus.Registerer
}

// Keeper carries out rollout orders on one host. It is a kernel module, and the server of the
// Rollouts calls of other hosts.
type Keeper struct {
	Parts
	cfg     rollout.Config
	metrics *metrics
	wake    chan struct{}
	cancel  context.CancelFunc
	done    sync.WaitGroup

	newCoordinator func(rollout.Order) coordinator // replaced in tests

	// What the gateway has been given; used by run only. It is not ready before the first plans.
	hasApplied     bool
	applied        []rollout.Plan
	appliedCurrent bool

	mu         sync.Mutex
	orders     map[string]*order // by service
	ended      memory
	collected  map[rollout.ID]*collected
	recipients map[process]*recipient
	sweepAt    time.Time // when to remove the ages of withdrawn orders; zero: nothing to remove
}

// NewKeeper returns a keeper. Wake must be called after each change of the orders.
func NewKeeper(cfg rollout.Config, p Parts) *Keeper {
	k := &Keeper{
		Parts: p, cfg: cfg, wake: make(chan struct{}, 1),
		orders: map[string]*order{}, collected: map[rollout.ID]*collected{}, recipients: map[process]*recipient{},
	}
	k.newCoordinator = func(o rollout.Order) coordinator { return rollout.NewCoordinator(cfg, o) }
	k.metrics = newMetrics(p.Metrics, k)
	return k
}

// Wake makes the keeper look at the orders now. It does not block.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Start starts following the orders.
func (k *Keeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.done.Go(func() { k.run(ctx) })
	return nil
}

// Stop stops, and waits until the last call has ended.
func (k *Keeper) Stop(ctx context.Context) error {
	k.cancel()
	return await.Group(ctx, &k.done)
}

func (k *Keeper) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-k.wake:
		case <-ctx.Done():
			return
		}
		if k.tick(ctx) {
			timer.Reset(tickInterval)
		} else {
			timer.Reset(idleInterval)
		}
	}
}

// tick does what is due, and reports whether an order runs. The gateway has the plans before a report is
// sent: the coordinator takes a report that a host is moving as the end of new requests to old targets.
func (k *Keeper) tick(ctx context.Context) (running bool) {
	orders, asOf := k.Orders.Orders()
	now := k.Clock.Now()
	current := !asOf.IsZero() && now.Sub(asOf) <= ordersValidity(k.cfg)
	plans, running := k.updatePlans(ctx, now, orders, current)
	isFirst := !k.hasApplied && !asOf.IsZero() // also if the orders are old: the store may be unavailable for long
	if isFirst || running || current != k.appliedCurrent || !samePlans(plans, k.applied) {
		k.hasApplied, k.applied, k.appliedCurrent = true, plans, current
		k.Gateway.ApplyRollouts(plans, current)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if running {
		k.sendReports(ctx, now)
	} else {
		clear(k.recipients)
	}
	k.dropUnknown(now)
	k.sweepIfDue(ctx, now, current)
	return running
}

// updatePlans follows the orders, and returns the plans and whether an order runs.
func (k *Keeper) updatePlans(ctx context.Context, now time.Time, orders map[string]rollout.Order, current bool) (plans []rollout.Plan, running bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.follow(now, orders)
	plans = []rollout.Plan{}
	for _, o := range k.orders {
		if !o.isSettled() {
			running = true
			k.advanceOrder(ctx, now, o, current)
		} else if o.isUnconfirmed() && k.isFirst(o) {
			k.writeStatus(ctx, now, o, o.State())
		}
		plans = append(plans, o.planAt(now, current, k.cfg))
		k.notePlan(now, o, plans[len(plans)-1])
		if o.isSettled() {
			delete(k.collected, o.ID)
		}
	}
	return plans, running
}

// samePlans compares plans without regard to their order.
func samePlans(a, b []rollout.Plan) bool {
	byID := map[rollout.ID]rollout.Plan{}
	for _, p := range a {
		byID[p.ID] = p
	}
	for _, p := range b {
		if other, ok := byID[p.ID]; !ok || !reflect.DeepEqual(p, other) {
			return false
		}
	}
	return len(a) == len(b)
}

// follow takes over the orders in the state. The caller holds the lock.
func (k *Keeper) follow(now time.Time, found map[string]rollout.Order) {
	for service, o := range k.orders {
		next, exists := found[service]
		switch {
		case !exists:
			k.end(now, o, "withdrawn")
		case next.ID != o.ID && discovery.IsSameOrder(o.Order, next):
			k.rename(o, next.ID)
		case next.ID != o.ID:
			k.end(now, o, "replaced by version "+next.Version)
		}
	}
	for service, f := range found {
		o := k.orders[service]
		if o == nil {
			o = k.accept(now, f)
		}
		o.update(now, f)
		k.noteState(o)
	}
}

// accept begins to follow an order. The caller holds the lock.
func (k *Keeper) accept(now time.Time, found rollout.Order) *order {
	o := &order{Order: found, knownSince: now, changedAt: now}
	k.orders[found.Service] = o
	k.Log.Event(evAccepted).Str("service", o.Service).Str("version", o.Version).Dur("duration", o.Duration).
		Str("created", o.Created.String()).Float64("age", milliseconds(o.ageAt(now))).Str("state", string(o.State())).Msg("")
	if p := k.ended.phase(found); p > o.phase {
		k.advance(o, p, "this order had ended before the store was restored")
	}
	k.observeCollected(now, o)
	return o
}

// end forgets an order that is no longer in the state. The caller holds the lock.
func (k *Keeper) end(now time.Time, o *order, reason string) {
	k.advance(o, rollout.PhaseRolledBack, reason)
	k.notePlan(now, o, rollout.Plan{ID: o.ID, Phase: o.phase})
	k.ended.remember(o.Order, o.phase)
	delete(k.orders, o.Service)
	delete(k.collected, o.ID)
	for _, r := range k.recipients {
		delete(r.acknowledged, o.ID)
	}
	k.sweepAt = now.Add(sweepDelay)
}

// rename takes over another ID of an order: after a restore of the store, a host may learn from others
// in which earlier revision the order was created. The caller holds the lock.
func (k *Keeper) rename(o *order, id rollout.ID) {
	if before := k.collected[o.ID]; before != nil {
		delete(k.collected, o.ID)
		if k.collected[id] == nil {
			k.collected[id] = &collected{processes: map[process]*totals{}}
		}
		for p, t := range before.processes {
			t.ID = id
			k.collected[id].merge(t.receivedAt, p, t.whole())
		}
	}
	for _, r := range k.recipients {
		delete(r.acknowledged, o.ID)
	}
	o.ID = id
	o.coordinator = nil
	k.observeCollected(k.Clock.Now(), o)
}

// observeCollected gives the coordinator of an order the evidence that has arrived before. The caller
// holds the lock.
func (k *Keeper) observeCollected(now time.Time, o *order) {
	if c := k.collected[o.ID]; c != nil {
		for p, e := range c.processes {
			k.observe(now, o, p, e.whole())
		}
	}
}

// noteState takes over a final state of the store. The caller holds the lock.
func (k *Keeper) noteState(o *order) {
	if !o.isSettled() {
		return
	}
	o.coordinator = nil
	phase := finalPhase(o.State())
	if o.phase == phase {
		return
	}
	if o.phase >= rollout.PhaseRolledBack {
		k.Log.Event(evOtherVerdict).Str("service", o.Service).Str("version", o.Version).Str("had", PhaseName(o.phase)).
			Str("state", string(o.State())).Str("reason", o.reason).Msg("")
	}
	k.setPhase(o, phase, "the store has the verdict")
}

// advance moves an order on to a phase, unless it is as far. The caller holds the lock.
func (k *Keeper) advance(o *order, p rollout.Phase, reason string) {
	if p > o.phase && !o.isSettled() {
		k.setPhase(o, p, reason)
	}
}

// setPhase sets the phase of an order, which the gateway gets without waiting for the next tick.
func (k *Keeper) setPhase(o *order, p rollout.Phase, reason string) {
	o.phase, o.reason = p, reason
	k.Wake()
}

// advanceOrder does what is due for an order that runs. The caller holds the lock.
func (k *Keeper) advanceOrder(ctx context.Context, now time.Time, o *order, current bool) {
	o.usable, o.oldSlots, o.newSlots = k.Gateway.RolloutTargets(o.ID)
	if o.mayTry(now, current) {
		k.advance(o, rollout.PhaseCanary, "targets of the version are there")
	}
	k.coordinate(now, o, current)
	k.writeStatus(ctx, now, o, o.wantedState())
	k.syncAge(ctx, now, o)
}

// notePlan records the plan of an order, and logs it if the phase is another one. The caller holds the
// lock.
func (k *Keeper) notePlan(now time.Time, o *order, p rollout.Plan) {
	from := o.plan.Phase
	o.plan = p
	if from == p.Phase {
		return
	}
	reason := o.reason
	if p.Phase == rollout.PhaseWaiting {
		reason = o.waitsFor(now)
	}
	k.logPhase(now, o, from, reason)
}

// waitsFor returns why the new version gets nothing from this host.
func (o *order) waitsFor(now time.Time) string {
	switch age := o.ageAt(now); {
	case age < 0:
		return "the age of the order is unknown"
	case age >= o.Duration:
		return "the time of the order is over"
	case len(o.usable) == 0:
		return "no usable target of the version"
	}
	return "the orders are not current"
}

// dropUnknown drops evidence on orders that this host has not found in its state. The caller holds
// the lock.
func (k *Keeper) dropUnknown(now time.Time) {
	for id, c := range k.collected {
		if o := k.orders[id.Service]; (o == nil || o.ID != id) && now.Sub(c.receivedAt) >= unknownRetention {
			delete(k.collected, id)
		}
	}
}
