package objectstore

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// docs/PLATFORM.md must document every field of the settings and the faults.
func TestPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../../../docs/PLATFORM.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []any{Config{}, Faults{}, Seeds{}, SeedObject{}} {
		for _, f := range reflect.VisibleFields(reflect.TypeOf(v)) {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("%T: field %s is not on the page", v, name)
			}
		}
	}
}
