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

// responseMargin is the part of a request's budget that is reserved for
// returning the result, so that the caller receives it before its deadline.
const responseMargin = 5 * time.Millisecond

// maxDoublings limits the shift in the exponential backoff between retries of a
// platform call. The delay itself is limited by RetryMax.
const maxDoublings = 20

// Services looks up a service and its rules. catalog.View implements it.
type Services interface {
	Service(name string) (catalog.Service, bool)
}

// Claims is the Reserver of a host. Its guarantee holds per reservation id
// across all hosts: a target runs the reservation at most once, and a request
// that was answered with NotSent or Rejected has not run and never will.
//
// The result applies to one request. A caller or entry that has sent several
// requests with the same id combines their outcomes with outcome.Combine.
type Claims struct {
	cfg           Config
	store         objstore.Store
	records       recordStore
	eras          *eraTracker
	creates       *createLimiter
	sender        Sender
	attemptClient AttemptClient
	view          member.View
	services      Services
	log           *event.Log
	metrics       *metrics
	mem           *memory

	ctx        context.Context // cancelled to end background work
	cancel     context.CancelFunc
	writeSlots chan struct{} // semaphore: one slot for each background write

	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup // reservations in flight
	writing sync.WaitGroup // background writes
}

// New returns the Claims of a host. It serves reservations at once; Start
// begins the removal of old records.
func New(cfg Config, store objstore.Store, sender Sender, attemptClient AttemptClient, view member.View, services Services,
	log *event.Log, reg prometheus.Registerer) *Claims {
	ctx, cancel := context.WithCancel(context.Background())
	return &Claims{
		cfg: cfg, store: store, sender: sender, attemptClient: attemptClient, view: view, services: services,
		log: log, metrics: newMetrics(reg),
		eras: newEraTracker(store, log), records: recordStore{store}, creates: newCreateLimiter(), mem: newMemory(cfg.MemoryRetention.Std(), cfg.MaxRemembered),
		ctx: ctx, cancel: cancel, writeSlots: make(chan struct{}, cfg.MaxBackgroundWrites),
	}
}

// Start begins the sweep of old records and the tracking of platform eras. Both
// end with Stop.
func (c *Claims) Start(context.Context) error {
	if c.cfg.Sweepers > 0 {
		go c.sweepLoop(c.ctx)
	}
	go c.eras.watch(c.ctx, c.eraReadDelay)
	return nil
}

// eraReadDelay returns the delay before this host reads the time of first use of an era. The hosts that sweep, and
// those that know no others yet, read it at once: until the first one has, new ids are older than the era's first use
// and are not sent.
func (c *Claims) eraReadDelay() time.Duration {
	if c.cfg.Sweepers > 0 && sweepRank(c.view, c.cfg.Sweepers) >= 0 {
		return 0
	}
	return rand.N(maxEraReadDelay)
}

// Stop rejects new reservations and waits until those in flight have ended,
// which their budgets bound. It returns an error if ctx is done first. It then
// waits up to StopTimeout for the background writes of their records. Writes
// that are still pending then, as in a platform outage, are abandoned with an
// event each; repeats of these reservations get the outcome unknown.
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
	_ = await.Group(ctx, &c.writing) // on timeout the remaining writes are abandoned
	return nil
}

// beginReservation counts a reservation in flight, for which Stop waits. It
// returns false after Stop.
func (c *Claims) beginReservation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.running.Add(1)
	return true
}

// Reserve runs the reservation, or returns the earlier result if the request is
// a repeat. It returns within the request's budget.
func (c *Claims) Reserve(ctx context.Context, r query.ReserveRequest) query.Reservation {
	res := c.reserve(ctx, r)
	res.RequestID, res.ReservationID = r.RequestID, r.ReservationID
	c.metrics.countReply(res)
	return res
}

func (c *Claims) reserve(ctx context.Context, r query.ReserveRequest) query.Reservation {
	id, err := parseID(r.ReservationID)
	if err != nil {
		return refuse(query.ReasonBadRequest, 0)
	}
	ctx, cancel := context.WithTimeout(ctx, r.Budget)
	defer cancel()
	for ctx.Err() == nil {
		res, retry := c.joinOrRun(ctx, id, r)
		if !retry {
			return c.checkNotRun(id, r, res)
		}
	}
	return c.checkNotRun(id, r, refuse(query.ReasonBudget, 0))
}

// joinOrRun runs the reservation, or joins the flight that is already running
// it. retry is true if the joined flight ended because its own, shorter budget
// ran out.
func (c *Claims) joinOrRun(ctx context.Context, id reservationID, r query.ReserveRequest) (res query.Reservation, retry bool) {
	if res, ok := c.replyFromMemory(id, r); ok {
		return res, false
	}
	if !c.beginReservation() {
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

// awaitFlight waits for a flight that another request started and returns its
// result. retry is as in joinOrRun.
func (c *Claims) awaitFlight(ctx context.Context, f *flight, r query.ReserveRequest) (res query.Reservation, retry bool) {
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

// replyFromMemory answers a repeat from this host's memory. It needs no
// platform call, so it also works during a platform outage.
func (c *Claims) replyFromMemory(id reservationID, r query.ReserveRequest) (query.Reservation, bool) {
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

// checkNotRun replaces a "not run" result by an unsettled one if an earlier
// attempt of the same reservation may have run.
func (c *Claims) checkNotRun(id reservationID, r query.ReserveRequest, res query.Reservation) query.Reservation {
	if !res.Outcome.NotRun() || res.Reason == query.ReasonBadRequest {
		return res
	}
	if a := c.mem.lastSent(id.String()); a != nil && a.rec.sameRequest(r) {
		return unsettled(c.cfg.RetryAfter.Std())
	}
	if cutoff := c.eras.latestCutoff(); !cutoff.IsZero() && !id.time().After(cutoff) {
		return unsettled(c.cfg.RetryAfter.Std()) // it may have run before the platform lost its record
	}
	return res
}

// run runs one flight. It ends responseMargin before the deadline.
func (c *Claims) run(id reservationID, r query.ReserveRequest, deadline time.Time) query.Reservation {
	ctx, cancel := context.WithDeadline(c.ctx, deadline.Add(-responseMargin))
	defer cancel()
	rn := runner{c: c, ctx: ctx, id: id, req: r}
	return rn.run()
}

// backoff waits before retry n, counted from 0, of a platform call. It returns
// false if ctx ended first. The delay has random jitter, so that hosts do not
// retry in step.
func (c *Claims) backoff(ctx context.Context, n int) bool {
	wait := c.cfg.RetryMin.Std() << min(n, maxDoublings)
	if wait <= 0 || wait > c.cfg.RetryMax.Std() { // the shift overflows for a large RetryMin
		wait = c.cfg.RetryMax.Std()
	}
	return await.Sleep(ctx, wait/2+rand.N(wait/2+1))
}

// refuse returns the result of a request for which nothing was sent and nothing
// will be.
func refuse(reason query.Reason, retryAfter time.Duration) query.Reservation {
	return query.Reservation{Outcome: outcome.NotSent, Reason: reason, RetryAfter: retryAfter}
}

// unsettled returns the result of a reservation that may have run.
func unsettled(retryAfter time.Duration) query.Reservation {
	return query.Reservation{Outcome: outcome.Unknown, Reason: query.ReasonUnsettled, RetryAfter: retryAfter}
}

// expired returns the result for an id that is past the horizon. Its outcome is
// unknown instead of "not run", because the record of an attempt that ran may
// already have been removed.
func expired() query.Reservation {
	return query.Reservation{Outcome: outcome.Unknown, Reason: query.ReasonExpired}
}
