package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/quarantine"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// Query is a request to another host to gather some shards of a query. Durations count from the
// moment at which it is received.
type Query struct {
	RequestID     string
	Caller        string
	Method        string
	URI           string
	Host          string
	Header        http.Header
	Body          []byte
	Route         routing.Route // name, shards to gather, maximum attempts, rank, home regions and size of the answer
	LossLimits    LossLimits
	Objective     time.Duration // latency within which the answer counts as in time
	AnswerIn      time.Duration // time until the answer is sent without the missing parts
	Budget        time.Duration // time until the caller's deadline
	LateRetry     bool          // the request is a late retry
	PriorAttempts int           // how often other hosts may have sent the query to each shard
}

// Progress has the callbacks through which a gathering host reports its progress.
type Progress struct {
	// Accepted is called once the host has accepted the query, with the number of queries that it
	// gathers for others. If Accepted returns true the host gets the go-ahead. Without the go-ahead it
	// makes at most one attempt per shard, and its results are used all the same.
	Accepted func(load int) bool
	// Partial is called with the partial result when the answer is due, and again with each part
	// that arrives later.
	Partial func(Gathered)
}

// Helpers is the client to the hosts that gather queries for this one.
type Helpers interface {
	// Gather makes a host gather a query, until ctx is done. Once enough is done the host starts no
	// more attempts and returns what it has.
	Gather(ctx, enough context.Context, host member.Host, q Query, p Progress) (Gathered, error)
	// NotRun reports whether a query that failed with the error certainly did not run.
	NotRun(err error) bool
}

// errNotAccepted means that a helper did not accept a query in time.
var errNotAccepted = errors.New("the host did not take the query in time")

// helperPool holds the state of the hosts that may gather queries for this one.
type helperPool struct {
	self   member.Host
	client Helpers

	mu      sync.Mutex
	rng     *rand.Rand
	byHost  map[string]*policy.Helper
	helping policy.HelperTimings
}

// EnableHelpers enables the delegation of queries to other hosts. It must be called before Start.
func (g *Gateway) EnableHelpers(client Helpers, hosts func() []member.Host) {
	g.registry.gatherers = newGathererIndex(g.self, hosts)
	g.helpers = &helperPool{
		self: g.self, client: client, byHost: map[string]*policy.Helper{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), helping: policy.NewHelperTimings(),
	}
}

// available reports whether a host is not ejected as a helper.
func (h *helperPool) available(now time.Time, host member.Host) bool {
	return !h.get(host.ID).Barred(now)
}

// openDomains returns the failure domains in which this host or an available helper gathers
// queries.
func (h *helperPool) openDomains(now time.Time, p *gatherers) policy.Domains {
	h.mu.Lock()
	defer h.mu.Unlock()
	var open policy.Domains
	if p.selfGathers && p.ownDomain != policy.AnyDomain {
		open |= policy.DomainSet(p.ownDomain)
	}
	for i, host := range p.hosts {
		if d := p.hostDomains[i]; d != policy.AnyDomain && h.available(now, host) {
			open |= policy.DomainSet(d)
		}
	}
	return open
}

// choose returns the host that should gather a cell in a failure domain; false if there is none.
// Hosts in failed are skipped.
func (h *helperPool) choose(now time.Time, p *gatherers, domain int, failed []string) (member.Host, bool) {
	var able []member.Host
	var options []policy.Option
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, host := range p.hosts {
		inDomain := domain == policy.AnyDomain || p.hostDomains[i] == domain
		if !inDomain || slices.Contains(failed, host.ID) || !h.available(now, host) {
			continue
		}
		able = append(able, host)
		options = append(options, h.get(host.ID).Option(host.FailureDomain == h.self.FailureDomain))
	}
	i := policy.Choose(h.rng, options)
	if i < 0 {
		return member.Host{}, false
	}
	h.get(able[i].ID).Sent()
	return able[i], true
}

// cover calls policy.Cover under the lock.
func (h *helperPool) cover(p *gatherers, open policy.Domains) []policy.Cell {
	h.mu.Lock()
	defer h.mu.Unlock()
	return policy.Cover(h.rng, p.shardDomains, p.ownDomain, open)
}

// get returns the state of a host, creating it if necessary. The caller holds the lock.
func (h *helperPool) get(id string) *policy.Helper {
	helper, ok := h.byHost[id]
	if !ok {
		helper = &policy.Helper{}
		h.byHost[id] = helper
	}
	return helper
}

// patience calls policy.HelperTimings.Timeouts under the lock.
func (h *helperPool) patience(left time.Duration) (silent, back time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.helping.Timeouts(left)
}

// noteAccepted records that a host accepted a query, and how many it gathers now.
func (h *helperPool) noteAccepted(id string, after time.Duration, load int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helping.ObserveAck(after)
	h.get(id).SetReportedLoad(load)
}

// noteSilent records that a host has not accepted a query in time.
func (h *helperPool) noteSilent(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.get(id).Silent(time.Now())
}

// noteEnded records whether a query at a host ended well.
func (h *helperPool) noteEnded(id string, well bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.get(id).Ended(time.Now(), well)
}

// noteReturnLag records how long after its due time a helper's partial result arrived.
func (h *helperPool) noteReturnLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helping.ObserveReturnLag(lag)
}

// plannedCell is a cell and where it is gathered.
type plannedCell struct {
	policy.Cell
	local bool // on this host
}

// planCells divides a query into cells for the hosts that gather it.
func (g *Gateway) planCells(r *request, route *routing.Route, p *gatherers) []plannedCell {
	h := g.helpers
	if mode, _ := g.quarantineMode(r); mode != quarantine.Free {
		// Its attempts run alone, one at a time, so a single host has to make them.
		return []plannedCell{{policy.WholeCell(len(route.Shards)), true}}
	}
	if h == nil || g.cfg.disabled(HelperHosts) || !g.delegates(r, route, p) {
		return []plannedCell{{policy.WholeCell(len(route.Shards)), true}}
	}
	if g.cfg.disabled(Locality) {
		return []plannedCell{{policy.WholeCell(len(route.Shards)), p.selfGathers}}
	}
	var plans []plannedCell
	for _, cell := range h.cover(p, h.openDomains(time.Now(), p)) {
		own := cell.Domain == policy.AnyDomain || cell.Domain == p.ownDomain
		plans = append(plans, plannedCell{cell, own && p.selfGathers})
	}
	return plans
}

// delegates reports whether other hosts may gather the query: always if this host's link is wide,
// and if the parts would occupy the link for too long where it is narrow.
func (g *Gateway) delegates(r *request, route *routing.Route, p *gatherers) bool {
	own := float64(g.self.LinkMbps)
	if !policy.IsNarrow(own, p.widestLinkMbps) {
		return true
	}
	return policy.HandsOver(own, p.widestLinkMbps, r.stats.expectedBytes(len(route.Shards)), r.objective)
}

// delegate makes one host gather a cell, and reports whether the host got the go-ahead. If the host
// does not accept the cell in time, silent is called, and the host gets no go-ahead; its result is
// still used if it comes before ctx is done.
func (g *Gateway) delegate(ctx context.Context, host member.Host, req *cellRequest, left time.Duration, otherHostAttempts int, silent func()) (got Gathered, goAhead bool, err error) {
	h, r := g.helpers, req.request
	began := time.Now()
	acceptTimeout, returnTime := h.patience(left)
	bounded, end := context.WithDeadline(r.ctx, r.deadline) // a frozen helper never answers
	defer end()
	call, cancel := context.WithCancelCause(bounded)
	defer cancel(nil)
	var accepted, late atomic.Bool // late: not accepted in time
	acceptTimer := time.AfterFunc(acceptTimeout, func() {
		late.Store(true)
		h.noteSilent(host.ID)
		silent()
		if ctx.Err() != nil {
			cancel(errNotAccepted)
		}
	})
	defer acceptTimer.Stop()
	enough, hasEnough := context.WithCancel(context.Background())
	defer hasEnough()
	stop := context.AfterFunc(ctx, func() {
		switch {
		case r.ctx.Err() != nil: // the caller has disconnected, and attempts in flight must be canceled
		case late.Load() && !accepted.Load():
			cancel(errNotAccepted)
		default:
			hasEnough()
		}
	})
	defer stop()
	q := r.query(req, left-returnTime, otherHostAttempts)
	var mu sync.Mutex // guards partial
	var partial *Gathered
	got, err = h.client.Gather(call, enough, host, q, Progress{
		Accepted: func(load int) bool {
			accepted.Store(true)
			goAhead = acceptTimer.Stop()
			h.noteAccepted(host.ID, time.Since(began), load)
			return goAhead
		},
		Partial: func(got Gathered) {
			got.Helper = host.ID
			mu.Lock()
			isFirst := partial == nil
			partial = &got
			mu.Unlock()
			if isFirst {
				h.noteReturnLag(time.Since(began.Add(q.AnswerIn)))
			}
			req.report(got)
		},
	})
	if err != nil && errors.Is(context.Cause(call), errNotAccepted) {
		err = errors.Join(errNotAccepted, err)
	}
	mu.Lock()
	defer mu.Unlock()
	if err != nil && partial != nil {
		got = *partial // keep the parts that have arrived
	}
	h.noteEnded(host.ID, err == nil || r.ctx.Err() != nil) // a disconnect of the caller does not count against the helper
	return got, goAhead, err
}

// query returns the message that delegates a cell of the request.
func (r *request) query(req *cellRequest, answerIn time.Duration, otherHostAttempts int) Query {
	return Query{
		RequestID: r.call.RequestID, Caller: r.caller, Method: r.method, URI: r.uri, Host: r.host,
		Header: r.header, Body: r.body, Route: *req.route, LossLimits: req.lossLimits, Objective: r.objective,
		AnswerIn: answerIn, Budget: time.Until(r.deadline), LateRetry: r.lateRetry, PriorAttempts: otherHostAttempts,
	}
}

// GatherFor gathers a query on behalf of another host, until ctx is done; once enough is done no
// attempt starts, and those in flight complete. It reports progress to p. Until goAhead is set each
// shard gets at most one attempt, as the other host may still gather the query itself.
func (g *Gateway) GatherFor(ctx, enough context.Context, q Query, p Progress, goAhead *atomic.Bool) Gathered {
	r := g.requestFromQuery(q)
	defer r.memory.release()
	if !g.admitsAtStop(r) {
		return Gathered{Outcome: outcome.NotSent, Reason: refusalStopping.name}
	}
	load := g.queriesForOthers.Add(1)
	defer g.queriesForOthers.Add(-1)
	if !p.Accepted(int(load)) {
		return Gathered{Outcome: outcome.NotSent, Reason: "the other host has gone"}
	}
	r.goAhead = goAhead
	ctx, done := r.attemptContext(ctx)
	defer done()
	defer g.pending.add(r, done)()
	stop := context.AfterFunc(enough, done)
	defer stop()
	if g.quarantined(r) {
		return Gathered{Outcome: outcome.NotSent, Reason: quarantine.ErrQuarantined.Error(), QuarantineRecords: g.quarantineRecords(r)}
	}
	got := g.gatherLocally(ctx, r, &q.Route, q.LossLimits, q.PriorAttempts, p.Partial)
	got.QuarantineRecords = g.quarantineRecords(r)
	return got
}

// requestFromQuery returns the request of another host's query.
func (g *Gateway) requestFromQuery(q Query) *request {
	now := time.Now()
	r := &request{
		call: Call{RequestID: q.RequestID, Budget: q.Budget}, caller: q.Caller, method: q.Method, uri: q.URI, host: q.Host,
		header: q.Header, body: q.Body, arrived: now, arrivedClock: g.state.Clock().Now(), answerBy: now.Add(q.AnswerIn), deadline: now.Add(q.Budget),
		objective: q.Objective, rank: q.Route.Rank, homeRegions: q.Route.Homes, sharded: true, lateRetry: q.LateRetry, stats: g.routeStats.forRoute(q.Route.Name),
	}
	r.latencyScale = r.stats.latencyScale(r.objective)
	return r
}
