package operate

import (
	"errors"
	"strings"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

// Error is the class of this package's errors.
var Error = errs.Class("operate")

// badRequest refuses a statement that the operator must correct; nothing was done.
func badRequest(format string, args ...any) error {
	return refusal(query.ReasonBadRequest, outcome.NotSent, Error.New(format, args...))
}

// platformUnavailable refuses a statement because the platform could not be read.
func platformUnavailable(err error) error {
	return refusal(query.ReasonPlatform, outcome.NotSent, Error.Wrap(err))
}

// refusal returns the error of a statement that was not run, or not as a whole.
func refusal(reason query.Reason, o outcome.Outcome, err error) error {
	return &query.Refusal{Reason: reason, Outcome: o, Detail: oneLine(err)}
}

// oneLine joins the lines of joined errors.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// badRequestFrom refuses a statement for the joined problems of err. A refusal
// is passed on as it is.
func badRequestFrom(err error) error {
	var r *query.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refusal(query.ReasonBadRequest, outcome.NotSent, err)
}
