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
	// askPart is the part of the objective for which the answers are waited for, at most askLongest: a few round
	// trips between failure domains.
	askPart    = 0.02
	askLongest = 20 * time.Millisecond
	// mostHealthAnswer is the longest body of an answer to the question, in bytes.
	mostHealthAnswer = 64 << 10
)

// place takes a place for a run's first attempt; see acquire. For a single request it is that of the
// better one of two targets.
func (r *run) place(ctx context.Context) (*target, error) {
	first, err := r.service.acquire(ctx, r.request, r.tried)
	if err != nil || r.request.gathers || r.gateway.cfg.off(Asking) || !r.service.tellsLoad() {
		return first, err
	}
	second := r.service.tryAcquire(r.request, append(r.tried[:len(r.tried):len(r.tried)], first))
	if second == nil {
		return first, nil
	}
	r.gateway.askLoads(ctx, r, first, second)
	better, other := r.service.better(first, second)
	r.service.giveBack(other)
	return better, nil
}

// askLoads asks targets for their load, and waits a little for the answers.
func (g *Gateway) askLoads(ctx context.Context, r *run, targets ...*target) {
	within := min(time.Duration(askPart*float64(r.request.objective)), askLongest)
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	answered := make(chan struct{}, len(targets))
	for _, t := range targets {
		go func() {
			g.askLoad(ctx, r, t)
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

// askLoad asks one target, over a connection that is then ready for the request.
func (g *Gateway) askLoad(ctx context.Context, r *run, t *target) {
	s := r.service
	deadline, _ := ctx.Deadline()
	if !t.pool.TryReserve() { // a connection beside that of the request
		g.metrics.asked.WithLabelValues("no connection").Inc()
		return
	}
	conn, err := t.pool.Get(ctx, deadline)
	if err != nil {
		g.metrics.asked.WithLabelValues("no connection").Inc()
		return
	}
	v, err := g.askHealth(ctx, deadline, conn, s, r.request)
	if err != nil {
		g.metrics.asked.WithLabelValues("no answer").Inc()
		return
	}
	if v.Load == nil {
		g.metrics.asked.WithLabelValues("not told").Inc()
		return
	}
	g.metrics.asked.WithLabelValues("told").Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.toldWarmup(now, t, v.Warmup)
	t.health.Reported(now, v.Load.report())
}

// askHealth asks a target for its health over a connection, with what it then tells of itself.
func (g *Gateway) askHealth(ctx context.Context, deadline time.Time, conn *targetconn.Conn, s *service, r *request) (Verdict, error) {
	head, err := targetconn.NewHead(http.MethodGet, s.healthPath(), r.host, http.Header{}, 0)
	if err != nil {
		conn.Release()
		return Verdict{}, Error.Wrap(err)
	}
	answer, _, err := conn.Exchange(ctx, deadline, &targetconn.Request{
		Method: http.MethodGet, Head: head, Limit: mostHealthAnswer,
		Mine: func(h http.Header) bool { return g.messages.Answer(http.StatusOK, h).RequestID == "" },
	})
	if err != nil {
		return Verdict{}, Error.New("ask the target for its health: %w", err)
	}
	return g.messages.Answer(answer.Status, answer.Header), nil
}

// tellsLoad reports whether a target of the service has told its load, and where to ask for it is known.
func (s *service) tellsLoad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.toldLoad && s.health != ""
}

// healthPath is where the service's targets tell their health and load.
func (s *service) healthPath() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health
}

// better returns which of two targets is expected to answer first.
func (s *service) better(a, b *target) (better, other *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if b.cost(now) < a.cost(now) {
		return b, a
	}
	return a, b
}
