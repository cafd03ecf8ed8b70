package settings

import (
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// Validator is a settings type that validates its own values. The returned error
// joins one error for each problem. Each of them contains, best at its
// beginning, the name that the field has in the file; the position of the
// problem is found by that name.
type Validator interface{ Validate() error }

// validate calls every Validator in v, inner ones first. It skips problems that
// an outer Validator repeats from an inner one, and problems of a field that
// could not be decoded, since its value is not the one in the file.
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
		d.reportValidation(n, v.Type(), checked.Validate())
	}
}

// sortedKeys returns the keys of a map with string keys, sorted.
func sortedKeys(m reflect.Value) []reflect.Value {
	keys := m.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	return keys
}

// reportValidation adds the problems in the error that the Validator of n, a
// value of type t, has returned.
func (d *decoder) reportValidation(n node, t reflect.Type, err error) {
	for _, problem := range splitErrors(err) {
		at := n.findField(t, problem.Error())
		if !d.alreadyReported(n, at, problem.Error()) {
			d.addProblem(at, "%s", fieldPrefix.ReplaceAllString(problem.Error(), ""))
		}
	}
}

// alreadyReported reports whether the field could not be decoded, or a value
// inside n already has a problem whose text is part of this text.
func (d *decoder) alreadyReported(n, field node, text string) bool {
	if d.undecoded[field.path] {
		return true
	}
	return slices.ContainsFunc(d.problems, func(p *Problem) bool {
		inside := strings.HasPrefix(p.Path, n.path) && p.Path != n.path
		return inside && strings.Contains(text, p.Text)
	})
}

// splitErrors returns the individual errors of a joined error, which may be
// wrapped. An error that joins none is returned as it is.
func splitErrors(err error) []error {
	if err == nil {
		return nil
	}
	for inner := err; inner != nil; {
		switch u := inner.(type) {
		case interface{ Unwrap() []error }:
			var all []error
			for _, e := range u.Unwrap() {
				all = append(all, splitErrors(e)...)
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

// fieldPrefix matches the error class and field name at the beginning of an error
// text. They are removed, as the problem's path already contains them.
var fieldPrefix = regexp.MustCompile(`^([a-z][a-z0-9_.]*: )+`)

// fieldName matches a field name or a dotted path of field names.
var fieldName = regexp.MustCompile(`[a-z][a-z0-9_]*(\.[a-z][a-z0-9_]*)*`)

// findField returns the first field that the text names: a field of n, a struct
// of type t, or with a dotted path a field of a struct inside it. It returns n if
// the text names none.
func (n node) findField(t reflect.Type, text string) node {
	for _, word := range fieldName.FindAllString(text, -1) {
		if at := n.resolvePath(t, strings.Split(word, ".")); at.path != n.path {
			return at
		}
	}
	return n
}

// resolvePath returns the field at the path names below n, a value of type t. It
// stops at the first name that is not a field.
func (n node) resolvePath(t reflect.Type, names []string) node {
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
