package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/soak"
)

// soakSeeds are the seeds of CI without further faults: two arbitrary ones, and each that has
// found a violation, with its cause.
var soakSeeds = []uint64{
	1, 2,
	19, // a stop closed a connection whose request had just been read: the request ran, but its answer was lost
}

// helperSeeds run with hosts that delegate queries to one host, which is disconnected, paused,
// killed and stopped like the others.
var helperSeeds = []uint64{3, 4}

// furtherSeeds run with all faults: targets that crash, also because of a request, and restart
// under the same ID; foreign values in the store; suspended hosts; series of signals; callers that
// keep their connections.
var furtherSeeds = []uint64{
	1,
	6,  // a host got SIGHUP 3 ms after its start, which ended it, and nothing restarted it
	12, // the same, twice
	9,  // requests ran at a target 3.4 to 5.8 s after its unobserved removal, because of outdated state from a host that had just started
}

// placementSeeds run with all faults and restrictions on where requests go: evacuated failure
// domains, targets that are cold after a crash, and a route with a home region.
var placementSeeds = []uint64{
	9000, // a crashed target restarted at once, cold and under the same ID, but no change was reported: one host treated it as warm and sent it all requests
	9009, // the same; in addition, the request count of a cold target was reset when its registration arrived
}

// restoreSeeds run with all faults, placement, and a store that is restored from older backups.
var restoreSeeds = []uint64{
	10005, // two concurrent permits for a cold target: the store had lost one; a resumed host used outdated records
	10211, // hosts that started around the time of a restore sent requests to a target that had left
	10235, // the same, with an earlier incarnation of the target in the backup
	10306, // two hosts that started together read the backup 0.5 s before they reached the host with the newer state
	11043, // the same, with one host
	14013, // updates from a suspended peer carried future timestamps: targets counted as cold, and outdated state as current
	14017, // a target left while the surviving host received no updates, and a restore brought it back
}

// TestSoak runs a short soak of real processes. "rhubarbwood soak" runs longer ones.
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
