package settings

import (
	"reflect"
	"strings"
)

// fields are the fields of a struct that can be set from a file, by JSON name.
type fields struct {
	names  []string         // in declaration order
	byName map[string][]int // index for reflect.Value.FieldByIndex
}

// fieldsOf returns the exported fields of t that have a json tag. The fields of
// an embedded struct without a tag are included as fields of t.
func fieldsOf(t reflect.Type) fields {
	all := fields{byName: map[string][]int{}}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "" && f.Type.Kind() == reflect.Struct:
			inner := fieldsOf(f.Type)
			for _, n := range inner.names {
				all.add(n, append([]int{i}, inner.byName[n]...))
			}
		case f.IsExported() && name != "" && name != "-":
			all.add(name, []int{i})
		}
	}
	return all
}

func (f *fields) add(name string, index []int) {
	f.names = append(f.names, name)
	f.byName[name] = index
}
