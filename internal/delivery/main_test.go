package delivery

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flag set below
)

// TestMain fixes the seed and the number of checks of property tests, so that
// every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
