package policy

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
	os.Exit(m.Run())
}

// start is an arbitrary origin of the tests' clock.
var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
