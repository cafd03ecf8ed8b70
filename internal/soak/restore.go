package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Restores: the store goes away and comes back from a copy some seconds old. Operator and targets write again what
// they wrote since.
const (
	copyEvery  = 250 * time.Millisecond // between two copies of the store
	oldestCopy = 6 * time.Second
	targetBeat = 1200 * time.Millisecond // within which a target writes its registration again
	lapseTime  = 3 * targetBeat          // after which a registration that nobody writes is gone
)

// restoreStream is the stream of a seed's random numbers that restores draw from.
const restoreStream = 3

// fewerRestores is how many times fewer restores there are than faults of another series.
const fewerRestores = 6

// restoreStorm returns the restores of the storm.
func (c Config) restoreStorm() []step {
	rng := rand.New(rand.NewPCG(c.Seed, restoreStream))
	var all []step
	for i, st := range series(rng, c.Storm, restoreFault) {
		if i%fewerRestores == 0 {
			all = append(all, st)
		}
	}
	return all
}

// knownAfter is how long the host that stays runs before lastRestore, so that it knows the target that leaves.
const knownAfter = 2 * time.Second

// Times of lastRestore, from the end of the hosts but one.
const (
	heardAfter    = 2500 * time.Millisecond // until the one that stays has heard of the target that left
	restoredAfter = 2750 * time.Millisecond // until the others start, while the store is away
)

// lastRestore is a restore after the storm. The hosts that start then find the target in the copy that has left before; the
// one that stays knows.
func (c Config) lastRestore() step {
	st := restoreFault(rand.New(rand.NewPCG(c.Seed, restoreStream)))
	st.at, st.last = heardAfter, 300*time.Millisecond
	return st
}

// restoreFault draws how the store is away, and the age of the copy that it comes back from.
func restoreFault(rng *rand.Rand) step {
	outages := []objectstore.Outage{objectstore.OutageUnavailable, objectstore.OutageCut, objectstore.OutageHang}
	outage := outages[rng.IntN(len(outages))]
	age := copyEvery + time.Duration(rng.Int64N(int64(oldestCopy-copyEvery)))
	beats := rng.Uint64()
	return step{
		name: fmt.Sprintf("store: %s, then back from a copy of %s before", outage, age),
		do:   func(s *site) { s.store.SetFaults(objectstore.Faults{Outage: outage}) },
		undo: func(s *site) { s.restore(age, rand.New(rand.NewPCG(beats, 0))) },
	}
}

// storeConfig is that of the site's store.
func (c Config) storeConfig() objectstore.Config {
	cfg := objectstore.DefaultConfig()
	if c.Restores {
		cfg.CopyEvery, cfg.OldestCopy = unit.Duration(copyEvery), unit.Duration(oldestCopy)
	}
	return cfg
}

// restore brings the store back from a copy of some age. What the operator wrote is written again at once, what targets
// wrote with their next beat.
func (s *site) restore(age time.Duration, rng *rand.Rand) {
	s.mu.Lock()
	if err := s.store.RestoreOlder(age); err != nil {
		panic(err) // it keeps copies from the start
	}
	s.rewriteOperator()
	s.mu.Unlock()
	s.store.SetFaults(objectstore.Faults{})
	for _, t := range s.targets {
		wait := time.Duration(rng.Int64N(int64(targetBeat)))
		s.returning.Go(func() {
			time.Sleep(wait)
			t.writeAgain()
		})
	}
}

// rewriteOperator writes the newest configuration and evacuations again; s.mu is held.
func (s *site) rewriteOperator() {
	if err := s.apply(platform.KindConfig, platform.NameConfig, s.configuration(s.version)); err != nil {
		panic(err) // the configuration always has a JSON form
	}
	for d := range domains {
		name := domainName(d)
		if _, evacuated := s.evacuated[name]; !evacuated {
			s.store.Remove(platform.KindEvacuations, name)
			continue
		}
		if err := s.apply(platform.KindEvacuations, name, struct{}{}); err != nil {
			panic(err) // an empty object always has a JSON form
		}
	}
}

// writeAgain writes the target's registration; one that it has removed lapses.
func (t *targetServer) writeAgain() {
	t.mustRegister()
	t.mu.Lock()
	vanished := t.vanished
	t.mu.Unlock()
	if vanished {
		time.Sleep(lapseTime)
		t.site.store.Remove(platform.KindTargets, t.id)
	}
}
