package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Limits of the additional faults of Config.AllFaults.
const (
	maxConcurrentCrashes = 4                     // targets that crash at the same moment
	maxSeriesLength      = 4                     // signals or configuration changes in a series
	seriesInterval       = 20 * time.Millisecond // between two of them
	maxSuspension        = 20 * time.Second      // as seen by the host's clock; the process is stopped for a shorter time
)

// extraFault draws one of the additional faults of Config.AllFaults.
func (c Config) extraFault(rng *rand.Rand) step {
	host := rng.IntN(c.hosts())
	switch rng.IntN(8) {
	case 0, 1, 2:
		return targetCrashes(rng)
	case 3:
		return foreignRegistration(rng)
	case 4:
		kind, text := hostRecordKinds[rng.IntN(len(hostRecordKinds))], foreignValues[rng.IntN(len(foreignValues))]
		return foreignObject(kind, fmt.Sprintf("foreign-%d", rng.Uint32()), text)
	case 5:
		return suspendHost(0, host, time.Duration(1+rng.Int64N(int64(maxSuspension))))
	case 6:
		return signalSeries(rng, host)
	}
	return configSeries(rng)
}

// targetCrashes crashes some targets at the same moment; they restart under the same IDs.
func targetCrashes(rng *rand.Rand) step {
	n := 1 + rng.IntN(maxConcurrentCrashes)
	draws := make([]uint32, n)
	for i := range draws {
		draws[i] = rng.Uint32()
	}
	down := time.Duration(50+rng.IntN(1500)) * time.Millisecond
	return step{
		name: fmt.Sprintf("targets %d crash for %s", draws, down),
		do: func(s *site) {
			for _, draw := range draws {
				s.targetByDraw(draw).crash(down)
			}
		},
	}
}

// foreignValues are values that another writer may leave in the store.
var foreignValues = []string{`null`, `7`, `[]`, `"a"`, `{}`, `{"service":7}`, `{"service":"lists-0","address":["127.0.0.1:1"],"state":"ready"}`,
	`{"service":"lists-0","address":"nowhere","state":"ready","maxConcurrency":"4"}`, `{"state":"asleep","service":"lists-1","address":"127.0.0.1:1"}`}

// foreignRegistration overwrites a target's registration with a foreign value for a time.
func foreignRegistration(rng *rand.Rand) step {
	draw, text := rng.Uint32(), foreignValues[rng.IntN(len(foreignValues))]
	return step{
		name: fmt.Sprintf("registration of target %d: %s", draw, text),
		do:   func(s *site) { s.store.Apply(platform.KindTargets, s.targetByDraw(draw).id, json.RawMessage(text)) },
		undo: func(s *site) { s.targetByDraw(draw).mustRegister() },
	}
}

// hostRecordKinds are the kinds of records that hosts read.
var hostRecordKinds = []string{objstore.KindGateway, objstore.KindMember, objstore.KindQuarantine, objstore.KindWindow, platform.KindTargets}

// foreignObject adds a foreign value to the records of a kind for a time.
func foreignObject(kind, name, text string) step {
	return step{
		name: fmt.Sprintf("%s/%s: %s", kind, name, text),
		do:   func(s *site) { s.store.Apply(kind, name, json.RawMessage(text)) },
		undo: func(s *site) { s.store.Remove(kind, name) },
	}
}

// Times of unobservedLeave, measured from the kill of the hosts.
const (
	unregisterDelay       = 50 * time.Millisecond  // until the target is unregistered; too short for another host to take over
	restartDelayAfterKill = 300 * time.Millisecond // until the hosts are started again
)

// unobservedLeave kills all hosts but one and unregisters a target before they restart, so that a
// restarted host reading the registry doesn't observe the removal. It uses a random number stream
// of its own, which leaves the other faults of a seed unchanged.
func (c Config) unobservedLeave() []step {
	restartDelay := restartDelayAfterKill
	if c.Restores {
		restartDelay = restartDelayWithRestore
	}
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	survivor, leavingTarget := rng.IntN(c.hosts()), rng.IntN(targetsPerService)
	all := []step{{at: unregisterDelay, name: fmt.Sprintf("target %d of reservations leaves without a word", leavingTarget), do: func(s *site) { s.targets[leavingTarget].unregister() }}}
	for host := range c.hosts() {
		if host == survivor {
			continue
		}
		all = append(all, step{
			duration: restartDelay, name: fmt.Sprintf("host %d is killed", host),
			do: func(s *site) { s.hosts[host].signal(syscall.SIGKILL) }, undo: restartHost(host),
		})
	}
	return all
}

// suspendHost stops a host's process for a short time and advances its clock by more than its
// timers have measured, like a suspended machine.
func suspendHost(at time.Duration, host int, suspension time.Duration) step {
	return step{
		at: at, duration: 150 * time.Millisecond,
		name: fmt.Sprintf("host %d is suspended for %s", host, suspension),
		do: func(s *site) {
			s.hosts[host].signal(syscall.SIGSTOP)
			if err := s.hosts[host].addSuspension(suspension); err != nil {
				panic(err) // the directory exists
			}
		},
		undo: func(s *site) { s.hosts[host].signal(syscall.SIGCONT) },
	}
}

// signalSeries sends a host a series of reload signals, or of alternating reload and stop signals.
func signalSeries(rng *rand.Rand, host int) step {
	n, withStops := 2+rng.IntN(maxSeriesLength-1), rng.IntN(2) == 0
	st := step{
		name: fmt.Sprintf("host %d gets %d signals, stops: %t", host, n, withStops),
		do: func(s *site) {
			for i := range n {
				if withStops && i%2 == 1 {
					s.hosts[host].signal(syscall.SIGTERM)
				} else {
					s.hosts[host].reload()
				}
				time.Sleep(seriesInterval)
			}
		},
	}
	if withStops {
		st.undo = restartHost(host)
	}
	return st
}

// configSeries writes a series of configuration versions.
func configSeries(rng *rand.Rand) step {
	n := 2 + rng.IntN(maxSeriesLength-1)
	return step{
		name: fmt.Sprintf("%d configurations", n),
		do: func(s *site) {
			for range n {
				s.publishNextConfig()
				time.Sleep(seriesInterval)
			}
		},
	}
}
