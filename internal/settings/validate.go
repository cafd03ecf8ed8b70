package settings

import (
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
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
			d.validate(n.descend(name), v.FieldByIndex(f.byName[name]))
		}
	case reflect.Slice:
		for i := range v.Len() {
			d.validate(n.element(i), v.Index(i))
		}
	case reflect.Map:
		for _, key := range sortedKeys(v) {
			element := reflect.New(v.Type().Elem()).Elem()
			element.Set(v.MapIndex(key))
			d.validate(n.descend(key.String()), element)
		}
	case reflect.Pointer:
		if !v.IsNil() {
			d.validate(n, v.Elem())
		}
		return
	}
	if checked, ok := v.Addr().Interface().(Validator); ok {
		d.take(n, v.Type(), checked.Validate())
	}
}

func sortedKeys(m reflect.Value) []reflect.Value {
	keys := m.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	return keys
}

func (d *decoder) take(n node, t reflect.Type, err error) {
	for _, fault := range split(err) {
		at := n.mentioned(t, fault.Error())
		if !d.known(n, at, fault.Error()) {
			d.report(at, "%s", fieldPrefix.ReplaceAllString(fault.Error(), ""))
		}
	}
}

// known reports whether the field could not be decoded, or an inner Validator
// of n has reported the fault before.
func (d *decoder) known(n, field node, text string) bool {
	for _, p := range d.problems {
		inside := strings.HasPrefix(p.Path, n.path) && p.Path != n.path
		if d.undecoded[field.path] || inside && strings.Contains(text, p.Text) {
			return true
		}
	}
	return false
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

// mentioned returns the first field of the struct t, or of a struct in it
// with a dotted path, that the text names, and n itself if there is none.
func (n node) mentioned(t reflect.Type, text string) node {
	if t.Kind() != reflect.Struct {
		return n
	}
	for _, word := range fieldName.FindAllString(text, -1) {
		at, steps := n, t
		for _, name := range strings.Split(word, ".") {
			if steps.Kind() != reflect.Struct {
				break
			}
			f := fieldsOf(steps)
			index, ok := f.byName[name]
			if !ok {
				break
			}
			at, steps = at.descend(name), steps.FieldByIndex(index).Type
		}
		if at.path != n.path {
			return at
		}
	}
	return n
}

// descend returns the member with this name; if the file leaves it out, the
// place is that of the object which lacks it.
func (n node) descend(name string) node {
	if obj, ok := n.value.Value.(*hujson.Object); ok {
		for i := range obj.Members {
			if obj.Members[i].Name.Value.(hujson.Literal).String() == name {
				return n.child(name, &obj.Members[i].Value)
			}
		}
	}
	return n.child(name, n.value)
}

func (n node) element(i int) node {
	if array, ok := n.value.Value.(*hujson.Array); ok && i < len(array.Elements) {
		return n.item(i, &array.Elements[i])
	}
	return n.item(i, n.value)
}
