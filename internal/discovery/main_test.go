package discovery

import (
	"flag"
	"os"
	"testing"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// at returns a revision of the first era.
func at(number uint64) revision.Revision { return revision.Revision{Era: 1, Number: number} }

// The histories are the same in every run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
