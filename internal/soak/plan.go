package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/standin/platformtarget"
	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Times of the phases of a run.
const (
	warmTime   = 1500 * time.Millisecond // until hosts serve
	settleTime = 4 * time.Second         // from the last trouble until all must be well again
	calmTime   = 5 * time.Second         // of planned work without trouble
)

// step is one fault or one planned act, from a moment of the run on.
type step struct {
	at   time.Duration
	last time.Duration // after which it is undone; 0: it undoes itself
	name string
	do   func(*site)
	undo func(*site)
}

// storm returns the faults of a seed, in series that overlap.
func (c Config) storm(rng *rand.Rand) []step {
	all := series(rng, c.Storm, c.fault)
	if c.AllFaults {
		all = append(all, series(rng, c.Storm, c.furtherFault)...)
	}
	if c.Placement {
		all = append(all, c.placementStorm()...)
	}
	if c.Restores {
		all = append(all, c.restoreStorm()...)
	}
	return all
}

// series draws one fault after another over a time; they overlap.
func series(rng *rand.Rand, lasts time.Duration, draw func(*rand.Rand) step) []step {
	var all []step
	for at := time.Duration(0); at < lasts; {
		s := draw(rng)
		s.at = at
		s.last = min(time.Duration(200+rng.IntN(1500))*time.Millisecond, lasts-at)
		all = append(all, s)
		at += time.Duration(50+rng.IntN(300)) * time.Millisecond
	}
	return all
}

// fault draws one of the faults that each seed has.
func (c Config) fault(rng *rand.Rand) step {
	host := rng.IntN(c.hosts())
	trouble := Trouble(1 + rng.IntN(int(troubleKind)-1))
	switch rng.IntN(10) {
	case 0:
		return proxyFault(fmt.Sprintf("store of host %d", host), trouble, func(s *site) *proxy { return s.stores[host] })
	case 1:
		return proxyFault(fmt.Sprintf("callers of host %d", host), trouble, func(s *site) *proxy { return s.fronts[host] })
	case 2, 3:
		draw := rng.Uint32()
		return proxyFault(fmt.Sprintf("target %d", draw), trouble, func(s *site) *proxy { return s.asked(draw).proxy })
	case 4, 5, 6:
		return targetFault(rng)
	case 7:
		return storeFault(rng)
	case 8:
		return hostFault(rng, host)
	}
	return step{name: "configuration", do: (*site).configure}
}

func proxyFault(name string, t Trouble, of func(*site) *proxy) step {
	return step{
		name: fmt.Sprintf("%s: trouble %d", name, t),
		do:   func(s *site) { of(s).set(t) },
		undo: func(s *site) { of(s).set(NoTrouble) },
	}
}

// asked returns a target by a random number, one of those that requests go to: a
// third of the time one of the targets of reservations, which run once only, else one
// of a shard. Those of old and coming versions are asked for nothing.
func (s *site) asked(draw uint32) *targetServer {
	i := int(draw) / 3
	if draw%3 == 0 {
		return s.targets[i%replicas]
	}
	return s.targets[replicas+i%(shards*replicas)]
}

// targetFaults are what targets do wrong.
var targetFaults = []platformtarget.Faults{
	{Slow: 12}, {Silent: true}, {Fail: 0.5}, {Shed: 0.5}, {Lose: 0.5}, {Lose: 0.1}, {Cut: 0.5}, {Extra: 0.5}, {Unframed: 0.5}, {Impostor: true},
}

func targetFault(rng *rand.Rand) step {
	f := targetFaults[rng.IntN(len(targetFaults))]
	draw := rng.Uint32()
	of := func(s *site) *platformtarget.Target { return s.asked(draw).current() }
	return step{
		name: fmt.Sprintf("target %d: %+v", draw, f),
		do:   func(s *site) { of(s).SetFaults(f) },
		undo: func(s *site) { of(s).SetFaults(platformtarget.Faults{}) },
	}
}

// storeFaults are what the store does wrong.
var storeFaults = []objectstore.Faults{
	{Outage: objectstore.OutageUnavailable}, {Outage: objectstore.OutageCut}, {Outage: objectstore.OutageHang},
	{DeafWatches: true}, {LoseProbability: 0.5}, {LateProbability: 0.5, LateDelay: unit.Duration(time.Second)},
	{Latency: standin.Latency{Mean: unit.Duration(300 * time.Millisecond)}},
}

func storeFault(rng *rand.Rand) step {
	f := storeFaults[rng.IntN(len(storeFaults))]
	return step{
		name: fmt.Sprintf("store: %+v", f),
		do:   func(s *site) { s.store.SetFaults(f) },
		undo: func(s *site) { s.store.SetFaults(objectstore.Faults{}) },
	}
}

// hostFault draws a signal to a host.
func hostFault(rng *rand.Rand, host int) step {
	signal := func(sig syscall.Signal) func(*site) { return func(s *site) { s.hosts[host].signal(sig) } }
	switch rng.IntN(4) {
	case 0:
		return step{name: fmt.Sprintf("host %d pauses", host), do: signal(syscall.SIGSTOP), undo: signal(syscall.SIGCONT)}
	case 1:
		return step{name: fmt.Sprintf("host %d stops", host), do: signal(syscall.SIGTERM), undo: restart(host)}
	case 2:
		return step{name: fmt.Sprintf("host %d reloads", host), do: func(s *site) { s.hosts[host].reload() }}
	}
	return step{name: fmt.Sprintf("host %d is killed", host), do: signal(syscall.SIGKILL), undo: restart(host)}
}

// restart starts a host again once it has ended. A paused one is woken, so that
// it can end.
func restart(host int) func(*site) {
	return func(s *site) {
		p := s.hosts[host]
		p.signal(syscall.SIGCONT)
		p.await(stopGrace)
		if err := p.start(); err != nil {
			panic(err) // the binary was started before
		}
	}
}

// calm returns the planned work of the time without trouble: a change of the
// configuration, a target that leaves, a host that is stopped and started again, a
// reload.
func (c Config) calm(rng *rand.Rand) []step {
	first := rng.IntN(c.hosts())
	second := (first + 1) % c.hosts()
	leaves := rng.IntN(shards)
	all := []step{
		{at: 0, name: "configuration", do: (*site).configure},
		{at: 100 * time.Millisecond, name: "target leaves", do: func(s *site) { s.leave(shardName(leaves)) }},
		{at: 300 * time.Millisecond, name: "reload", do: func(s *site) { s.hosts[second].reload() }},
		{at: 500 * time.Millisecond, last: 200 * time.Millisecond, name: "host stops",
			do: func(s *site) { s.hosts[first].signal(syscall.SIGTERM) }, undo: restart(first)},
	}
	if c.AllFaults {
		all = append(all, suspend(700*time.Millisecond, (first+2)%c.hosts(), longestSuspension))
		stays := foreignRecord(platform.KindTargets, "stray", foreignTexts[rng.IntN(len(foreignTexts))])
		stays.undo = nil
		all = append(all, stays)
	}
	if c.Placement {
		all = append(all, c.placementCalm()...)
	}
	return all
}

// leave lets the first target of a service leave.
func (s *site) leave(service string) {
	for _, t := range s.targets {
		if t.service == service {
			if err := t.drain(); err != nil {
				panic(err) // a registration always has a JSON form
			}
			return
		}
	}
}
