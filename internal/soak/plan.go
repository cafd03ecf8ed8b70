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

// Durations of the phases of a run.
const (
	warmUpDuration = 1500 * time.Millisecond // until hosts serve
	settleDuration = 4 * time.Second         // from the last fault until all guarantees must hold
	calmDuration   = 5 * time.Second         // planned work without faults
)

// step is one fault or one planned action.
type step struct {
	at       time.Duration
	duration time.Duration // until undo; 0: nothing to undo
	name     string
	do       func(*site)
	undo     func(*site)
}

// storm returns the faults of a seed, in overlapping series.
func (c Config) storm(rng *rand.Rand) []step {
	all := series(rng, c.Storm, c.basicFault)
	if c.AllFaults {
		all = append(all, series(rng, c.Storm, c.extraFault)...)
	}
	if c.Placement {
		all = append(all, c.placementStorm()...)
	}
	if c.Restores {
		all = append(all, c.restoreStorm()...)
	}
	return all
}

// series draws a series of overlapping faults over the total duration.
func series(rng *rand.Rand, total time.Duration, draw func(*rand.Rand) step) []step {
	var all []step
	for at := time.Duration(0); at < total; {
		s := draw(rng)
		s.at = at
		s.duration = min(time.Duration(200+rng.IntN(1500))*time.Millisecond, total-at)
		all = append(all, s)
		at += time.Duration(50+rng.IntN(300)) * time.Millisecond
	}
	return all
}

// basicFault draws one of the faults that occur with every configuration.
func (c Config) basicFault(rng *rand.Rand) step {
	host := rng.IntN(c.hosts())
	fault := ConnFault(1 + rng.IntN(int(connFaultCount)-1))
	switch rng.IntN(10) {
	case 0:
		return proxyFault(fmt.Sprintf("store of host %d", host), fault, func(s *site) *proxy { return s.storeProxies[host] })
	case 1:
		return proxyFault(fmt.Sprintf("callers of host %d", host), fault, func(s *site) *proxy { return s.callerProxies[host] })
	case 2, 3:
		draw := rng.Uint32()
		return proxyFault(fmt.Sprintf("target %d", draw), fault, func(s *site) *proxy { return s.targetByDraw(draw).proxy })
	case 4, 5, 6:
		return targetFault(rng)
	case 7:
		return storeFault(rng)
	case 8:
		return hostFault(rng, host)
	}
	return step{name: "configuration", do: (*site).publishNextConfig}
}

func proxyFault(name string, t ConnFault, of func(*site) *proxy) step {
	return step{
		name: fmt.Sprintf("%s: trouble %d", name, t),
		do:   func(s *site) { of(s).setFault(t) },
		undo: func(s *site) { of(s).setFault(NoConnFault) },
	}
}

// targetByDraw maps a random number to a target that receives requests: in a third of the cases a
// reservation target, otherwise a target of a shard. The targets of the version services are
// excluded, as those of past and future versions receive no requests.
func (s *site) targetByDraw(draw uint32) *targetServer {
	i := int(draw) / 3
	if draw%3 == 0 {
		return s.targets[i%targetsPerService]
	}
	return s.targets[targetsPerService+i%(shardCount*targetsPerService)]
}

// targetFaults are the faults of targets.
var targetFaults = []platformtarget.Faults{
	{Slow: 12}, {Silent: true}, {Fail: 0.5}, {Shed: 0.5}, {Lose: 0.5}, {Lose: 0.1}, {Cut: 0.5}, {Extra: 0.5}, {Unframed: 0.5}, {Impostor: true},
}

func targetFault(rng *rand.Rand) step {
	f := targetFaults[rng.IntN(len(targetFaults))]
	draw := rng.Uint32()
	of := func(s *site) *platformtarget.Target { return s.targetByDraw(draw).current() }
	return step{
		name: fmt.Sprintf("target %d: %+v", draw, f),
		do:   func(s *site) { of(s).SetFaults(f) },
		undo: func(s *site) { of(s).SetFaults(platformtarget.Faults{}) },
	}
}

// storeFaults are the faults of the store.
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
		return step{name: fmt.Sprintf("host %d stops", host), do: signal(syscall.SIGTERM), undo: restartHost(host)}
	case 2:
		return step{name: fmt.Sprintf("host %d reloads", host), do: func(s *site) { s.hosts[host].reload() }}
	}
	return step{name: fmt.Sprintf("host %d is killed", host), do: signal(syscall.SIGKILL), undo: restartHost(host)}
}

// restartHost starts a host again once it has ended. It resumes a stopped process first, so that
// the process can end.
func restartHost(host int) func(*site) {
	return func(s *site) {
		p := s.hosts[host]
		p.signal(syscall.SIGCONT)
		p.waitOrKill(stopGrace)
		if err := p.start(); err != nil {
			panic(err) // the binary was started before
		}
	}
}

// calm returns the planned work of the calm phase: a configuration change, a target that leaves, a
// host that is stopped and restarted, and a reload.
func (c Config) calm(rng *rand.Rand) []step {
	first := rng.IntN(c.hosts())
	second := (first + 1) % c.hosts()
	leaves := rng.IntN(shardCount)
	all := []step{
		{at: 0, name: "configuration", do: (*site).publishNextConfig},
		{at: 100 * time.Millisecond, name: "target leaves", do: func(s *site) { s.drainFirstTarget(shardService(leaves)) }},
		{at: 300 * time.Millisecond, name: "reload", do: func(s *site) { s.hosts[second].reload() }},
		{at: 500 * time.Millisecond, duration: 200 * time.Millisecond, name: "host stops",
			do: func(s *site) { s.hosts[first].signal(syscall.SIGTERM) }, undo: restartHost(first)},
	}
	if c.AllFaults {
		all = append(all, suspendHost(700*time.Millisecond, (first+2)%c.hosts(), maxSuspension))
		strayObject := foreignObject(platform.KindTargets, "stray", foreignValues[rng.IntN(len(foreignValues))])
		strayObject.undo = nil
		all = append(all, strayObject)
	}
	if c.Placement {
		all = append(all, c.placementCalm()...)
	}
	return all
}

// drainFirstTarget drains the first target of a service.
func (s *site) drainFirstTarget(service string) {
	for _, t := range s.targets {
		if t.service == service {
			if err := t.drain(); err != nil {
				panic(err) // a registration always encodes
			}
			return
		}
	}
}
