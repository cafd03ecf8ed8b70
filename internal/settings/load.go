package settings

import (
	"os"
	"reflect"
	"regexp"
	"sort"
	"strconv"

	"github.com/tailscale/hujson"
)

// Load reads a settings file into a copy of defaults. Fields that the file
// leaves out keep their default. The error is Problems if the file could be
// read at all; then nothing of the file may be used.
func Load[T any](path string, defaults T) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return defaults, Error.New("read settings: %w", err)
	}
	return Parse(path, text, defaults)
}

// Parse is Load for a text already read; file names it in problems.
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
		return defaults, d.sorted()
	}
	return defaults, nil
}

var syntaxPlace = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxProblem takes the place out of the parser's error text, the only
// form in which it tells it.
func syntaxProblem(file string, err error) *Problem {
	p := &Problem{File: file, Line: 1, Column: 1, Text: err.Error()}
	if m := syntaxPlace.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Text = "not JSON with comments: " + m[3]
	}
	return p
}

func (d *decoder) sorted() Problems {
	sort.SliceStable(d.problems, func(i, j int) bool {
		a, b := d.problems[i], d.problems[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return d.problems
}
