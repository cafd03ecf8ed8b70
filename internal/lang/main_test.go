package lang

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the properties, so that every run gives one verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
