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

const rulesPrefix = "rules."

// The fields of a service that a statement may set, by their JSON names.
var (
	serviceFields = settable(catalog.Service{}, "name", "rules", "dropped", "change")
	ruleFields    = settable(catalog.Rules{})
)

// settable returns the JSON names of the fields of the struct v.
func settable(v any, except ...string) []string {
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

// assign returns the service with the fields set. Rules may be named with or
// without their prefix; null gives a field its default.
func assign(s catalog.Service, set []lang.Assignment) (catalog.Service, error) {
	whole, err := fieldsOf(s)
	if err != nil {
		return s, err
	}
	rules, err := fieldsOf(s.Rules)
	if err != nil {
		return s, err
	}
	for _, a := range set {
		rule := strings.TrimPrefix(a.Key, rulesPrefix)
		switch {
		case slices.Contains(serviceFields, a.Key):
			setField(whole, a.Key, a.Value.Raw())
		case slices.Contains(ruleFields, rule):
			setField(rules, rule, a.Value.Raw())
		default:
			return s, badRequest("no field %q, want one of %s", a.Key, strings.Join(slices.Concat(serviceFields, ruleFields), ", "))
		}
	}
	return assemble(whole, rules)
}

// setField sets a field, or takes it out for null.
func setField(m map[string]json.RawMessage, key string, value json.RawMessage) {
	if string(value) == "null" {
		delete(m, key)
		return
	}
	m[key] = value
}

// fieldsOf takes the JSON form of v apart by field.
func fieldsOf(v any) (map[string]json.RawMessage, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, Error.New("encode %T: %w", v, err)
	}
	var m map[string]json.RawMessage
	return m, Error.Wrap(json.Unmarshal(b, &m))
}

// assemble returns the service that has these fields and rules.
func assemble(whole, rules map[string]json.RawMessage) (catalog.Service, error) {
	b, err := json.Marshal(rules)
	if err != nil {
		return catalog.Service{}, Error.New("encode rules: %w", err)
	}
	whole["rules"] = b
	if b, err = json.Marshal(whole); err != nil {
		return catalog.Service{}, Error.New("encode service: %w", err)
	}
	var s catalog.Service
	return s, decodeStrict(b, &s)
}

// decodeStrict refuses unknown fields and wrong types.
func decodeStrict(b []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return badRequest("%w", err)
	}
	return nil
}
