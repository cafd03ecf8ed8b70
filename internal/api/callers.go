package api

import (
	"context"
	"time"

	genhealth "rhubarbwood.example/rhubarbwood/gen/health"
	genquery "rhubarbwood.example/rhubarbwood/gen/query"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Entry answers the requests of callers.
type Entry interface {
	Search(ctx context.Context, q query.Search) (*query.Answer, *query.Refusal)
	Reserve(ctx context.Context, r query.Reserve) (query.Reservation, *query.Refusal)
}

// queryService implements the goa service "query" over an Entry.
type queryService struct{ entry Entry }

// Search turns the payload into a search and its answer back.
func (s queryService) Search(ctx context.Context, p *genquery.SearchPayload) (*genquery.SearchAnswer, error) {
	answer, refusal := s.entry.Search(ctx, query.Search{
		RequestID:   requestID(ctx),
		Caller:      value(p.Caller),
		Service:     value(p.Service),
		Workload:    value(p.Workload),
		Text:        value(p.Text),
		Limit:       p.Limit,
		MinCoverage: p.MinCoverage,
		Budget:      budget(p.BudgetMs),
	})
	if refusal != nil {
		return nil, encodeRefusal(refusal)
	}
	return encodeAnswer(answer), nil
}

// Reserve turns the payload into a reservation and its answer back.
func (s queryService) Reserve(ctx context.Context, p *genquery.ReservePayload) (*genquery.ReservationAnswer, error) {
	r, refusal := s.entry.Reserve(ctx, query.Reserve{
		RequestID:     requestID(ctx),
		Caller:        value(p.Caller),
		ReservationID: p.ReservationID,
		Service:       p.Service,
		Item:          p.Item,
		Budget:        budget(p.BudgetMs),
	})
	if refusal != nil {
		return nil, encodeRefusal(refusal)
	}
	return &genquery.ReservationAnswer{
		RequestID: r.RequestID, ReservationID: r.ReservationID,
		Granted: r.Granted, Answer: r.Answer, Target: r.Target, Repeated: r.Repeated,
	}, nil
}

func encodeAnswer(a *query.Answer) *genquery.SearchAnswer {
	rows := make([]*genquery.Row, len(a.Rows))
	for i, r := range a.Rows {
		rows[i] = &genquery.Row{Service: r.Service, Shard: r.Shard, Key: r.Key, Value: r.Value, Score: r.Score}
	}
	return &genquery.SearchAnswer{
		RequestID: a.RequestID,
		Workload:  a.Workload,
		Snapshot:  a.Snapshot,
		Rows:      rows,
		TotalRows: a.TotalRows,
		Coverage:  encodeCoverage(a.Coverage),
		Attempts:  a.Attempts,
		Needed:    a.Needed,
		ElapsedMs: float64(a.Elapsed) / float64(time.Millisecond),
	}
}

func encodeCoverage(c query.Coverage) *genquery.Coverage {
	missing := make([]string, len(c.Missing))
	for i, k := range c.Missing {
		missing[i] = k.String()
	}
	return &genquery.Coverage{
		Shards: c.Shards, Answered: c.Answered, Fraction: c.Fraction(), Complete: c.Complete(), Missing: missing,
	}
}

// maxBudgetMS keeps a caller's budget within time.Duration; the entry caps it
// far below.
const maxBudgetMS = 1e9

// budget returns the budget that a caller named: 0 if none, negative if it
// had run out or is no number.
func budget(ms *float64) time.Duration {
	switch {
	case ms == nil:
		return 0
	case *ms > 0:
		return time.Duration(min(*ms, maxBudgetMS) * float64(time.Millisecond))
	}
	return -1
}

func value(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// healthService implements the goa service "health".
type healthService struct{ ready func() error }

// Live answers while the process runs.
func (healthService) Live(context.Context) (string, error) { return "ok\n", nil }

// Ready tells the balancer whether to send callers here.
func (s healthService) Ready(context.Context) (string, error) {
	if err := s.ready(); err != nil {
		return "", genhealth.NotReady(err.Error() + "\n")
	}
	return "ready\n", nil
}
