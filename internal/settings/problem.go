package settings

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Problem is an error in a settings file, with its position.
type Problem struct {
	File   string
	Line   int    // from 1
	Column int    // from 1, in bytes
	Path   string // path of the field, such as "stop.hard_limit"; empty for the whole file
	Text   string // what is wrong and what was expected
}

// Error returns the problem as "file:line:column: path: text".
func (p *Problem) Error() string {
	place := fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	if p.Path == "" {
		return place + ": " + p.Text
	}
	return place + ": " + p.Path + ": " + p.Text
}

// Problems are all the errors in a settings file, sorted by position.
type Problems []*Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
