package discovery

import (
	"flag"
	"os"
	"testing"

	"rhubarbwood.example/rhubarbwood/internal/revision"
)

// at returns a revision of the first era.
func at(number uint64) revision.Revision { return revision.Revision{Era: 1, Number: number} }

// Number and seed of the random fleet histories: few in CI, thousands in manual runs.
var (
	fleetHistories = flag.Int("fleet-histories", 100, "histories of whole fleets")
	fleetSeed      = flag.Int("fleet-seed", 1, "seed of these")
	fleetSize      = flag.Int("fleet-size", 7, "hosts of each fleet")
)

// TestMain fixes the seed of the random tests, so that every run has the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
