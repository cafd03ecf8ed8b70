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

// furtherSeeds run with all faults: targets that crash, also by a request, and return under their
// id; foreign entries; suspended hosts; signals in series; callers that keep their connections.
var furtherSeeds = []uint64{
	1,
	6,  // a host was told to reload 3 ms after it was started: the signal ended it, and nobody started it again
	12, // the same, twice
	9,  // requests ran at a target 3.4 to 5.8 s after it had left unseen: news of a host that had just started
}

// placementSeeds run with all faults and with what binds where requests go: failure domains are evacuated,
// targets are cold after a crash, a route has a home.
var placementSeeds = []uint64{
	9000, // a target was back at once under its id, cold, and no news came: one host took it as warm and sent all
	9009, // the same; and what a cold target got was forgotten as its registration came
}

// restoreSeeds run with all faults, placement, and a store that comes back from older copies of itself.
var restoreSeeds = []uint64{
	10005, // two permits of a cold target at once: the store had lost one; a host that woke believed what it had read before
	10211, // hosts that had started around a restore sent to a target that had left
	10235, // the same, with an earlier incarnation of the target in the copy
	10306, // two hosts that had started together read the copy 0.5 s before they met the one that knew better
	11043, // the same, with one host
	14013, // news of a peer that had been suspended were dated ahead: targets counted as cold, old beliefs as current
	14017, // a target left while the host that stayed had no news; a restore brought it back
}

// A short soak of real processes. "rhubarbwood soak" runs longer ones.
func TestSoak(t *testing.T) {
	const storm, callers = 2 * time.Second, 8
	var all []soak.Config
	for _, seed := range soakSeeds {
		all = append(all, soak.Config{Seed: seed, Storm: storm, Callers: callers})
	}
	for _, seed := range helperSeeds {
		all = append(all, soak.Config{Seed: seed, Storm: storm, Callers: callers, Helpers: true})
	}
	for _, seed := range furtherSeeds {
		all = append(all, soak.Config{Seed: seed, Storm: 6 * time.Second, Callers: 12, AllFaults: true})
	}
	for _, seed := range placementSeeds {
		all = append(all, soak.Config{Seed: seed, Storm: 6 * time.Second, Callers: 12, AllFaults: true, Placement: true})
	}
	for _, seed := range restoreSeeds {
		all = append(all, soak.Config{Seed: seed, Storm: 6 * time.Second, Callers: 12, AllFaults: true, Placement: true, Restores: true})
	}
	for _, cfg := range all {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cfg.Binary = binary
			r, err := soak.Run(cfg)
			is.NoErr(err)
			is.True(r.Answered > 0)
			for _, v := range r.Violations {
				t.Errorf("seed %d: %s", cfg.Seed, v)
			}
			if len(r.Violations) > 0 {
				t.Logf("steps: %q, logs in %s", r.Steps, r.Logs)
			}
		})
	}
}
