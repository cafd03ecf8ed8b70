package api

import (
	"context"
	"errors"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	genoperate "rhubarbwood.example/rhubarbwood/gen/operate"
	genquery "rhubarbwood.example/rhubarbwood/gen/query"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// errorClass is the name of an error in the goa design, which determines the HTTP
// status.
type errorClass string

const (
	classBadRequest     errorClass = "bad_request"
	classUnauthorized   errorClass = "unauthorized"
	classUnknownService errorClass = "unknown_service"
	classConflict       errorClass = "conflict"
	classTimeout        errorClass = "timeout"
	classTooLarge       errorClass = "too_large"
	classExpired        errorClass = "expired"
	classOverload       errorClass = "overload"
	classFailed         errorClass = "failed"
	classUnavailable    errorClass = "unavailable"
	classDeadline       errorClass = "deadline"
)

// classByReason maps the reasons to their classes; a reason that is not listed is
// classUnavailable.
var classByReason = map[query.Reason]errorClass{
	query.ReasonBadRequest:     classBadRequest,
	query.ReasonUnknownService: classUnknownService,
	query.ReasonConflict:       classConflict,
	query.ReasonTooLarge:       classTooLarge,
	query.ReasonExpired:        classExpired,
	query.ReasonOverload:       classOverload,
	query.ReasonTargetFailed:   classFailed,
	query.ReasonBadAnswer:      classFailed,
	query.ReasonUnsettled:      classFailed,
	query.ReasonBudget:         classDeadline,
}

// classOf returns the class of a refusal. A budget that ended before anything was
// sent is attributed to the caller, as classTimeout.
func classOf(r *query.Refusal) errorClass {
	if r.Reason == query.ReasonBudget && r.Outcome == outcome.NotSent && r.Coverage == nil {
		return classTimeout
	}
	if c, ok := classByReason[r.Reason]; ok {
		return c
	}
	return classUnavailable
}

// encodeRefusal converts a refusal to the error of the goa service.
func encodeRefusal(r *query.Refusal) *genquery.Refusal {
	g := &genquery.Refusal{
		Name:      string(classOf(r)),
		RequestID: r.RequestID,
		Reason:    string(r.Reason),
		Outcome:   r.Outcome.String(),
		NotRun:    r.Outcome.NotRun(),
		Detail:    r.Detail,
	}
	if r.RetryAfter > 0 {
		ms, s := r.RetryAfter.Milliseconds(), ceilSeconds(r.RetryAfter)
		g.RetryAfterMs, g.RetryAfterS = &ms, &s
	}
	if r.Coverage != nil {
		g.Coverage = encodeCoverage(*r.Coverage)
	}
	return g
}

// ceilSeconds rounds up to whole seconds, as Retry-After has no fractions.
func ceilSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }

// errorBody is the JSON body of every error response, whether a goa service
// returned the error or goa's own validation of the request.
type errorBody struct {
	Name         string         `json:"name"`
	RequestID    string         `json:"request_id"`
	Reason       string         `json:"reason"`
	Outcome      string         `json:"outcome"`
	NotRun       bool           `json:"not_run"`
	RetryAfterMS *int64         `json:"retry_after_ms,omitempty"`
	Detail       string         `json:"detail"`
	Coverage     *errorCoverage `json:"coverage,omitempty"`
	status       int
}

// errorCoverage is the coverage that a refused search had reached.
type errorCoverage struct {
	Shards   int      `json:"shards"`
	Answered int      `json:"answered"`
	Fraction float64  `json:"fraction"`
	Complete bool     `json:"complete"`
	Missing  []string `json:"missing"`
}

// StatusCode is the HTTP status of errors that the goa design doesn't name.
func (b *errorBody) StatusCode() int { return b.status }

// formatError returns the body of an error response.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	var queryRefusal *genquery.Refusal
	if errors.As(err, &queryRefusal) {
		return refusalBody(queryRefusal)
	}
	var operateRefusal *genoperate.Refusal
	if errors.As(err, &operateRefusal) {
		return refusalBody(&genquery.Refusal{
			Name: operateRefusal.Name, RequestID: operateRefusal.RequestID, Reason: operateRefusal.Reason, Outcome: operateRefusal.Outcome, NotRun: operateRefusal.NotRun,
			RetryAfterMs: operateRefusal.RetryAfterMs, Detail: operateRefusal.Detail,
		})
	}
	return validationErrorBody(ctx, err)
}

func refusalBody(r *genquery.Refusal) *errorBody {
	b := &errorBody{
		Name: r.Name, RequestID: r.RequestID, Reason: r.Reason, Outcome: r.Outcome, NotRun: r.NotRun,
		RetryAfterMS: r.RetryAfterMs, Detail: r.Detail,
	}
	if c := r.Coverage; c != nil {
		b.Coverage = &errorCoverage{c.Shards, c.Answered, c.Fraction, c.Complete, c.Missing}
	}
	return b
}

// validationErrorBody returns the body for a request that failed goa's
// validation, so that none of it ran. Any other error is a fault of this host,
// and the outcome is unknown.
func validationErrorBody(ctx context.Context, err error) *errorBody {
	b := &errorBody{RequestID: requestID(ctx), Detail: err.Error()}
	var serviceErr *goa.ServiceError
	switch {
	case errors.As(err, &serviceErr) && serviceErr.Name == errorBodyTooLarge:
		b.Name, b.Reason, b.status = string(classTooLarge), string(query.ReasonTooLarge), http.StatusRequestEntityTooLarge
	case errors.As(err, &serviceErr) && !serviceErr.Fault:
		b.Name, b.Reason, b.status = string(classBadRequest), string(query.ReasonBadRequest), http.StatusBadRequest
	default:
		b.Name, b.Reason, b.Outcome, b.status = "fault", "fault", outcome.Unknown.String(), http.StatusInternalServerError
		return b
	}
	b.Outcome, b.NotRun = outcome.NotSent.String(), true
	return b
}
