package lang

import (
	"fmt"

	"github.com/zeebo/errs"
)

// class is the class of this package's errors.
var class = errs.Class("lang")

// Error is a statement that cannot be read. It tells the first place that is
// wrong and what was expected there.
type Error struct {
	Line       int    // from 1
	Column     int    // from 1, in characters
	Unexpected string // the token found; empty at the end of the text
	Expected   string // what would have been right
	Usage      string // form of the statement, if its verb was understood
}

// Error tells all of it in one line.
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
