package catalog

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// changeField holds the author of an object; it differs between any two
// changes and is left out of what differs.
const changeField = "change"

// FieldDiff is one field in which two values of an object differ. A field
// that is missing is empty.
type FieldDiff struct {
	Path   string `json:"path"` // such as "rules.relays" or "targets[guest-01-t2].slots"
	Stands string `json:"stands,omitempty"`
	Wanted string `json:"wanted,omitempty"`
}

// diffJSON returns the fields in which two JSON values differ, sorted by path.
// A value that is not JSON counts as one field.
func diffJSON(stands, wanted []byte) []FieldDiff {
	var a, b any
	if decodeOptional(stands, &a) != nil || decodeOptional(wanted, &b) != nil {
		return []FieldDiff{{Stands: string(stands), Wanted: string(wanted)}}
	}
	for _, v := range []any{a, b} {
		if fields, ok := v.(map[string]any); ok {
			delete(fields, changeField)
		}
	}
	return diffValues("", a, b)
}

// decodeOptional reads JSON; nothing reads as an object without fields.
func decodeOptional(b []byte, into *any) error {
	if len(b) == 0 {
		*into = map[string]any{}
		return nil
	}
	return json.Unmarshal(b, into)
}

func diffValues(path string, a, b any) []FieldDiff {
	if reflect.DeepEqual(a, b) {
		return nil
	}
	fa, okA := fieldsOf(a)
	fb, okB := fieldsOf(b)
	if !okA || !okB {
		return []FieldDiff{{Path: path, Stands: text(a), Wanted: text(b)}}
	}
	names := sortedKeys(fa)
	for name := range fb {
		if _, ok := fa[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var all []FieldDiff
	for _, name := range names {
		all = append(all, diffValues(join(path, name), fa[name], fb[name])...)
	}
	return all
}

// fieldsOf takes an object, or a list of objects with ids such as targets,
// apart; it reports false for anything else. Nothing has no fields.
func fieldsOf(v any) (map[string]any, bool) {
	switch v := v.(type) {
	case map[string]any:
		return v, true
	case []any:
		fields := map[string]any{}
		for _, item := range v {
			id, ok := itemID(item)
			if !ok {
				return nil, false
			}
			fields["["+id+"]"] = item
		}
		return fields, len(fields) == len(v)
	}
	return nil, false
}

func itemID(v any) (string, bool) {
	fields, ok := v.(map[string]any)
	if !ok {
		return "", false
	}
	id, ok := fields["id"].(string)
	return id, ok
}

func join(path, name string) string {
	if path == "" || name[0] == '[' {
		return path + name
	}
	return path + "." + name
}

func text(v any) string {
	if v == nil {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}
