// Package settings reads settings files: JSON with comments and trailing
// commas, checked against a Go type. A file is taken whole or not at all, and
// every fault in it is reported at once with its place.
package settings

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Problem is one fault of a settings file.
type Problem struct {
	File   string
	Line   int    // from 1
	Column int    // from 1, in bytes
	Path   string // of the field, such as "stop.hard_limit"; empty for the file
	Text   string // what is wrong and what was expected
}

// Error returns the form "file:line:column: path: text".
func (p *Problem) Error() string {
	place := fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	if p.Path == "" {
		return place + ": " + p.Text
	}
	return place + ": " + p.Path + ": " + p.Text
}

// Problems are all faults of a settings file, in the order of their places.
type Problems []*Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
