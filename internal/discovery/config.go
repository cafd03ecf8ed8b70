package discovery

import (
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config contains the settings for following the store.
type Config struct {
	// ApplyWithin is the time within which a change in the store must be in force on every host.
	// The waits and timeouts are derived from ApplyWithin, LeaveWithin and EvacuateWithin.
	ApplyWithin unit.Duration `json:"apply_within"`
	// LeaveWithin is the time within which a target that has announced that it is leaving must get
	// no new work from any host.
	LeaveWithin unit.Duration `json:"leave_within"`
	// EvacuateWithin is the time within which no host may send to the targets of an evacuated
	// failure domain any more. 0 disables evacuations: they are not read.
	EvacuateWithin unit.Duration `json:"evacuate_within"`
	// RegistrationBeat is the time between two writes of a target's registration.
	RegistrationBeat unit.Duration `json:"registration_beat"`
	// HostsPerWatcher is the number of hosts for each host that watches the store. Calls to the
	// store are billed, waiting watches included.
	HostsPerWatcher int `json:"hosts_per_watcher"`
	// RetryFirst and RetryMost are the least and the greatest delay between failed calls.
	RetryFirst unit.Duration `json:"retry_first"`
	RetryMost  unit.Duration `json:"retry_most"`
	// CallSpacing is the mean time between the failed calls of all non-watching hosts together, for
	// each feed.
	CallSpacing unit.Duration `json:"call_spacing"`
	// StartSpread is the time over which hosts that start together, and know no other host, spread
	// their first read of the store. Hosts with a later slot get the state from the first. It
	// delays service after a loss of all hosts.
	StartSpread unit.Duration `json:"start_spread"`
	// Settle is how long a starting host does not read the store, so that hosts that start together
	// discover each other first and few of them read it. It delays service, so it is more than 0
	// only where a whole site starts for the first time.
	Settle unit.Duration `json:"settle"`
	// FollowRollouts is set if rollout orders and the versions of targets are followed. It comes from other settings.
	FollowRollouts bool `json:"-"`
	// RollBackWithin is the time within which no host may send to a bad version any more. It comes from
	// other settings, and counts only if FollowRollouts is set.
	RollBackWithin unit.Duration `json:"-"`
}

// Defaults and limits of the settings.
const (
	defaultApplyWithin      = 3 * time.Second
	defaultLeaveWithin      = 3 * time.Second
	defaultRegistrationBeat = 1200 * time.Millisecond
	defaultHostsPerWatcher  = 96 // about 100 long polls a second, under 1 % of a core
	defaultRetryFirst       = 50 * time.Millisecond
	defaultRetryMost        = 250 * time.Millisecond // for watching hosts; the others wait longer
	defaultCallSpacing      = 250 * time.Millisecond // 4 calls a second from the fleet
	defaultStartSpread      = 60 * time.Millisecond  // a host gets the state within a few ms of discovering another
	minApplyWithin          = 500 * time.Millisecond
	maxApplyWithin          = time.Minute
)

// DefaultConfig returns the settings for a small site.
func DefaultConfig() Config {
	return Config{
		ApplyWithin:      unit.Duration(defaultApplyWithin),
		LeaveWithin:      unit.Duration(defaultLeaveWithin),
		RegistrationBeat: unit.Duration(defaultRegistrationBeat),
		HostsPerWatcher:  defaultHostsPerWatcher,
		RetryFirst:       unit.Duration(defaultRetryFirst),
		RetryMost:        unit.Duration(defaultRetryMost),
		CallSpacing:      unit.Duration(defaultCallSpacing),
		StartSpread:      unit.Duration(defaultStartSpread),
	}
}

// Validate returns all problems of the settings.
func (c Config) Validate() error {
	var problems []error
	if w := c.ApplyWithin.Std(); w < minApplyWithin || w > maxApplyWithin {
		problems = append(problems, Error.New("apply_within %s: want %s to %s", w, minApplyWithin, maxApplyWithin))
	}
	if w := c.LeaveWithin.Std(); w < minApplyWithin || w > maxApplyWithin {
		problems = append(problems, Error.New("leave_within %s: want %s to %s", w, minApplyWithin, maxApplyWithin))
	}
	if w := c.EvacuateWithin.Std(); w != 0 && (w < minApplyWithin || w > maxApplyWithin) {
		problems = append(problems, Error.New("evacuate_within %s: want %s to %s, or 0s", w, minApplyWithin, maxApplyWithin))
	}
	if c.RegistrationBeat <= 0 {
		problems = append(problems, Error.New("registration_beat %s: want more than 0", c.RegistrationBeat))
	}
	if c.HostsPerWatcher < 1 {
		problems = append(problems, Error.New("hosts_per_watcher %d: want at least 1", c.HostsPerWatcher))
	}
	if c.RetryFirst <= 0 || c.RetryMost < c.RetryFirst {
		problems = append(problems, Error.New("retry_first %s, retry_most %s: want more than 0, and the second not below the first", c.RetryFirst, c.RetryMost))
	}
	if c.CallSpacing < 0 {
		problems = append(problems, Error.New("call_spacing %s: want 0 or more", c.CallSpacing))
	}
	if c.StartSpread < 0 {
		problems = append(problems, Error.New("start_spread %s: want 0 or more", c.StartSpread))
	}
	if c.Settle < 0 {
		problems = append(problems, Error.New("settle %s: want 0 or more", c.Settle))
	}
	return errors.Join(problems...)
}

// propagationBound is the time within which a host must have received any change.
func (c Config) propagationBound() time.Duration {
	bound := min(c.ApplyWithin, c.LeaveWithin)
	if c.followsEvacuations() {
		bound = min(bound, c.EvacuateWithin)
	}
	if c.FollowRollouts {
		bound = min(bound, c.RollBackWithin)
	}
	return bound.Std()
}

// followsEvacuations reports whether evacuations are read.
func (c Config) followsEvacuations() bool { return c.EvacuateWithin > 0 }

// evacuationRetention is how long an evacuation is kept that is missing in an older copy of the
// store. The operator writes it again well before.
func (c Config) evacuationRetention() time.Duration { return 2 * c.EvacuateWithin.Std() }

// orderRetention is how long an order is kept that is missing in an older copy of the store: like an evacuation.
func (c Config) orderRetention() time.Duration {
	if c.followsEvacuations() {
		return c.evacuationRetention()
	}
	return 2 * c.propagationBound()
}

// permitValidity is how long a host that has not reread the registry may use permits for cold
// targets: the time within which it must have received any change.
func (c Config) permitValidity() time.Duration { return c.propagationBound() }

// lapseAfter is the shortest time without the store after which the registration of a running
// target may have lapsed. It lapses after three beats without a write, and was last written up to
// one beat before.
func (c Config) lapseAfter() time.Duration { return 2 * c.RegistrationBeat.Std() }

// watchWait is how long one watch waits for a change: a third of propagationBound. A watch may
// silently miss changes, so this limits how long the result of one is trusted.
func (c Config) watchWait() time.Duration { return c.propagationBound() / 3 }

// minWatchWait is the least wait of a watch that is shortened in order to confirm old state sooner.
func (c Config) minWatchWait() time.Duration { return c.watchWait() / 4 }

// reconfirmAge is the age up to which a watching host confirms its state again: staleAfter less the
// time for which a peer may hold a poll, and a thirtieth of propagationBound for transit.
func (c Config) reconfirmAge() time.Duration { return c.propagationBound() * 4 / 10 }

// peerPollWait is how long a peer holds a poll. It limits how late the loss of that peer is
// detected.
func (c Config) peerPollWait() time.Duration { return c.propagationBound() / 6 }

// peerPollTimeout limits one poll of a peer: one and a half times its wait.
func (c Config) peerPollTimeout() time.Duration { return c.propagationBound() / 4 }

// staleAfter is the age of the state from which the host reads the store itself. It exceeds the
// waits of a watch and of a poll together by a tenth of propagationBound, for slow answers. The
// rest of the bound is left for the host's own calls.
func (c Config) staleAfter() time.Duration { return c.propagationBound() * 6 / 10 }

// staleReadStagger is the delay between two hosts of a group that turn to the store because their
// state is stale: one that gets an answer passes it on to the others. When 295 hosts did so at
// once, an outage of 4.5 s took 810 calls in a simulation.
func (c Config) staleReadStagger() time.Duration { return c.propagationBound() / 40 }

// shortPollAfter is the age of the state from which peers are polled with a short wait, so that one
// with newer state is found before the store must be read.
func (c Config) shortPollAfter() time.Duration { return c.staleAfter() * 9 / 10 }

// shortPollWait is peerPollWait from that age on.
func (c Config) shortPollWait() time.Duration { return c.peerPollWait() / 10 }

// watcherRecoveryTime is the time after the end of an outage within which a watching host has read
// everything: its longest delay between two calls, randomized up to one and a half times RetryMost,
// and the read itself.
func (c Config) watcherRecoveryTime() time.Duration { return c.RetryMost.Std()*3/2 + coldReadStagger }

// watchBatchDelay is the time between a watch that found changes of the registry and the next one,
// so that targets that start or leave together are read together. Without it, three watching hosts
// made 354 store calls at the start of 118 targets.
func (c Config) watchBatchDelay() time.Duration { return c.propagationBound() / 12 }
