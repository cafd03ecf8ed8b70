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

// Sizes of the faults that all of them means.
const (
	mostCrashes       = 4                     // targets that crash at the same moment
	mostInSeries      = 4                     // signals or changes in a series
	seriesGap         = 20 * time.Millisecond // between two of them
	longestSuspension = 20 * time.Second      // as the host's clock tells; it stands still for less
)

// furtherFault draws one fault of those that the first seeds knew nothing of.
func (c Config) furtherFault(rng *rand.Rand) step {
	host := rng.IntN(c.hosts())
	switch rng.IntN(8) {
	case 0, 1, 2:
		return crashes(rng)
	case 3:
		return foreignRegistration(rng)
	case 4:
		kind, text := ownKinds[rng.IntN(len(ownKinds))], foreignTexts[rng.IntN(len(foreignTexts))]
		return foreignRecord(kind, fmt.Sprintf("foreign-%d", rng.Uint32()), text)
	case 5:
		return suspend(0, host, time.Duration(1+rng.Int64N(int64(longestSuspension))))
	case 6:
		return signals(rng, host)
	}
	return changes(rng)
}

// crashes lets some targets crash at the same moment, and return under their ids.
func crashes(rng *rand.Rand) step {
	n := 1 + rng.IntN(mostCrashes)
	draws := make([]uint32, n)
	for i := range draws {
		draws[i] = rng.Uint32()
	}
	down := time.Duration(50+rng.IntN(1500)) * time.Millisecond
	return step{
		name: fmt.Sprintf("targets %d crash for %s", draws, down),
		do: func(s *site) {
			for _, draw := range draws {
				s.asked(draw).crash(down)
			}
		},
	}
}

// foreignTexts are what another writer may leave in the store.
var foreignTexts = []string{`null`, `7`, `[]`, `"a"`, `{}`, `{"service":7}`, `{"service":"lists-0","address":["127.0.0.1:1"],"state":"ready"}`,
	`{"service":"lists-0","address":"nowhere","state":"ready","maxConcurrency":"4"}`, `{"state":"asleep","service":"lists-1","address":"127.0.0.1:1"}`}

// foreignRegistration puts a foreign entry over a target's registration for a time.
func foreignRegistration(rng *rand.Rand) step {
	draw, text := rng.Uint32(), foreignTexts[rng.IntN(len(foreignTexts))]
	return step{
		name: fmt.Sprintf("registration of target %d: %s", draw, text),
		do:   func(s *site) { s.store.Apply(platform.KindTargets, s.asked(draw).id, json.RawMessage(text)) },
		undo: func(s *site) { s.asked(draw).mustRegister() },
	}
}

// ownKinds are the kinds of records that hosts read.
var ownKinds = []string{objstore.KindGateway, objstore.KindMember, objstore.KindQuarantine, objstore.KindWindow, platform.KindTargets}

// foreignRecord puts a foreign entry among the records of a kind for a time.
func foreignRecord(kind, name, text string) step {
	return step{
		name: fmt.Sprintf("%s/%s: %s", kind, name, text),
		do:   func(s *site) { s.store.Apply(kind, name, json.RawMessage(text)) },
		undo: func(s *site) { s.store.Remove(kind, name) },
	}
}

// Times of leaveUnseen.
const (
	unseenAfter  = 50 * time.Millisecond  // from the end of the hosts, in which no other one takes over
	startedAfter = 300 * time.Millisecond // from the same until they start again
)

// leaveUnseen kills all hosts but one, and lets a target leave without a word before they start again: whoever reads the
// registry then does not hear of it. It draws from a stream of its own, so that the other faults of a seed stay as they were.
func (c Config) leaveUnseen() []step {
	started := startedAfter
	if c.Restores {
		started = restoredAfter
	}
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	stays, leaves := rng.IntN(c.hosts()), rng.IntN(replicas)
	all := []step{{at: unseenAfter, name: fmt.Sprintf("target %d of reservations leaves without a word", leaves), do: func(s *site) { s.targets[leaves].vanish() }}}
	for host := range c.hosts() {
		if host == stays {
			continue
		}
		all = append(all, step{
			last: started, name: fmt.Sprintf("host %d is killed", host),
			do: func(s *site) { s.hosts[host].signal(syscall.SIGKILL) }, undo: restart(host),
		})
	}
	return all
}

// suspend lets a host's process stand still. When it goes on its clock tells that more time has
// passed than its timers know of.
func suspend(at time.Duration, host int, asleep time.Duration) step {
	return step{
		at: at, last: 150 * time.Millisecond,
		name: fmt.Sprintf("host %d is suspended for %s", host, asleep),
		do: func(s *site) {
			s.hosts[host].signal(syscall.SIGSTOP)
			if err := s.hosts[host].sleep(asleep); err != nil {
				panic(err) // the folder is there
			}
		},
		undo: func(s *site) { s.hosts[host].signal(syscall.SIGCONT) },
	}
}

// signals sends a host a series of signals to reload, or to reload and to stop more than once.
func signals(rng *rand.Rand, host int) step {
	n, stops := 2+rng.IntN(mostInSeries-1), rng.IntN(2) == 0
	st := step{
		name: fmt.Sprintf("host %d gets %d signals, stops: %t", host, n, stops),
		do: func(s *site) {
			for i := range n {
				if stops && i%2 == 1 {
					s.hosts[host].signal(syscall.SIGTERM)
				} else {
					s.hosts[host].reload()
				}
				time.Sleep(seriesGap)
			}
		},
	}
	if stops {
		st.undo = restart(host)
	}
	return st
}

// changes writes a series of configurations.
func changes(rng *rand.Rand) step {
	n := 2 + rng.IntN(mostInSeries-1)
	return step{
		name: fmt.Sprintf("%d configurations", n),
		do: func(s *site) {
			for range n {
				s.configure()
				time.Sleep(seriesGap)
			}
		},
	}
}
