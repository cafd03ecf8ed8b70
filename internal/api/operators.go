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

// Operator is a person or program that is authorized to run statements.
type Operator struct {
	Name  string `json:"name"`
	Token string `json:"token"`
}

// Result is the table that a statement returns.
type Result struct {
	Columns []string
	Rows    [][]string
	Message string
}

// Executor runs one statement for the named operator. A dry run checks
// a change and shows its effect without writing it. If the error is a
// *query.Refusal, its reason and outcome are returned to the operator; any other
// error is returned as a bad request.
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
	name, ok := authorize(s.operators, stringOrEmpty(p.Authorization))
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

// authorize returns the operator with the bearer token. It compares
// digests, which have equal length, in constant time and always all of them, so
// that the response time reveals nothing about a token.
func authorize(operators []Operator, header string) (string, bool) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return "", false
	}
	digest := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, o := range operators {
		operatorDigest := sha256.Sum256([]byte(o.Token))
		if subtle.ConstantTimeCompare(digest[:], operatorDigest[:]) == 1 {
			name, found = o.Name, true
		}
	}
	return name, found
}

// encodeStatementError converts an error of a statement to the goa service's. An
// error that is not a refusal is a bad request.
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
