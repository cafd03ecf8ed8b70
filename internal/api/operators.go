package api

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"strings"

	genoperate "rhubarbwood.example/rhubarbwood/gen/operate"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Operator is a person or program that may run statements.
type Operator struct {
	Name  string `json:"name"`
	Token string `json:"token"`
}

// Result is what a statement shows.
type Result struct {
	Columns []string
	Rows    [][]string
	Message string
}

// Executor runs one statement for the named operator. A dry run checks and
// tells but changes nothing. A *query.Refusal, or an error with the method
// Refusal, says why it did not.
type Executor interface {
	Execute(ctx context.Context, operator, statement string, dryRun bool) (Result, error)
}

// operateService implements the goa service "operate".
type operateService struct {
	operators []Operator
	exec      Executor
}

// Statement runs one statement of an authorized operator.
func (s *operateService) Statement(ctx context.Context, p *genoperate.StatementPayload) (*genoperate.StatementResult, error) {
	name, ok := authorize(s.operators, value(p.Authorization))
	if !ok {
		return nil, &genoperate.Refusal{
			Name: string(classUnauthorized), RequestID: requestID(ctx), Reason: string(classUnauthorized),
			Outcome: outcome.NotSent.String(), NotRun: true, Detail: "no valid operator token",
		}
	}
	r, err := s.exec.Execute(ctx, name, p.Statement, p.DryRun)
	if err != nil {
		return nil, encodeStatementError(ctx, err)
	}
	return &genoperate.StatementResult{Columns: r.Columns, Rows: r.Rows, Message: r.Message}, nil
}

// authorize returns the operator with the bearer token. Digests of equal
// length are compared in constant time, all of them, so that the time tells
// nothing about a token.
func authorize(operators []Operator, header string) (string, bool) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return "", false
	}
	got := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, o := range operators {
		want := sha256.Sum256([]byte(o.Token))
		if subtle.ConstantTimeCompare(got[:], want[:]) == 1 {
			name, found = o.Name, true
		}
	}
	return name, found
}

// encodeStatementError turns an error of a statement into the goa service's.
// One that is no refusal is of the statement itself.
func encodeStatementError(ctx context.Context, err error) error {
	r := &query.Refusal{Reason: query.ReasonBadRequest, Outcome: outcome.NotSent, Detail: err.Error()}
	errors.As(err, &r)
	r.RequestID = requestID(ctx)
	g := encodeRefusal(r)
	return &genoperate.Refusal{
		Name: g.Name, RequestID: g.RequestID, Reason: g.Reason, Outcome: g.Outcome, NotRun: g.NotRun,
		RetryAfterMs: g.RetryAfterMs, RetryAfterS: g.RetryAfterS, Detail: g.Detail,
	}
}
