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

// class is the name of a refusal in the goa design; it fixes the status.
type class string

const (
	classBadRequest     class = "bad_request"
	classUnauthorized   class = "unauthorized"
	classUnknownService class = "unknown_service"
	classConflict       class = "conflict"
	classTimeout        class = "timeout"
	classTooLarge       class = "too_large"
	classExpired        class = "expired"
	classOverload       class = "overload"
	classFailed         class = "failed"
	classUnavailable    class = "unavailable"
	classDeadline       class = "deadline"
)

// classes of the reasons; a reason that is not listed is classUnavailable.
var classes = map[query.Reason]class{
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

// classOf returns the class of a refusal. A budget that had run out before
// anything was sent is the caller's doing.
func classOf(r *query.Refusal) class {
	if r.Reason == query.ReasonBudget && r.Outcome == outcome.NotSent && r.Coverage == nil {
		return classTimeout
	}
	if c, ok := classes[r.Reason]; ok {
		return c
	}
	return classUnavailable
}

// encodeRefusal turns a refusal into the error of the goa service.
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
		ms, s := r.RetryAfter.Milliseconds(), wholeSeconds(r.RetryAfter)
		g.RetryAfterMs, g.RetryAfterS = &ms, &s
	}
	if r.Coverage != nil {
		g.Coverage = encodeCoverage(*r.Coverage)
	}
	return g
}

// wholeSeconds rounds up, as Retry-After knows no fractions.
func wholeSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }

// body is the JSON form of every refusal, of the goa services and of goa's
// own checks of a request.
type body struct {
	Name         string        `json:"name"`
	RequestID    string        `json:"request_id"`
	Reason       string        `json:"reason"`
	Outcome      string        `json:"outcome"`
	NotRun       bool          `json:"not_run"`
	RetryAfterMS *int64        `json:"retry_after_ms,omitempty"`
	Detail       string        `json:"detail"`
	Coverage     *bodyCoverage `json:"coverage,omitempty"`
	status       int
}

type bodyCoverage struct {
	Shards   int      `json:"shards"`
	Answered int      `json:"answered"`
	Fraction float64  `json:"fraction"`
	Complete bool     `json:"complete"`
	Missing  []string `json:"missing"`
}

// StatusCode is the status of errors that the goa design doesn't name.
func (b *body) StatusCode() int { return b.status }

// format makes the body of an error response.
func format(ctx context.Context, err error) goahttp.Statuser {
	var q *genquery.Refusal
	if errors.As(err, &q) {
		return bodyOf(q)
	}
	var o *genoperate.Refusal
	if errors.As(err, &o) {
		return bodyOf(&genquery.Refusal{
			Name: o.Name, RequestID: o.RequestID, Reason: o.Reason, Outcome: o.Outcome, NotRun: o.NotRun,
			RetryAfterMs: o.RetryAfterMs, Detail: o.Detail,
		})
	}
	return checkFailed(ctx, err)
}

func bodyOf(r *genquery.Refusal) *body {
	b := &body{
		Name: r.Name, RequestID: r.RequestID, Reason: r.Reason, Outcome: r.Outcome, NotRun: r.NotRun,
		RetryAfterMS: r.RetryAfterMs, Detail: r.Detail,
	}
	if c := r.Coverage; c != nil {
		b.Coverage = &bodyCoverage{c.Shards, c.Answered, c.Fraction, c.Complete, c.Missing}
	}
	return b
}

// checkFailed is the body for a request that goa's checks refused: nothing of
// it ran. An error of another kind is a fault of this host, of which nothing
// is known.
func checkFailed(ctx context.Context, err error) *body {
	b := &body{RequestID: requestID(ctx), Detail: err.Error()}
	var g *goa.ServiceError
	switch {
	case errors.As(err, &g) && g.Name == errorBodyTooLarge:
		b.Name, b.Reason, b.status = string(classTooLarge), string(query.ReasonTooLarge), http.StatusRequestEntityTooLarge
	case errors.As(err, &g) && !g.Fault:
		b.Name, b.Reason, b.status = string(classBadRequest), string(query.ReasonBadRequest), http.StatusBadRequest
	default:
		b.Name, b.Reason, b.Outcome, b.status = "fault", "fault", outcome.Unknown.String(), http.StatusInternalServerError
		return b
	}
	b.Outcome, b.NotRun = outcome.NotSent.String(), true
	return b
}
