package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/await"
	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// answerMargin is kept of a request's budget for the way back, so that the
// result reaches the caller instead of a timeout.
const answerMargin = 5 * time.Millisecond

// maxDoublings bounds the growth of the wait between tries of a platform call;
// RetryMax bounds the wait itself.
const maxDoublings = 20

// Services gives the rules of a service; catalog.View implements it.
type Services interface {
	Service(name string) (catalog.Service, bool)
}

// Claims is the Reserver of a host. Its promise holds for one reservation id
// over all hosts: a target runs it at most once, and a request that was told
// NotSent or Rejected has not run and never will. The result is
// about the request: a caller, or an entry, that has sent several requests with
// one id combines their outcomes with outcome.Combine.
type Claims struct {
	cfg      Config
	store    objstore.Store
	records  recordStore
	losses   *losses
	creates  *createLimiter
	sender   Sender
	asker    Asker
	view     member.View
	services Services
	log      *event.Log
	metrics  *metrics
	mem      *memory

	ctx        context.Context // ends background work
	cancel     context.CancelFunc
	writeSlots chan struct{} // one taken by each background write

	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup // reservations in flight
	writing sync.WaitGroup // background writes
}

// New returns the module; it answers from the start, and Start begins the
// removal of old records.
func New(cfg Config, store objstore.Store, sender Sender, asker Asker, view member.View, services Services,
	log *event.Log, reg prometheus.Registerer) *Claims {
	ctx, cancel := context.WithCancel(context.Background())
	return &Claims{
		cfg: cfg, store: store, sender: sender, asker: asker, view: view, services: services,
		log: log, metrics: newMetrics(reg),
		losses: newLosses(store, log), records: recordStore{store}, creates: newCreateLimiter(), mem: newMemory(cfg.Remember.Std(), cfg.RememberMax),
		ctx: ctx, cancel: cancel, writeSlots: make(chan struct{}, cfg.Background),
	}
}

// Start begins the sweep, which ends with Stop.
func (c *Claims) Start(context.Context) error {
	if c.cfg.Sweepers > 0 {
		go c.sweepLoop(c.ctx)
	}
	go c.losses.follow(c.ctx)
	return nil
}

// Stop refuses new reservations and waits until those in flight have ended by
// their budgets; an error means that ctx was done first. It then waits up to
// StopTimeout for their records. While the platform is away the writes left are
// abandoned, each with an event: their reservations read unknown from then on.
func (c *Claims) Stop(ctx context.Context) error {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	defer c.cancel()
	if err := await.Group(ctx, &c.running); err != nil {
		return Error.New("stop: reservations are still in flight: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.StopTimeout.Std())
	defer cancel()
	_ = await.Group(ctx, &c.writing) // what is left is abandoned
	return nil
}

// enter counts a reservation in flight, for which Stop waits; false after Stop.
func (c *Claims) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.running.Add(1)
	return true
}

// Reserve runs the reservation, or answers a repeat of it. It returns within
// the budget.
func (c *Claims) Reserve(ctx context.Context, r query.Reserve) query.Reservation {
	res := c.reserve(ctx, r)
	res.RequestID, res.ReservationID = r.RequestID, r.ReservationID
	c.metrics.answer(res)
	return res
}

func (c *Claims) reserve(ctx context.Context, r query.Reserve) query.Reservation {
	id, err := parseID(r.ReservationID)
	if err != nil {
		return refuse(query.ReasonBadRequest, 0)
	}
	ctx, cancel := context.WithTimeout(ctx, r.Budget)
	defer cancel()
	for ctx.Err() == nil {
		res, again := c.joinOrRun(ctx, id, r)
		if !again {
			return c.checkNotRun(id, r, res)
		}
	}
	return c.checkNotRun(id, r, refuse(query.ReasonBudget, 0))
}

// joinOrRun runs the reservation or joins the run in flight. It reports again when
// the run that it joined ended for want of its own, shorter budget.
func (c *Claims) joinOrRun(ctx context.Context, id reservationID, r query.Reserve) (res query.Reservation, again bool) {
	if res, ok := c.remembered(id, r); ok {
		return res, false
	}
	if !c.enter() {
		return refuse(query.ReasonDraining, c.cfg.RetryAfter.Std()), false
	}
	f, isNew := c.mem.join(id.String(), r)
	if !isNew {
		c.running.Done()
		return c.awaitFlight(ctx, f, r)
	}
	deadline, _ := ctx.Deadline()
	go func() {
		defer c.running.Done()
		c.mem.finish(id.String(), f, c.run(id, r, deadline))
	}()
	select {
	case <-f.ended:
		return f.res, false
	case <-ctx.Done():
		return unsettled(c.cfg.RetryAfter.Std()), false
	}
}

// awaitFlight returns the result of a flight that another request began.
func (c *Claims) awaitFlight(ctx context.Context, f *flight, r query.Reserve) (res query.Reservation, again bool) {
	if f.req.Service != r.Service || f.req.Item != r.Item || f.req.Caller != r.Caller {
		return refuse(query.ReasonBadRequest, 0), false
	}
	select {
	case <-f.ended:
	case <-ctx.Done():
		return unsettled(c.cfg.RetryAfter.Std()), false
	}
	res = f.res
	res.Repeated = !res.Outcome.NotRun()
	return res, res.Reason == query.ReasonBudget && res.Outcome.NotRun()
}

// remembered answers a repeat from this host's memory, also while the
// platform is down.
func (c *Claims) remembered(id reservationID, r query.Reserve) (query.Reservation, bool) {
	a := c.mem.lastSent(id.String())
	if a == nil || !a.hasEnded() || a.reply.Outcome == outcome.Unknown {
		return query.Reservation{}, false
	}
	if !a.rec.sameRequest(r) {
		return refuse(query.ReasonBadRequest, 0), true
	}
	res := a.reply
	res.Repeated = true
	return res, true
}

// checkNotRun keeps a host from answering a repeat with "not run" if it knows
// that an earlier attempt of the same reservation may have run.
func (c *Claims) checkNotRun(id reservationID, r query.Reserve, res query.Reservation) query.Reservation {
	if !res.Outcome.NotRun() || res.Reason == query.ReasonBadRequest {
		return res
	}
	if a := c.mem.lastSent(id.String()); a != nil && a.rec.sameRequest(r) {
		return unsettled(c.cfg.RetryAfter.Std())
	}
	if lost := c.losses.known(); !lost.IsZero() && !id.time().After(lost) {
		return unsettled(c.cfg.RetryAfter.Std()) // it may have run before the platform lost its record
	}
	return res
}

// run runs one flight within a little less than its budget.
func (c *Claims) run(id reservationID, r query.Reserve, deadline time.Time) query.Reservation {
	ctx, cancel := context.WithDeadline(c.ctx, deadline.Add(-answerMargin))
	defer cancel()
	rn := runner{c: c, ctx: ctx, id: id, req: r}
	return rn.run()
}

// backoff waits before try n, from 0, of a platform call; false when ctx
// ended first. Waits are spread so that hosts do not call in step.
func (c *Claims) backoff(ctx context.Context, n int) bool {
	wait := c.cfg.RetryMin.Std() << min(n, maxDoublings)
	if wait <= 0 || wait > c.cfg.RetryMax.Std() { // the shift overflows for a large RetryMin
		wait = c.cfg.RetryMax.Std()
	}
	return await.Sleep(ctx, wait/2+rand.N(wait/2+1))
}

// refuse returns the result of a request of which nothing was or will be sent.
func refuse(reason query.Reason, retryAfter time.Duration) query.Reservation {
	return query.Reservation{Outcome: outcome.NotSent, Reason: reason, RetryAfter: retryAfter}
}

// unsettled returns the result of a reservation that may have run.
func unsettled(retryAfter time.Duration) query.Reservation {
	return query.Reservation{Outcome: outcome.Unknown, Reason: query.ReasonUnsettled, RetryAfter: retryAfter}
}

// expired returns the result for an id past the horizon. Its outcome is not
// "not run": the record of an attempt that ran may be gone.
func expired() query.Reservation {
	return query.Reservation{Outcome: outcome.Unknown, Reason: query.ReasonExpired}
}
