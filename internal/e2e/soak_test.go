package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/soak"
)

// soakSeeds are those that CI runs: two at will, and each that ever found a broken
// promise, with a line on its cause.
var soakSeeds = []uint64{
	1, 2,
	19, // a stop closed a connection whose request had just been read: the request ran, its answer was lost
}

// helperSeeds run with hosts that hand queries over to one of them, which is cut off,
// paused, killed and stopped like the others.
var helperSeeds = []uint64{3, 4}

// A short soak of real processes. "rhubarbwood soak" runs longer ones.
func TestSoak(t *testing.T) {
	for i, seed := range append(soakSeeds, helperSeeds...) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			helpers := i >= len(soakSeeds)
			r, err := soak.Run(soak.Config{Binary: binary, Seed: seed, Storm: 2 * time.Second, Callers: 8, Helpers: helpers})
			is.NoErr(err)
			is.True(r.Answered > 0)
			for _, v := range r.Violations {
				t.Errorf("seed %d: %s", seed, v)
			}
			if len(r.Violations) > 0 {
				t.Logf("steps: %q, logs in %s", r.Steps, r.Logs)
			}
		})
	}
}
