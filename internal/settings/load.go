package settings

import (
	"os"
	"reflect"
	"regexp"
	"sort"
	"strconv"

	"github.com/tailscale/hujson"
)

// Load reads a settings file into a copy of defaults. Fields that are missing
// from the file keep their default. If the file was read but its content is not
// valid, the error is of type Problems. With any error the returned settings
// must not be used.
func Load[T any](path string, defaults T) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return defaults, Error.New("read settings: %w", err)
	}
	return Parse(path, text, defaults)
}

// Parse is like Load for the text of a file. The name file is used in problems
// only.
func Parse[T any](file string, text []byte, defaults T) (T, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return defaults, Problems{syntaxProblem(file, err)}
	}
	d := &decoder{file: file, text: text, undecoded: map[string]bool{}}
	v := reflect.ValueOf(&defaults).Elem()
	d.decode(node{value: &root}, v)
	d.validate(node{value: &root}, v)
	if len(d.problems) > 0 {
		return defaults, d.sortedProblems()
	}
	return defaults, nil
}

var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxProblem converts an error of the JSON parser. It extracts the position
// from the error text, as the parser provides it nowhere else.
func syntaxProblem(file string, err error) *Problem {
	p := &Problem{File: file, Line: 1, Column: 1, Text: err.Error()}
	if m := syntaxErrorPattern.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Text = "not JSON with comments: " + m[3]
	}
	return p
}

// sortedProblems sorts the problems by position and returns them.
func (d *decoder) sortedProblems() Problems {
	sort.SliceStable(d.problems, func(i, j int) bool {
		a, b := d.problems[i], d.problems[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return d.problems
}
