package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

// Times of restores: the store becomes unavailable and is then restored from a backup that is some
// seconds old. The operator and the targets repeat the writes that were lost.
const (
	backupInterval       = 250 * time.Millisecond // between two backups of the store
	maxBackupAge         = 6 * time.Second
	registrationInterval = 1200 * time.Millisecond  // maximum time until a target writes its registration again
	registrationTTL      = 3 * registrationInterval // after which a registration that isn't renewed is removed
)

// restoreStream selects the random number stream of restores.
const restoreStream = 3

// restoreDivisor keeps one of this many restores of a series.
const restoreDivisor = 6

// restoreStorm returns the restores of the storm phase.
func (c Config) restoreStorm() []step {
	rng := rand.New(rand.NewPCG(c.Seed, restoreStream))
	var all []step
	for i, st := range series(rng, c.Storm, restoreFault) {
		if i%restoreDivisor == 0 {
			all = append(all, st)
		}
	}
	return all
}

// survivorRunTime is how long the surviving host runs before finalRestore, so that it has observed
// the target that is going to leave.
const survivorRunTime = 2 * time.Second

// Times of finalRestore, measured from the kill of all hosts but one.
const (
	finalRestoreDelay       = 2500 * time.Millisecond // the surviving host has observed the removal of the target by then
	restartDelayWithRestore = 2750 * time.Millisecond // start of the other hosts, while the store is unavailable
)

// finalRestore is a restore after the storm. The hosts that start after it read a backup that
// still contains the target that has left; the surviving host has observed the removal.
func (c Config) finalRestore() step {
	st := restoreFault(rand.New(rand.NewPCG(c.Seed, restoreStream)))
	st.at, st.duration = finalRestoreDelay, 300*time.Millisecond
	return st
}

// restoreFault draws the failure mode of the store and the age of the backup.
func restoreFault(rng *rand.Rand) step {
	outages := []objectstore.Outage{objectstore.OutageUnavailable, objectstore.OutageCut, objectstore.OutageHang}
	outage := outages[rng.IntN(len(outages))]
	age := backupInterval + time.Duration(rng.Int64N(int64(maxBackupAge-backupInterval)))
	delaySeed := rng.Uint64()
	return step{
		name: fmt.Sprintf("store: %s, then back from a copy of %s before", outage, age),
		do:   func(s *site) { s.store.SetFaults(objectstore.Faults{Outage: outage}) },
		undo: func(s *site) { s.restore(age, rand.New(rand.NewPCG(delaySeed, 0))) },
	}
}

// storeConfig returns the configuration of the site's store.
func (c Config) storeConfig() objectstore.Config {
	cfg := objectstore.DefaultConfig()
	if c.Restores {
		cfg.BackupInterval, cfg.MaxBackupAge = unit.Duration(backupInterval), unit.Duration(maxBackupAge)
	}
	return cfg
}

// restore restores the store from a backup of the given age. The operator's writes are repeated at
// once, those of each target within registrationInterval.
func (s *site) restore(age time.Duration, rng *rand.Rand) {
	s.mu.Lock()
	if err := s.store.RestoreBackup(age); err != nil {
		panic(err) // the store has backups from the start
	}
	s.rewriteOperatorRecordsLocked()
	s.mu.Unlock()
	s.store.SetFaults(objectstore.Faults{})
	for _, t := range s.targets {
		wait := time.Duration(rng.Int64N(int64(registrationInterval)))
		s.pendingTargetWork.Go(func() {
			time.Sleep(wait)
			t.reregister()
		})
	}
}

// rewriteOperatorRecordsLocked writes the newest configuration and the current evacuations again;
// s.mu must be held.
func (s *site) rewriteOperatorRecordsLocked() {
	if err := s.apply(platform.KindConfig, platform.NameConfig, s.configuration(s.version)); err != nil {
		panic(err) // the configuration always encodes
	}
	for d := range domainCount {
		name := domainName(d)
		if _, evacuated := s.evacuatedSince[name]; !evacuated {
			s.store.Remove(platform.KindEvacuations, name)
			continue
		}
		if err := s.apply(platform.KindEvacuations, name, struct{}{}); err != nil {
			panic(err) // an empty object always encodes
		}
	}
}

// reregister writes the target's registration again. If the target had removed it, the restored
// registration expires after registrationTTL.
func (t *targetServer) reregister() {
	t.mustRegister()
	t.mu.Lock()
	vanished := t.unregistered
	t.mu.Unlock()
	if vanished {
		time.Sleep(registrationTTL)
		t.site.store.Remove(platform.KindTargets, t.id)
	}
}
