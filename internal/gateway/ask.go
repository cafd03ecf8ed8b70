package gateway

import (
	"context"
	"net/http"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/targetconn"
)

// A single request is sent to one target, and one that is not idempotent to no other once it may have run. A host
// sees few of them, and what its targets told with the last ones says nothing of this moment. Where targets tell
// their load, two of them are asked for it first, which they answer at once, and the request goes to the one
// that is expected to be done first.

const (
	// loadQueryFraction is the part of the objective for which the answers are waited for, at most askLongest: a few round
	// trips between failure domains.
	loadQueryFraction = 0.02
	maxLoadQueryTime  = 20 * time.Millisecond
	// maxHealthAnswerBytes is the longest body of an answer to the question, in bytes.
	maxHealthAnswerBytes = 64 << 10
)

// acquireFirst takes a acquireFirst for a run's first attempt; see acquire. For a single request it is that of the
// better one of two targets.
func (r *run) acquireFirst(ctx context.Context) (*target, error) {
	first, err := r.service.acquire(ctx, r.request, r.tried)
	if err != nil || r.request.sharded || r.gateway.cfg.disabled(LoadQueries) || !r.service.canQueryLoad() {
		return first, err
	}
	second := r.service.tryAcquire(r.request, append(r.tried[:len(r.tried):len(r.tried)], first))
	if second == nil {
		return first, nil
	}
	r.gateway.queryLoads(ctx, r, first, second)
	better, other := r.service.cheaper(first, second)
	r.service.releaseUnused(other)
	return better, nil
}

// queryLoads asks targets for their load, and waits a little for the answers.
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

// queryLoad asks one target, over a connection that is then ready for the request.
func (g *Gateway) queryLoad(ctx context.Context, r *run, t *target) {
	s := r.service
	deadline, _ := ctx.Deadline()
	if !t.pool.TryReserve() { // a connection beside that of the request
		g.metrics.loadQueries.WithLabelValues("no connection").Inc()
		return
	}
	conn, err := t.pool.Get(ctx, deadline)
	if err != nil {
		g.metrics.loadQueries.WithLabelValues("no connection").Inc()
		return
	}
	v, err := g.queryHealth(ctx, deadline, conn, s, r.request)
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

// queryHealth asks a target for its health over a connection, with what it then tells of itself.
func (g *Gateway) queryHealth(ctx context.Context, deadline time.Time, conn *targetconn.Conn, s *service, r *request) (Verdict, error) {
	head, err := targetconn.NewHead(http.MethodGet, s.healthPath(), r.host, http.Header{}, 0)
	if err != nil {
		conn.Release()
		return Verdict{}, Error.Wrap(err)
	}
	answer, _, err := conn.Exchange(ctx, deadline, &targetconn.Request{
		Method: http.MethodGet, Head: head, Limit: maxHealthAnswerBytes,
		Mine: func(h http.Header) bool { return g.messages.Answer(http.StatusOK, h).RequestID == "" },
	})
	if err != nil {
		return Verdict{}, Error.New("ask the target for its health: %w", err)
	}
	return g.messages.Answer(answer.Status, answer.Header), nil
}

// canQueryLoad reports whether a target of the service has told its load, and where to ask for it is known.
func (s *service) canQueryLoad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportsLoad && s.checkPath != ""
}

// healthPath is where the service's targets tell their health and load.
func (s *service) healthPath() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkPath
}

// cheaper returns which of two targets is expected to answer first.
func (s *service) cheaper(a, b *target) (better, other *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if b.cost(now) < a.cost(now) {
		return b, a
	}
	return a, b
}
