package gateway

import (
	"context"
	"net/http"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/targetconn"
)

// A single request goes to one target, and, if it is not idempotent, to no other once it may have
// run. A host sees few such requests, so the load that its targets reported last says little about
// the present. Where targets report their load, two of them are queried for it first, which they
// answer at once, and the request goes to the one that is expected to complete it first.

const (
	// loadQueryFraction is the fraction of the objective for which load queries are waited for,
	// limited by maxLoadQueryTime: a few round trips between failure domains.
	loadQueryFraction = 0.02
	maxLoadQueryTime  = 20 * time.Millisecond
	// maxHealthAnswerBytes is the maximum body size of a health check's response.
	maxHealthAnswerBytes = 64 << 10
)

// acquireFirst reserves a connection slot for the first attempt of a run; see acquire. For a single
// request it picks the better of two targets by their current load.
func (r *run) acquireFirst(ctx context.Context) (*target, error) {
	if t := r.acquireOnTrial(); t != nil {
		return t, nil
	}
	first, err := r.service.acquire(ctx, r.request, candidates{except: r.tried})
	if err != nil || r.request.sharded || r.gateway.cfg.disabled(LoadQueries) || !r.service.canQueryLoad() {
		return first, err
	}
	second := r.service.tryAcquire(r.request, candidates{except: append(r.tried[:len(r.tried):len(r.tried)], first)})
	if second == nil {
		return first, nil
	}
	r.gateway.queryLoads(ctx, r, first, second)
	better, other := r.service.cheaper(first, second)
	r.service.releaseUnused(other)
	return better, nil
}

// queryLoads queries targets for their load and waits a short time for the answers.
func (g *Gateway) queryLoads(ctx context.Context, r *run, targets ...*target) {
	timeout := min(time.Duration(loadQueryFraction*float64(r.request.objective)), maxLoadQueryTime)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answered := make(chan struct{}, len(targets))
	for _, t := range targets {
		go func() {
			g.queryLoad(ctx, r, t)
			answered <- struct{}{}
		}()
	}
	for range targets {
		select {
		case <-answered:
		case <-ctx.Done():
			return
		}
	}
}

// queryLoad queries one target, over a connection that is then ready for the request.
func (g *Gateway) queryLoad(ctx context.Context, r *run, t *target) {
	s := r.service
	deadline, _ := ctx.Deadline()
	if !t.pool.TryReserve() { // a connection in addition to that of the request
		g.metrics.loadQueries.WithLabelValues("no connection").Inc()
		return
	}
	conn, err := t.pool.Get(ctx, deadline, "")
	if err != nil {
		g.metrics.loadQueries.WithLabelValues("no connection").Inc()
		return
	}
	v, err := g.queryHealth(ctx, deadline, conn, s, t, r.request)
	if err != nil {
		g.metrics.loadQueries.WithLabelValues("no answer").Inc()
		return
	}
	if v.Load == nil {
		g.metrics.loadQueries.WithLabelValues("not told").Inc()
		return
	}
	g.metrics.loadQueries.WithLabelValues("told").Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observeWarmup(now, t, v.Warmup)
	t.health.Reported(now, v.Load.report())
}

// queryHealth sends a health check over a connection and returns what the target reports.
func (g *Gateway) queryHealth(ctx context.Context, deadline time.Time, conn *targetconn.Conn, s *service, t *target, r *request) (Verdict, error) {
	head, err := targetconn.NewHead(http.MethodGet, s.healthPath(), r.host, http.Header{}, 0)
	if err != nil {
		conn.Release()
		return Verdict{}, Error.Wrap(err)
	}
	answer, _, err := conn.Exchange(ctx, deadline, &targetconn.Request{
		Method: http.MethodGet, Head: head, MaxBodyBytes: maxHealthAnswerBytes, Memory: g.memory.Targets,
		Match: g.matchHealth,
	})
	if err != nil {
		g.noteLimitExceeded(t, r, err)
		return Verdict{}, Error.New("query the target's health: %w", err)
	}
	defer answer.Memory.Release()
	return g.messages.Answer(answer.Status, answer.Header), nil
}

// matchHealth returns what a response is to a health check. Responses to other requests have an id.
func (g *Gateway) matchHealth(status int, h http.Header) targetconn.Match {
	if g.messages.Answer(status, h).RequestID != "" {
		return targetconn.Foreign
	}
	return targetconn.Answer
}

// canQueryLoad reports whether a target of the service has reported its load and the health path is
// known.
func (s *service) canQueryLoad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportsLoad && s.checkPath != ""
}

// healthPath returns the path of the service's health check, which also reports load.
func (s *service) healthPath() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkPath
}

// cheaper returns two targets in the order of their cost.
func (s *service) cheaper(a, b *target) (better, other *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if b.cost(now) < a.cost(now) {
		return b, a
	}
	return a, b
}
