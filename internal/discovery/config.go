package discovery

import (
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config tells how the store is followed.
type Config struct {
	// ApplyWithin is the time within which a change in the store must be in
	// force on every host. The waits and timeouts follow from it and LeaveWithin.
	ApplyWithin unit.Duration `json:"apply_within"`
	// LeaveWithin is the time within which a target that has said that it leaves must
	// get no new work from any host.
	LeaveWithin unit.Duration `json:"leave_within"`
	// EvacuateWithin is the time within which nothing more may be sent to the targets of a failure
	// domain that is evacuated, by any host; 0: evacuations are not asked for.
	EvacuateWithin unit.Duration `json:"evacuate_within"`
	// RegistrationBeat is the time between two writes of a target's registration.
	RegistrationBeat unit.Duration `json:"registration_beat"`
	// HostsPerWatcher is how many hosts share one host that watches the store.
	// Calls to the store are paid for, waiting watches included.
	HostsPerWatcher int `json:"hosts_per_watcher"`
	// RetryFirst and RetryMost bound the time between failed calls.
	RetryFirst unit.Duration `json:"retry_first"`
	RetryMost  unit.Duration `json:"retry_most"`
	// CallSpacing is the mean time between the failed calls of all hosts that
	// do not watch, for each line of calls.
	CallSpacing unit.Duration `json:"call_spacing"`
	// StartSpread is the time over which hosts that start together and know no
	// other one turn to the store; those whose turn comes late are told by the
	// first. It holds up service after a loss of all hosts.
	StartSpread unit.Duration `json:"start_spread"`
	// Settle is for how long a host that starts leaves the store alone, so that hosts
	// that start together have met and few of them turn to it. It holds up service, so
	// it is more than 0 only where the whole site starts for the first time.
	Settle unit.Duration `json:"settle"`
}

// Defaults of the settings.
const (
	defaultApplyWithin     = 3 * time.Second
	defaultLeaveWithin     = 3 * time.Second
	defaultBeat            = 1200 * time.Millisecond
	defaultHostsPerWatcher = 96 // about 100 long polls a second, under 1 % of a core
	defaultRetryFirst      = 50 * time.Millisecond
	defaultRetryMost       = 250 * time.Millisecond // of one or a few hosts; the others wait longer
	defaultCallSpacing     = 250 * time.Millisecond // 4 calls a second of the fleet
	defaultStartSpread     = 60 * time.Millisecond  // a host is told within a few ms once it knows another
	leastApplyWithin       = 500 * time.Millisecond
	mostApplyWithin        = time.Minute
)

// DefaultConfig returns the settings of a small site.
func DefaultConfig() Config {
	return Config{
		ApplyWithin:      unit.Duration(defaultApplyWithin),
		LeaveWithin:      unit.Duration(defaultLeaveWithin),
		RegistrationBeat: unit.Duration(defaultBeat),
		HostsPerWatcher:  defaultHostsPerWatcher,
		RetryFirst:       unit.Duration(defaultRetryFirst),
		RetryMost:        unit.Duration(defaultRetryMost),
		CallSpacing:      unit.Duration(defaultCallSpacing),
		StartSpread:      unit.Duration(defaultStartSpread),
	}
}

// Validate reports every problem of the settings.
func (c Config) Validate() error {
	var problems []error
	if w := c.ApplyWithin.Std(); w < leastApplyWithin || w > mostApplyWithin {
		problems = append(problems, Error.New("apply_within %s: want %s to %s", w, leastApplyWithin, mostApplyWithin))
	}
	if w := c.LeaveWithin.Std(); w < leastApplyWithin || w > mostApplyWithin {
		problems = append(problems, Error.New("leave_within %s: want %s to %s", w, leastApplyWithin, mostApplyWithin))
	}
	if w := c.EvacuateWithin.Std(); w != 0 && (w < leastApplyWithin || w > mostApplyWithin) {
		problems = append(problems, Error.New("evacuate_within %s: want %s to %s, or 0s", w, leastApplyWithin, mostApplyWithin))
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

// within is the time in which a host must know of any change.
func (c Config) within() time.Duration {
	within := min(c.ApplyWithin, c.LeaveWithin)
	if c.followsEvacuations() {
		within = min(within, c.EvacuateWithin)
	}
	return within.Std()
}

// followsEvacuations reports whether evacuations are asked for.
func (c Config) followsEvacuations() bool { return c.EvacuateWithin > 0 }

// keepEvacuations is for how long an evacuation that an older copy of the store lacks is kept. The operator writes it
// again well before.
func (c Config) keepEvacuations() time.Duration { return 2 * c.EvacuateWithin.Std() }

// permitsFor is for how long a host without news of the registry goes by permits to send to cold targets: the time in which
// it must know of any change.
func (c Config) permitsFor() time.Duration { return c.within() }

// lapseAfter is the least time without the store after which a registration may have lapsed though
// its target lives: it lapses after three beats of silence, and was written up to one beat before.
func (c Config) lapseAfter() time.Duration { return 2 * c.RegistrationBeat.Std() }

// watchWait is how long one watch waits for a change. A watch may be deaf to
// changes, so this bounds for how long one is believed: a third of the time
// in which a change must be in force.
func (c Config) watchWait() time.Duration { return c.within() / 3 }

// shortestWatch is the least wait of a watch that is cut short to prove an old
// belief.
func (c Config) shortestWatch() time.Duration { return c.watchWait() / 4 }

// proveWithin is the age up to which a host that watches proves its beliefs anew:
// staleAfter less the time for which a peer may hold a question, and a thirtieth
// of within for the way.
func (c Config) proveWithin() time.Duration { return c.within() * 4 / 10 }

// peerWait is how long a peer holds a request for news. It bounds how late the
// loss of that peer is noticed.
func (c Config) peerWait() time.Duration { return c.within() / 6 }

// peerTimeout bounds one call to a peer; half of the wait more than the wait.
func (c Config) peerTimeout() time.Duration { return c.within() / 4 }

// staleAfter is the age of the beliefs from which the host asks the store
// itself: more than a watch's and a peer's wait together, by a tenth of
// within for slow answers. The rest is left for its own calls.
func (c Config) staleAfter() time.Duration { return c.within() * 6 / 10 }

// staleStep is the time between two hosts of a group that turn to the store because
// their beliefs are old: one that is answered tells the others. Where 295 hosts turned to it
// at once, an outage of 4.5 s took 810 calls, counted in virtual time.
func (c Config) staleStep() time.Duration { return c.within() / 40 }

// hurryAfter is the age of the beliefs from which a peer is asked in short turns, so that
// one that knows better is found before the store must be asked.
func (c Config) hurryAfter() time.Duration { return c.staleAfter() * 9 / 10 }

// hurriedWait is peerWait of a host in a hurry.
func (c Config) hurriedWait() time.Duration { return c.peerWait() / 10 }

// watcherBack is the time from the end of an outage within which a host that watches has read everything: its longest pause
// between two calls, drawn at up to one and a half times RetryMost, and the reading.
func (c Config) watcherBack() time.Duration { return c.RetryMost.Std()*3/2 + coldStep }

// batchWait is the time between a watch that found changes of the registry and
// the next one. Targets that start or leave together are then read together: at
// the start of 118 targets three watching hosts made 354 calls without it,
// counted at the store.
func (c Config) batchWait() time.Duration { return c.within() / 12 }
