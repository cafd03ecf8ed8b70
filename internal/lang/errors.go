package lang

import (
	"fmt"

	"github.com/zeebo/errs"
)

// errorClass is the class of this package's errors other than *Error.
var errorClass = errs.Class("lang")

// Error is a syntax error in a statement: the first position that is not valid and
// what was expected there.
type Error struct {
	Line       int    // from 1
	Column     int    // from 1, in characters
	Unexpected string // the token found; empty at the end of the text
	Expected   string // what would have been valid at the position
	Usage      string // syntax of the statement; empty if its verb is unknown
}

// Error returns the position, what was found and expected, and the usage, in one
// line.
func (e *Error) Error() string {
	found := "the end of the statement"
	if e.Unexpected != "" {
		found = e.Unexpected
	}
	msg := fmt.Sprintf("line %d, column %d: found %s, expected %s", e.Line, e.Column, found, e.Expected)
	if e.Usage != "" {
		msg += "; usage: " + e.Usage
	}
	return msg
}
