package operate

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/lang"
)

// rulesPrefix may precede the name of a rule in an assignment.
const rulesPrefix = "rules."

// The JSON names of the fields that a statement may set, of the service itself
// and of its rules.
var (
	serviceFields = settableFields(catalog.Service{}, "name", "rules", "dropped", "change")
	ruleFields    = settableFields(catalog.Rules{})
)

// settableFields returns the JSON names of the fields of the struct v, but for
// those in except.
func settableFields(v any, except ...string) []string {
	var names []string
	t := reflect.TypeOf(v)
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if !slices.Contains(except, name) {
			names = append(names, name)
		}
	}
	return names
}

// applyAssignments returns the service with the assigned fields set. A rule may
// be named with or without rulesPrefix; null resets a field to its default.
func applyAssignments(s catalog.Service, set []lang.Assignment) (catalog.Service, error) {
	fields, err := jsonFields(s)
	if err != nil {
		return s, err
	}
	rules, err := jsonFields(s.Rules)
	if err != nil {
		return s, err
	}
	for _, a := range set {
		rule := strings.TrimPrefix(a.Key, rulesPrefix)
		switch {
		case slices.Contains(serviceFields, a.Key):
			setField(fields, a.Key, a.Value.RawJSON())
		case slices.Contains(ruleFields, rule):
			setField(rules, rule, a.Value.RawJSON())
		default:
			return s, badRequest("no field %q, want one of %s", a.Key, strings.Join(slices.Concat(serviceFields, ruleFields), ", "))
		}
	}
	return decodeService(fields, rules)
}

// setField sets a field, or removes it if the value is null.
func setField(m map[string]json.RawMessage, key string, value json.RawMessage) {
	if string(value) == "null" {
		delete(m, key)
		return
	}
	m[key] = value
}

// jsonFields returns the JSON encoding of each field of v by name.
func jsonFields(v any) (map[string]json.RawMessage, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, Error.New("encode %T: %w", v, err)
	}
	var m map[string]json.RawMessage
	return m, Error.Wrap(json.Unmarshal(b, &m))
}

// decodeService decodes a service from its JSON fields and those of its rules.
func decodeService(fields, rules map[string]json.RawMessage) (catalog.Service, error) {
	b, err := json.Marshal(rules)
	if err != nil {
		return catalog.Service{}, Error.New("encode rules: %w", err)
	}
	fields["rules"] = b
	if b, err = json.Marshal(fields); err != nil {
		return catalog.Service{}, Error.New("encode service: %w", err)
	}
	var s catalog.Service
	return s, decodeStrict(b, &s)
}

// decodeStrict decodes JSON and refuses unknown fields and wrong types as a bad
// request.
func decodeStrict(b []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return badRequest("%w", err)
	}
	return nil
}
