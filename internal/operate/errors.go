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

// badRequest returns the refusal of a statement that the operator must correct;
// nothing was changed.
func badRequest(format string, args ...any) error {
	return refusal(query.ReasonBadRequest, outcome.NotSent, Error.New(format, args...))
}

// platformUnavailable returns the refusal of a statement for which the platform
// could not be read.
func platformUnavailable(err error) error {
	return refusal(query.ReasonPlatform, outcome.NotSent, Error.Wrap(err))
}

// refusal returns the error of a statement that was not run, or was run only in
// part.
func refusal(reason query.Reason, o outcome.Outcome, err error) error {
	return &query.Refusal{Reason: reason, Outcome: o, Detail: oneLine(err)}
}

// oneLine returns the error's text with line breaks replaced by semicolons;
// errors.Join puts each error on a line of its own.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// badRequestFrom returns a bad request refusal with the text of err. It returns
// an err that is a refusal already unchanged.
func badRequestFrom(err error) error {
	var r *query.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refusal(query.ReasonBadRequest, outcome.NotSent, err)
}
