package catalog

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// changeField is the field that contains the id and author of the last change.
// It differs between any two changes and is excluded from the comparison.
const changeField = "change"

// FieldDiff is one field in which the current and the wanted value of an object
// differ. The text of a missing field is empty.
type FieldDiff struct {
	Path    string `json:"path"` // such as "rules.relays" or "targets[guest-01-t2].slots"
	Current string `json:"stands,omitempty"`
	Wanted  string `json:"wanted,omitempty"`
}

// diffJSON returns the fields in which two JSON values differ, sorted by path.
// If one of them is not valid JSON, both are returned as one field.
func diffJSON(current, wanted []byte) []FieldDiff {
	var a, b any
	if decodeOptional(current, &a) != nil || decodeOptional(wanted, &b) != nil {
		return []FieldDiff{{Current: string(current), Wanted: string(wanted)}}
	}
	for _, v := range []any{a, b} {
		if fields, ok := v.(map[string]any); ok {
			delete(fields, changeField)
		}
	}
	return diffValues("", a, b)
}

// decodeOptional decodes JSON; empty input decodes to an object without fields.
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
	fieldsA, okA := fieldsOf(a)
	fieldsB, okB := fieldsOf(b)
	if !okA || !okB {
		return []FieldDiff{{Path: path, Current: jsonText(a), Wanted: jsonText(b)}}
	}
	names := sortedKeys(fieldsA)
	for name := range fieldsB {
		if _, ok := fieldsA[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var diffs []FieldDiff
	for _, name := range names {
		diffs = append(diffs, diffValues(join(path, name), fieldsA[name], fieldsB[name])...)
	}
	return diffs
}

// fieldsOf returns the fields of a JSON object, or the items by id of a list of
// objects with unique ids, such as targets. It returns false for any other value.
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

func jsonText(v any) string {
	if v == nil {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}
