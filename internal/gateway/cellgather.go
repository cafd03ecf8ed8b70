package gateway

import (
	"context"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// A cell is gathered by one host. A helper that does not accept it in time may be slow, or lost with
// the query: the cell then goes to the next host, but the result of the first one is still used. The
// load pattern is a fleet whose hosts contact each other for the first time while processors are
// slow. Acceptances are then late by milliseconds, and the next host can't send the parts again,
// since the retry budget of each shard has no room for a second set of them.

// maxHelpersPerCell is how many hosts are tried, one after another, for gathering a cell.
const maxHelpersPerCell = 2

// lateAcceptTimeout is how long a helper that has not accepted a cell in time is waited for after all
// other hosts have ended without the cell.
const lateAcceptTimeout = 50 * time.Millisecond

// cellRequest holds the arguments for gathering a cell.
type cellRequest struct {
	request    *request
	route      *routing.Route // with only the shards of the cell
	gatherers  *gatherers
	plan       plannedCell
	lossLimits LossLimits
	report     func(Gathered)
}

// cellEnd is the end of the gathering of a cell on one host.
type cellEnd struct {
	host     string // helper; empty: this host
	gathered Gathered
	goAhead  bool // the helper got the go-ahead
	err      error
	after    time.Duration // since the helper was chosen
}

// cellGathering is the gathering of one cell on one or more hosts.
type cellGathering struct {
	gateway *Gateway
	req     *cellRequest
	ends    chan cellEnd // sending never blocks
	// mayHaveSent is how many helpers may have sent the query to each shard without the go-ahead.
	mayHaveSent int
	silent      map[string]bool // helpers that have not accepted the cell in time

	mu       sync.Mutex // guards the fields below, which reports use
	open     int        // hosts that have not ended
	reported int        // parts in the result that was reported last
	best     Gathered   // of the hosts that have ended without the whole cell
}

// gatherCell gathers a cell, here or on another host. If no host accepted it, it is gathered here.
// A host that got the go-ahead may have made as many attempts as the route allows, so nothing is
// sent again after its loss.
func (g *Gateway) gatherCell(ctx context.Context, req *cellRequest) Gathered {
	ctx, end := context.WithCancel(ctx)
	defer end()
	c := &cellGathering{gateway: g, req: req, ends: make(chan cellEnd, maxHelpersPerCell+1), silent: map[string]bool{}}
	if !req.plan.local {
		if got, done := c.delegate(ctx); done {
			return got
		}
	}
	if ctx.Err() != nil { // abandoned before a host accepted it
		return Gathered{Outcome: outcomeAfter(c.mayHaveSent), Reason: ctx.Err().Error()}
	}
	return c.gatherHere(ctx)
}

// outcomeAfter returns the outcome of a cell after a number of attempts that other hosts may have
// made.
func outcomeAfter(times int) outcome.Outcome {
	if times > 0 {
		return outcome.Unknown
	}
	return outcome.NotSent
}

// delegate makes helpers gather the cell, one after another. If done is false none has gathered it;
// those in silent may still do so.
func (c *cellGathering) delegate(ctx context.Context) (got Gathered, done bool) {
	h, r, domain := c.gateway.helpers, c.req.request, c.req.plan.Domain
	var failed []string
	for range maxHelpersPerCell {
		now := time.Now()
		left := r.answerBy.Sub(now)
		if left <= 0 {
			return Gathered{}, false
		}
		host, ok := h.choose(now, c.req.gatherers, domain, failed)
		if !ok {
			return Gathered{}, false
		}
		if got, done := c.await(ctx, host, c.start(ctx, host, left)); done {
			return got, true
		}
		failed = append(failed, host.ID)
		domain = policy.AnyDomain
	}
	return Gathered{}, false
}

// start makes a helper gather the cell, and returns a channel that is closed if the helper has not
// accepted it in time.
func (c *cellGathering) start(ctx context.Context, host member.Host, left time.Duration) (silent <-chan struct{}) {
	notAccepted := make(chan struct{})
	began, attempts := time.Now(), c.mayHaveSent
	c.addOpen(1)
	go func() {
		got, goAhead, err := c.gateway.delegate(ctx, host, c.guardedRequest(), left, attempts, func() { close(notAccepted) })
		got.Helper = host.ID
		c.ends <- cellEnd{host: host.ID, gathered: got, goAhead: goAhead, err: err, after: time.Since(began)}
	}()
	return notAccepted
}

// await waits until a helper has gathered the cell, has failed, or has not accepted it in time. The
// result may be that of an earlier helper.
func (c *cellGathering) await(ctx context.Context, host member.Host, silent <-chan struct{}) (got Gathered, done bool) {
	for {
		select {
		case <-silent:
			c.silent[host.ID] = true
			c.mayHaveSent++
			return Gathered{}, false
		case e := <-c.ends:
			if got, done := c.noteEnd(ctx, e); done {
				return got, true
			}
			if e.host == host.ID {
				return Gathered{}, false
			}
		}
	}
}

// noteEnd evaluates the end of the gathering on a helper. It returns the result if the gathering of
// the cell is over with it.
func (c *cellGathering) noteEnd(ctx context.Context, e cellEnd) (got Gathered, done bool) {
	g, r, got := c.gateway, c.req.request, e.gathered
	c.addOpen(-1)
	g.mergeQuarantineRecords(got)
	notRun := e.err != nil && g.helpers.client.NotRun(e.err)
	if g.quarantined(r) {
		if c.mayHaveSent > 0 || e.err != nil && !notRun {
			got.Outcome = outcome.Combine(got.Outcome, outcome.Unknown)
		}
		return got, true
	}
	if e.err == nil && got.Outcome == outcome.NotSent {
		if c.silent[e.host] {
			c.mayHaveSent--
		}
		return Gathered{}, false // a host that has just started may not know any targets yet
	}
	if e.err == nil {
		return c.keep(got, e.goAhead)
	}
	g.log.Event(evHelperLost).Str("request", r.call.RequestID).Str("host", e.host).Err(e.err).Dur("after", e.after).Msg("")
	if ctx.Err() != nil || e.goAhead {
		got.Outcome, got.Reason = outcome.Combine(got.Outcome, outcome.Unknown), e.err.Error()
		return got, true
	}
	if !notRun && !c.silent[e.host] {
		c.mayHaveSent++ // without the go-ahead the host makes at most one attempt per shard
	}
	return Gathered{}, false
}

// keep evaluates a result. It is final if it lacks no more parts than need not be reported, or if no
// other host may have more.
func (c *cellGathering) keep(got Gathered, goAhead bool) (result Gathered, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := len(c.req.route.Shards) - len(got.Signatures)
	if goAhead || c.open == 0 || missing <= c.req.lossLimits.MaxUnreported {
		return got, true
	}
	if len(got.Signatures) >= len(c.best.Signatures) {
		c.best = got
	}
	return Gathered{}, false
}

// gatherHere gathers the cell on this host, while helpers that have not accepted it in time may still
// do so.
func (c *cellGathering) gatherHere(ctx context.Context) Gathered {
	attempts := c.mayHaveSent
	c.addOpen(1)
	go func() {
		got := c.gateway.gatherLocally(ctx, c.req.request, c.req.route, c.req.lossLimits, attempts, c.report)
		c.ends <- cellEnd{gathered: got}
	}()
	var giveUp <-chan time.Time
	for {
		select {
		case e := <-c.ends:
			got, done := c.noteEndHere(ctx, e)
			if done {
				got.Outcome = outcome.Combine(got.Outcome, outcomeAfter(c.mayHaveSent))
				return got
			}
			if e.host == "" {
				giveUp = time.After(lateAcceptTimeout)
			}
		case <-giveUp:
			return c.result()
		}
		if c.openHosts() == 0 {
			return c.result()
		}
	}
}

// noteEndHere is noteEnd for the end of the gathering on any host, this one included.
func (c *cellGathering) noteEndHere(ctx context.Context, e cellEnd) (got Gathered, done bool) {
	if e.host != "" {
		return c.noteEnd(ctx, e)
	}
	c.addOpen(-1)
	return c.keep(e.gathered, false)
}

// result returns the best result of the hosts that have ended.
func (c *cellGathering) result() Gathered {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.best.Outcome = outcome.Combine(c.best.Outcome, outcomeAfter(c.mayHaveSent))
	return c.best
}

// guardedRequest returns the cell request with report in place of its own.
func (c *cellGathering) guardedRequest() *cellRequest {
	req := *c.req
	req.report = c.report
	return &req
}

// report passes on a partial result, unless another host has reported more parts. Shards that one
// host has lost may still be answered while others gather the cell.
func (c *cellGathering) report(got Gathered) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(got.Signatures) < c.reported {
		return
	}
	c.reported = len(got.Signatures)
	if c.open > 1 {
		got.LostShards = 0
	}
	c.req.report(got)
}

func (c *cellGathering) addOpen(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += n
}

func (c *cellGathering) openHosts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}
