package target

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// docs/TARGETS.md must document every field of the settings and the faults.
func TestPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../../../docs/TARGETS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []any{Config{}, Faults{}, Holdings{}, ColdStart{}} {
		for _, f := range reflect.VisibleFields(reflect.TypeOf(v)) {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("%T: field %s is not on the page", v, name)
			}
		}
	}
}
