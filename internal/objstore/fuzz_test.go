package objstore

import (
	"testing"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// FuzzOpen checks that any record decodes to an object with the name, kind and revision of the record, or to an error, and
// that a deleted object has no value.
func FuzzOpen(f *testing.F) {
	for _, spec := range []string{
		`{"rhubarbwood":{"version":3,"created":"2026-01-01T00:00:00Z"},"value":{"a":1}}`, `{"rhubarbwood":7}`, `{"value":1}`, `null`, ``, `{`,
	} {
		f.Add([]byte(spec), false)
	}
	f.Fuzz(func(t *testing.T, spec []byte, deleted bool) {
		o, err := Decode("kind", Record{Name: "n", Revision: revision.Revision{Era: 1, Number: 4}, Spec: spec, Deleted: deleted})
		if o.Name != "n" || o.Kind != "kind" || o.Revision != 4 {
			t.Fatalf("opened %+v", o)
		}
		if err == nil && deleted && o.Value != nil {
			t.Fatalf("deleted object has value %s", o.Value)
		}
	})
}
