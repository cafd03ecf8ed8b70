package api

import (
	"context"
	"time"

	genhealth "rhubarbwood.example/rhubarbwood/gen/health"
	genquery "rhubarbwood.example/rhubarbwood/gen/query"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Entry runs the requests of callers.
type Entry interface {
	Search(ctx context.Context, q query.SearchRequest) (*query.Answer, *query.Refusal)
	Reserve(ctx context.Context, r query.ReserveRequest) (query.Reservation, *query.Refusal)
}

// queryService implements the goa service "query" over an Entry.
type queryService struct{ entry Entry }

// Search runs the search of the payload and encodes its answer or refusal.
func (s queryService) Search(ctx context.Context, p *genquery.SearchPayload) (*genquery.SearchAnswer, error) {
	answer, refusal := s.entry.Search(ctx, query.SearchRequest{
		RequestID:   requestID(ctx),
		Caller:      stringOrEmpty(p.Caller),
		Service:     stringOrEmpty(p.Service),
		Workload:    stringOrEmpty(p.Workload),
		Text:        stringOrEmpty(p.Text),
		Limit:       p.Limit,
		MinCoverage: p.MinCoverage,
		Budget:      remainingBudget(ctx, p.BudgetMs),
	})
	if refusal != nil {
		return nil, encodeRefusal(refusal)
	}
	return encodeAnswer(answer), nil
}

// Reserve runs the reservation of the payload and encodes its answer or refusal.
func (s queryService) Reserve(ctx context.Context, p *genquery.ReservePayload) (*genquery.ReservationAnswer, error) {
	r, refusal := s.entry.Reserve(ctx, query.ReserveRequest{
		RequestID:     requestID(ctx),
		Caller:        stringOrEmpty(p.Caller),
		ReservationID: p.ReservationID,
		Service:       p.Service,
		Item:          p.Item,
		Budget:        remainingBudget(ctx, p.BudgetMs),
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
		Needed:    a.NeededAnswers,
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

// maxBudgetMS caps a caller's budget so that it doesn't overflow time.Duration;
// the entry's own cap is far lower.
const maxBudgetMS = 1e9

// budgetFromMS converts a caller's budget from milliseconds. It returns 0 if none
// was given, and a negative duration if it has run out or is not a number.
func budgetFromMS(ms *float64) time.Duration {
	switch {
	case ms == nil:
		return 0
	case *ms > 0:
		return time.Duration(min(*ms, maxBudgetMS) * float64(time.Millisecond))
	}
	return -1
}

func stringOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// healthService implements the goa service "health".
type healthService struct{ ready func() error }

// Live succeeds as long as the process runs.
func (healthService) Live(context.Context) (string, error) { return "ok\n", nil }

// Ready reports to the balancer whether this host accepts callers.
func (s healthService) Ready(context.Context) (string, error) {
	if err := s.ready(); err != nil {
		return "", genhealth.NotReady(err.Error() + "\n")
	}
	return "ready\n", nil
}
