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

// Query is shards of a query that another host gathers. Times are from the moment at
// which it is read.
type Query struct {
	RequestID string
	Caller    string
	Method    string
	URI       string
	Host      string
	Header    http.Header
	Body      []byte
	Route     routing.Route // with its name, the shards to gather, attempts and what the answer needs
	May       Missing
	Objective time.Duration // latency up to which the answer is worth all
	AnswerIn  time.Duration // until parts that are missing are left out
	Budget    time.Duration // until the caller leaves
	Late      bool          // the caller has spent most of the objective
	Asked     int           // how often each shard may have been asked by other hosts
}

// Progress is what a host that gathers for another tells on the way.
type Progress struct {
	// Taken is called as soon as the host has said that it gathers the query, with the
	// number of queries that it gathers for others. If it returns true, the host is told to
	// go on: until then it asks each shard once.
	Taken func(load int) bool
	// Partial is called with what there is when the answer is due, and again with each
	// part that comes later.
	Partial func(Gathered)
}

// Helpers are the hosts that gather for others.
type Helpers interface {
	// Gather lets a host gather a query, until ctx is done. Once enough is done the host
	// starts no more attempts, and answers with what it has.
	Gather(ctx, enough context.Context, host member.Host, q Query, p Progress) (Gathered, error)
	// NotRun reports whether a query that failed certainly did not run.
	NotRun(err error) bool
}

// errNotAccepted means that a helper did not say in time that it took a query.
var errNotAccepted = errors.New("the host did not take the query in time")

// helperPool is what this host knows of those that may gather for it.
type helperPool struct {
	self   member.Host
	client Helpers

	mu      sync.Mutex
	rng     *rand.Rand
	byHost  map[string]*policy.Helper
	helping policy.Helping
}

// HelpWith makes the gateway hand queries over to other hosts, before Start.
func (g *Gateway) HelpWith(call Helpers, hosts func() []member.Host) {
	g.registry.gatherers = newGathererIndex(g.self, hosts)
	g.helpers = &helperPool{
		self: g.self, client: call, byHost: map[string]*policy.Helper{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), helping: policy.NewHelping(),
	}
}

// available reports whether a host may be asked to gather for this one now.
func (h *helperPool) available(now time.Time, host member.Host) bool {
	return !h.get(host.ID).Barred(now)
}

// openDomains returns the failure domains in which a host gathers, this one or another that
// may be asked.
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

// choose returns the host that should gather a cell in a failure domain; false if there is
// none. Those that have failed it are left out.
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

// cover is policy.Cover.
func (h *helperPool) cover(p *gatherers, open policy.Domains) []policy.Cell {
	h.mu.Lock()
	defer h.mu.Unlock()
	return policy.Cover(h.rng, p.shardDomains, p.ownDomain, open)
}

// get returns what is known get a host. The caller holds the lock.
func (h *helperPool) get(id string) *policy.Helper {
	one, ok := h.byHost[id]
	if !ok {
		one = &policy.Helper{}
		h.byHost[id] = one
	}
	return one
}

// patience is policy.Helping.Patience.
func (h *helperPool) patience(left time.Duration) (silent, back time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.helping.Patience(left)
}

// noteAccepted notes that a host has taken a query, with how many it gathers now.
func (h *helperPool) noteAccepted(id string, after time.Duration, load int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helping.Took(after)
	h.get(id).Told(load)
}

// noteEnded notes what became of a query at a host.
func (h *helperPool) noteEnded(id string, well bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.get(id).Ended(time.Now(), well)
}

// noteReturnLag notes how long after its time an answer was here.
func (h *helperPool) noteReturnLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helping.CameBack(lag)
}

// plannedCell is a cell and where it is gathered.
type plannedCell struct {
	policy.Cell
	local bool // by this host
}

// planCells divides a query over the hosts that gather it.
func (g *Gateway) planCells(r *request, route *routing.Route, p *gatherers) []plannedCell {
	h := g.helpers
	if stance, _ := g.quarantineMode(r); stance != quarantine.Free {
		// It is tried by one attempt at a time, which one host has to see to.
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

// delegates reports whether other hosts may gather for this one: where its link is narrow,
// if the parts would occupy it.
func (g *Gateway) delegates(r *request, route *routing.Route, p *gatherers) bool {
	own := float64(g.self.LinkMbps)
	if !policy.IsNarrow(own, p.widestLinkMbps) {
		return true
	}
	return policy.HandsOver(own, p.widestLinkMbps, r.stats.expectedBytes(len(route.Shards)), r.objective)
}

// maxHelpersPerCell is how many hosts are asked to gather a cell, one after another.
const maxHelpersPerCell = 2

// cellRequest is a cell that is to be gathered.
type cellRequest struct {
	request    *request
	route      *routing.Route // with the shards of the cell
	gatherers  *gatherers
	plan       plannedCell
	lossLimits Missing
	report     func(Gathered)
}

// gatherCell gathers a cell, here or at another host. If none says that it took the
// cell, it is gathered here. One that was told to go on may have sent as many attempts as
// the route allows, so no shard is asked after its loss.
func (g *Gateway) gatherCell(ctx context.Context, req *cellRequest) Gathered {
	otherHostAttempts := 0
	if !req.plan.local {
		got, done, attempts := g.gatherRemotely(ctx, req)
		if done {
			return got
		}
		otherHostAttempts = attempts
	}
	if ctx.Err() != nil { // given up while no host had taken it
		return Gathered{Outcome: outcomeAfter(otherHostAttempts), Reason: ctx.Err().Error()}
	}
	got := g.gatherLocally(ctx, req.request, req.route, req.lossLimits, otherHostAttempts, req.report)
	got.Outcome = outcome.Combine(got.Outcome, outcomeAfter(otherHostAttempts))
	return got
}

// outcomeAfter returns the outcome of a cell that other hosts may have asked for a number of
// times.
func outcomeAfter(times int) outcome.Outcome {
	if times > 0 {
		return outcome.Unknown
	}
	return outcome.NotSent
}

// gatherRemotely lets another host gather a cell. It reports false if this host is to do
// it, and how often other hosts may have asked each shard.
func (g *Gateway) gatherRemotely(ctx context.Context, req *cellRequest) (got Gathered, done bool, otherHostAttempts int) {
	h, r := g.helpers, req.request
	domain := req.plan.Domain
	var failed []string
	for range maxHelpersPerCell {
		now := time.Now()
		left := r.answerBy.Sub(now)
		if left <= 0 {
			return Gathered{}, false, otherHostAttempts
		}
		host, ok := h.choose(now, req.gatherers, domain, failed)
		if !ok {
			return Gathered{}, false, otherHostAttempts
		}
		got, goAhead, err := g.delegate(ctx, host, req, left, otherHostAttempts)
		got.Helper = host.ID
		g.mergeQuarantineRecords(got)
		if g.quarantined(r) {
			if otherHostAttempts > 0 || err != nil && !h.client.NotRun(err) {
				got.Outcome = outcome.Combine(got.Outcome, outcome.Unknown)
			}
			return got, true, otherHostAttempts
		}
		if err == nil && got.Outcome == outcome.NotSent {
			return Gathered{}, false, otherHostAttempts // a host that has just started may know no targets yet
		}
		if err == nil {
			return got, true, otherHostAttempts
		}
		g.log.Event(evHelperLost).Str("request", r.call.RequestID).Str("host", host.ID).Err(err).Dur("after", time.Since(now)).Msg("")
		if ctx.Err() != nil || goAhead {
			got.Outcome, got.Reason = outcome.Combine(got.Outcome, outcome.Unknown), err.Error()
			return got, true, otherHostAttempts
		}
		if !h.client.NotRun(err) {
			otherHostAttempts++ // it asks each shard once at most, as it was not told to go on
		}
		failed = append(failed, host.ID)
		domain = policy.AnyDomain
	}
	return Gathered{}, false, otherHostAttempts
}

// delegate lets one host gather a cell, and reports whether it was told to go on.
func (g *Gateway) delegate(ctx context.Context, host member.Host, req *cellRequest, left time.Duration, otherHostAttempts int) (got Gathered, goAhead bool, err error) {
	h, r := g.helpers, req.request
	began := time.Now()
	acceptTimeout, returnTime := h.patience(left)
	bounded, end := context.WithDeadline(r.ctx, r.deadline) // a frozen helper answers never
	defer end()
	call, cancel := context.WithCancelCause(bounded)
	defer cancel(nil)
	acceptTimer := time.AfterFunc(acceptTimeout, func() { cancel(errNotAccepted) })
	defer acceptTimer.Stop()
	enough, hasEnough := context.WithCancel(context.Background())
	defer hasEnough()
	stop := context.AfterFunc(ctx, func() {
		if r.ctx.Err() == nil { // else the caller has left, and what is in flight is to end
			hasEnough()
		}
	})
	defer stop()
	q := r.query(req, left-returnTime, otherHostAttempts)
	var partial *Gathered
	got, err = h.client.Gather(call, enough, host, q, Progress{
		Taken: func(load int) bool {
			goAhead = acceptTimer.Stop()
			h.noteAccepted(host.ID, time.Since(began), load)
			return goAhead
		},
		Partial: func(got Gathered) {
			if partial == nil {
				h.noteReturnLag(time.Since(began.Add(q.AnswerIn)))
			}
			got.Helper = host.ID
			partial = &got
			req.report(got)
		},
	})
	if err != nil && errors.Is(context.Cause(call), errNotAccepted) {
		err = errors.Join(errNotAccepted, err)
	}
	if err != nil && partial != nil {
		got = *partial // the parts that are here stay
	}
	h.noteEnded(host.ID, err == nil || r.ctx.Err() != nil) // a caller that leaves says nothing of the helper
	return got, goAhead, err
}

// query returns a cell of the request as another host needs it.
func (r *request) query(req *cellRequest, answerIn time.Duration, otherHostAttempts int) Query {
	return Query{
		RequestID: r.call.RequestID, Caller: r.caller, Method: r.method, URI: r.uri, Host: r.host,
		Header: r.header, Body: r.body, Route: *req.route, May: req.lossLimits, Objective: r.objective,
		AnswerIn: answerIn, Budget: time.Until(r.deadline), Late: r.lateRetry, Asked: otherHostAttempts,
	}
}

// GatherFor gathers a query of another host, until ctx is done; once enough is done no
// attempt starts, and those in flight end by themselves. Progress is told by p; no shard is
// asked twice before goOn is set, as the other host may still ask it itself.
func (g *Gateway) GatherFor(ctx, enough context.Context, q Query, p Progress, goAhead *atomic.Bool) Gathered {
	load := g.gathersFor.Add(1)
	defer g.gathersFor.Add(-1)
	if !p.Taken(int(load)) {
		return Gathered{Outcome: outcome.NotSent, Reason: "the other host has gone"}
	}
	r := g.requestFromQuery(q)
	r.goAhead = goAhead
	ctx, done := r.attemptContext(ctx)
	defer done()
	defer g.pending.add(r, done)()
	stop := context.AfterFunc(enough, done)
	defer stop()
	if g.quarantined(r) {
		return Gathered{Outcome: outcome.NotSent, Reason: quarantine.ErrQuarantined.Error(), Known: g.quarantineRecords(r)}
	}
	got := g.gatherLocally(ctx, r, &q.Route, q.May, q.Asked, p.Partial)
	got.Known = g.quarantineRecords(r)
	return got
}

// requestFromQuery returns the request of another host's query.
func (g *Gateway) requestFromQuery(q Query) *request {
	now := time.Now()
	r := &request{
		call: Call{RequestID: q.RequestID, Budget: q.Budget}, caller: q.Caller, method: q.Method, uri: q.URI, host: q.Host,
		header: q.Header, body: q.Body, arrived: now, arrivedClock: g.state.Clock().Now(), answerBy: now.Add(q.AnswerIn), deadline: now.Add(q.Budget),
		objective: q.Objective, rank: q.Route.Rank, homeRegions: q.Route.Homes, sharded: true, lateRetry: q.Late, stats: g.routeStats.forRoute(q.Route.Name),
	}
	r.latencyScale = r.stats.latencyScale(r.objective)
	return r
}
