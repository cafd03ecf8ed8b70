package settings

import (
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// Validator is a settings type that checks its own values. The error joins
// one error for each problem; each begins with, or at least mentions, the
// field by its name in the file, so that its place can be told.
type Validator interface{ Validate() error }

// validate asks every Validator in v, inner ones first. What an outer one
// repeats of an inner one's problems is left out, and so is a field that
// could not be decoded: its value is not the file's.
func (d *decoder) validate(n node, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		f := fieldsOf(v.Type())
		for _, name := range f.names {
			d.validate(n.member(name), v.FieldByIndex(f.byName[name]))
		}
	case reflect.Slice:
		for i := range v.Len() {
			d.validate(n.element(i), v.Index(i))
		}
	case reflect.Map:
		for _, key := range sortedKeys(v) {
			element := reflect.New(v.Type().Elem()).Elem()
			element.Set(v.MapIndex(key))
			d.validate(n.member(key.String()), element)
		}
	case reflect.Pointer:
		if !v.IsNil() {
			d.validate(n, v.Elem())
		}
		return
	}
	if checked, ok := v.Addr().Interface().(Validator); ok {
		d.reportAll(n, v.Type(), checked.Validate())
	}
}

func sortedKeys(m reflect.Value) []reflect.Value {
	keys := m.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	return keys
}

// reportAll reports what the Validator of n, a value of type t, has found.
func (d *decoder) reportAll(n node, t reflect.Type, err error) {
	for _, problem := range split(err) {
		at := n.fieldIn(t, problem.Error())
		if !d.reported(n, at, problem.Error()) {
			d.report(at, "%s", fieldPrefix.ReplaceAllString(problem.Error(), ""))
		}
	}
}

// reported reports whether the field could not be decoded, or an inner
// Validator of n has told the same problem.
func (d *decoder) reported(n, field node, text string) bool {
	if d.undecoded[field.path] {
		return true
	}
	return slices.ContainsFunc(d.problems, func(p *Problem) bool {
		inside := strings.HasPrefix(p.Path, n.path) && p.Path != n.path
		return inside && strings.Contains(text, p.Text)
	})
}

// split returns the single errors of a joined one, through wrappers.
func split(err error) []error {
	if err == nil {
		return nil
	}
	for inner := err; inner != nil; {
		switch u := inner.(type) {
		case interface{ Unwrap() []error }:
			var all []error
			for _, e := range u.Unwrap() {
				all = append(all, split(e)...)
			}
			return all
		case interface{ Unwrap() error }:
			inner = u.Unwrap()
		default:
			return []error{err}
		}
	}
	return []error{err}
}

// fieldPrefix are the class of an error and the field's name before a text;
// the problem's path tells both.
var fieldPrefix = regexp.MustCompile(`^([a-z][a-z0-9_.]*: )+`)

var fieldName = regexp.MustCompile(`[a-z][a-z0-9_]*(\.[a-z][a-z0-9_]*)*`)

// fieldIn returns the first field of the struct t, or of a struct in it with a
// dotted path, that the text names, and n itself if there is none.
func (n node) fieldIn(t reflect.Type, text string) node {
	for _, word := range fieldName.FindAllString(text, -1) {
		if at := n.follow(t, strings.Split(word, ".")); at.path != n.path {
			return at
		}
	}
	return n
}

// follow goes from n, a value of type t, along the names as far as they are
// fields.
func (n node) follow(t reflect.Type, names []string) node {
	for _, name := range names {
		if t.Kind() != reflect.Struct {
			break
		}
		f := fieldsOf(t)
		index, known := f.byName[name]
		if !known {
			break
		}
		n, t = n.member(name), t.FieldByIndex(index).Type
	}
	return n
}
