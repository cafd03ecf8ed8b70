// Package gateway forwards callers' requests to targets by the configuration: a single request to
// one target of a service, or a query to one target of each shard, whose parts are merged. Every
// caller gets an answer that states its coverage, or a refusal that says whether the request ran.
//
// The package retries, hedges and balances over targets, and delegates the gathering of queries to
// other hosts. It does not read the configuration or discover targets (package discovery), decide
// when a target is ejected (policy), or know the names of headers: these come through Messages. The
// listeners are in package gatewayhost.
//
// Begin reading at Gateway.ServeHTTP. From there Gateway.single and run.execute handle single requests,
// and Gateway.scatter, Gateway.gather and Gateway.gatherLocally handle queries over shards.
// service.acquire chooses the target of an attempt, and Gateway.send makes the attempt.
// Gateway.ApplyRollouts sets which versions of a service's targets get requests.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/discovery"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/kernel"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/targetconn"
)

// Gateway forwards requests. It is the http.Handler of the callers' listener.
type Gateway struct {
	cfg       Config
	state     *discovery.State
	messages  Messages
	recorder  delivery.Recorder
	self      member.Host
	hostCount func() int  // number of hosts, this one included
	helpers   *helperPool // nil: this host gathers every query itself
	// queriesForOthers is the number of queries that this host is gathering for other hosts.
	queriesForOthers atomic.Int32
	routeStats       routeStatsTable
	quarantineTable  *quarantine.Table // quarantine records of requests
	pending          pendingRequests
	registry         *serviceRegistry
	life             *kernel.Lifecycle
	log              *event.Log
	metrics          *metrics
	logLimits        *logLimits
	hostStop         hostStop
	// connectionsClosed is set when this host closes the callers' connections at the end of its stop.
	connectionsClosed atomic.Bool
	cancel            context.CancelFunc
	// memory limits what the messages of targets and callers hold; see UseMemory.
	memory *membudget.Budgets
	// attemptHeader has the header names that are set anew for each attempt.
	attemptHeader http.Header
}

// New returns a gateway that forwards by the configuration and targets in state, reports each
// result to recorder and checks requests against the quarantine table. self is this host; hosts
// returns the number of hosts.
func New(cfg Config, self member.Host, hosts func() int, state *discovery.State, requests *quarantine.Table, messages Messages, recorder delivery.Recorder,
	life *kernel.Lifecycle, log *event.Log, reg prometheus.Registerer) *Gateway {
	g := &Gateway{
		cfg: cfg, state: state, quarantineTable: requests, messages: messages, recorder: recorder, life: life, log: log, self: self, hostCount: hosts,
		registry: newServiceRegistry(cfg, self.ID, self.FailureDomain, hosts), metrics: newMetrics(reg), logLimits: newLogLimits(), pending: newPendingRequests(),
		memory: &membudget.Budgets{},
	}
	g.attemptHeader = http.Header{}
	messages.Attempt(g.attemptHeader, "", 0)
	g.registry.permitsValid = state.PermitsValid
	state.Subscribe(g.registry.apply)
	if !cfg.disabled(Findings) {
		state.OnFindings(g.applyFindings)
	}
	return g
}

// UseMemory sets the budgets of what the messages of targets and callers hold. Without it there is no limit on their
// sum. It must be called before Start.
func (g *Gateway) UseMemory(b *membudget.Budgets) { g.memory = b }

// Start begins the maintenance of idle connections and the watch for suspensions of the machine.
func (g *Gateway) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	if off := g.cfg.Without; len(off) > 0 {
		g.log.Event(evMechanismsOff).Str("mechanisms", joinMechanisms(off)).Msg("")
	}
	go g.registry.maintainConnections(ctx)
	go g.state.Clock().Watch(ctx, g.onResume)
	return nil
}

// Stop ends the background work of Start.
func (g *Gateway) Stop(context.Context) error {
	g.cancel()
	g.hostStop.stopTimer()
	return nil
}

// Ready returns nil if the load balancer may send callers to this host, or else the reason why not.
func (g *Gateway) Ready() error {
	if s := g.life.State(); s != kernel.Ready {
		return Error.New("the host is %s", s)
	}
	if table, _ := g.state.Table(); table == nil {
		return Error.New("no configuration is known yet")
	}
	if g.state.Freshness().IsZero() {
		return Error.New("no target is known yet") // every request would be refused with "no target"
	}
	if g.registry.awaitsPlans() {
		return Error.New("no rollout plan is known yet") // a version that is on trial would get all requests
	}
	return nil
}

// ServeHTTP handles one request of a caller.
func (g *Gateway) ServeHTTP(rw http.ResponseWriter, hr *http.Request) {
	r := &request{caller: hr.RemoteAddr, method: hr.Method, uri: hr.RequestURI, host: hr.Host, arrived: time.Now(), arrivedClock: g.state.Clock().Now()}
	w := &reply{gateway: g, writer: rw, request: r}
	defer r.memory.release()
	g.serveRecovering(w, r, hr)
	g.record(w)
	if w.status == 0 {
		panic(http.ErrAbortHandler) // closes the connection; the HTTP server would answer 200
	}
}

// serveRecovering is serve, but answers a request whose processing panics as possibly run. The HTTP server would
// close its connection without an answer.
func (g *Gateway) serveRecovering(w *reply, r *request, hr *http.Request) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		g.metrics.panics.Inc()
		if g.logLimits.failures.Allow() {
			g.log.Event(evPanicked).Str("request", r.call.RequestID).Str("route", w.route).Str("panic", fmt.Sprint(cause)).
				Str("stack", string(debug.Stack())).Msg("")
		}
		if w.status != 0 {
			panic(http.ErrAbortHandler) // part of an answer was written; the connection must not look complete
		}
		w.unknown(Error.New("processing panicked"))
	}()
	g.serve(w, r, hr)
}

func (g *Gateway) serve(w *reply, r *request, hr *http.Request) {
	call, err := g.messages.Call(hr.Header)
	r.call = call
	if err != nil {
		w.invalid(http.StatusBadRequest, err.Error())
		return
	}
	if !targetconn.ValidURI(r.uri) {
		w.invalid(http.StatusBadRequest, "want a path of visible ASCII characters that begins with one slash")
		return
	}
	table, asOf := g.state.Table()
	if table == nil {
		w.refuse(refusalNoConfig)
		return
	}
	w.configVersion, w.configAge = table.Config.Version, r.arrivedClock.Sub(asOf)
	// The path is matched in its escaped form, which is what the target receives.
	path, _, _ := strings.Cut(r.uri, "?")
	route := table.Match(hr.Host, path)
	if route == nil {
		g.unknownRoute(w)
		return
	}
	w.route, w.objective, w.totalParts = route.Name, route.Objective, max(len(route.Shards), 1)
	if limit := table.Config.Limits.HeaderBytes; limit > 0 && headerSize(hr) > limit {
		w.invalid(http.StatusRequestHeaderFieldsTooLarge, "the header is longer than the configuration allows")
		return
	}
	body, err := g.readBody(w, hr, table.Config.Limits.BodyBytes)
	if err != nil {
		g.badBody(w, hr, err)
		return
	}
	r.body = body
	r.header = forwardable(hr.Header)
	budget := g.budget(call, route)
	r.deadline = r.arrived.Add(budget)
	r.objective = route.Objective
	if r.objective <= 0 {
		r.objective = budget // the route has no objective: any answer within the time limit counts
	}
	r.rank, r.homeRegions = route.Rank, route.Homes
	r.stats = g.routeStats.forRoute(route.Name)
	r.latencyScale = r.stats.latencyScale(r.objective)
	r.answerBy, r.lateRetry = r.stats.observeArrival(g.arrival(hr, r), r.objective)
	r.lateRetry = r.lateRetry && !g.cfg.disabled(LateRetryYield)
	if !g.admitsAtStop(r) {
		w.refuse(refusalStopping)
		return
	}
	g.forward(hr.Context(), w, r, route)
}

// unknownRoute answers a request that matches no route. If the configuration may be out of date the
// request is refused with a retry time, since the route may have been added since.
func (g *Gateway) unknownRoute(w *reply) {
	if w.configAge > g.cfg.FreshFor.Std() {
		w.refuse(refusalStale)
		return
	}
	w.invalid(http.StatusNotFound, "no route to this host and path")
}

func (g *Gateway) badBody(w *reply, hr *http.Request, err error) {
	var tooLong *membudget.TooLongError
	var exceeded *membudget.ExceededError
	switch {
	case errors.As(err, &tooLong):
		w.closeAfter()
		w.invalid(http.StatusRequestEntityTooLarge, err.Error())
	case errors.As(err, &exceeded), errors.Is(err, os.ErrDeadlineExceeded): // the latter if it was given up while it was read
		w.closeAfter()
		w.refuse(refusalMemory)
	case hr.Context().Err() != nil:
		w.gone()
	default:
		w.invalid(http.StatusBadRequest, err.Error())
	}
}

// attemptContext returns the context in which new attempts start, and sets r.ctx, in which they
// run. Attempts in flight continue after the answer, so that a slow one does not cost its
// connection, but are canceled when the caller disconnects. done must be called with the answer: no
// attempt starts after it, and it does not wait for those in flight.
func (r *request) attemptContext(caller context.Context) (ctx context.Context, done func()) {
	attempts, leave := context.WithCancel(context.WithoutCancel(caller))
	stop := context.AfterFunc(caller, leave)
	r.ctx = attempts
	ctx, answered := context.WithCancel(attempts)
	return ctx, func() {
		answered()
		stop()
	}
}

// forward sends a request to the service or the shards of its route.
func (g *Gateway) forward(caller context.Context, w *reply, r *request, route *routing.Route) {
	if mode, left := g.quarantineMode(r); mode == quarantine.Quarantined {
		w.quarantined(left)
		return
	}
	ctx, done := r.attemptContext(caller)
	defer done()
	defer g.pending.add(r, done)()
	if len(route.Shards) > 0 {
		r.sharded = true
		g.scatter(ctx, w, r, route)
		return
	}
	service := route.ChooseService(rand.Float64())
	if service == "" {
		w.refuse(refusalNoTarget)
		return
	}
	g.single(ctx, w, r, route, service)
}

// budget returns the time limit of a request: the least of the setting, the caller's and the
// route's.
func (g *Gateway) budget(call Call, route *routing.Route) time.Duration {
	budget := g.cfg.MaxBudget.Std()
	if call.Budget > 0 {
		budget = min(budget, call.Budget)
	}
	if route.Timeout > 0 {
		budget = min(budget, route.Timeout)
	}
	return budget
}

// defaultMaxBodyBytes is the request body limit where the configuration sets none.
const defaultMaxBodyBytes = 1 << 20

// callerHeaderLineMemory is the memory of a decoded header line of a request in addition to its bytes.
const callerHeaderLineMemory = 64

// readBody reads the body of a request. Header and body are charged to the budget of the callers' messages until the
// request has ended.
func (g *Gateway) readBody(w *reply, hr *http.Request, limit int64) ([]byte, error) {
	conn := http.NewResponseController(w.writer)
	memory := g.memory.Callers.Open(func() { _ = conn.SetReadDeadline(aborted) }) // fails only if the connection is closed
	w.request.memory.hold(memory)
	err := memory.Grow(headerSize(hr) + callerHeaderLineMemory*int64(len(hr.Header)))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if hr.Body == nil || hr.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := membudget.ReadAll(hr.Body, hr.ContentLength, limit, memory)
	if err == nil {
		err = memory.Complete()
	}
	if err != nil {
		return nil, Error.New("read body: %w", err)
	}
	return body, nil
}

// aborted is a deadline that makes pending reads fail immediately.
var aborted = time.Unix(1, 0)
