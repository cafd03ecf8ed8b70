package claim

import (
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// MaxHorizon is the longest horizon that a host may be configured with, and
// removeAfter the age at which a record may be removed. Both are constants
// because hosts with different settings share the same records: a record must
// outlive the horizon of every host, whatever the settings of that host are.
const (
	MaxHorizon  = 48 * time.Hour
	removeAfter = MaxHorizon + 12*time.Hour
)

// Config holds the settings for reservations.
type Config struct {
	Horizon                unit.Duration `json:"horizon"`       // age from which a reservation id is refused; at most MaxHorizon
	MaxAhead               unit.Duration `json:"max_ahead"`     // how far an id's time may be ahead of the platform's clock
	RetryAfter             unit.Duration `json:"retry_after"`   // retry-after hint to callers during a platform outage
	RetryMin               unit.Duration `json:"retry_min"`     // delay before the first retry of a platform call
	RetryMax               unit.Duration `json:"retry_max"`     // longest delay between retries
	OutcomeWait            unit.Duration `json:"outcome_wait"`  // longest time that a reply is delayed until its outcome is written
	BackgroundWriteTimeout unit.Duration `json:"give_up_after"` // time after which a background write is abandoned
	StopTimeout            unit.Duration `json:"stop_timeout"`  // time that a stopping host has to finish its background writes
	MaxBackgroundWrites    int           `json:"background"`    // maximum number of concurrent background writes
	MemoryRetention        unit.Duration `json:"remember"`      // how long an ended attempt stays in memory to answer repeats
	MaxRemembered          int           `json:"remember_max"`  // maximum number of ended attempts in memory
	SweepInterval          unit.Duration `json:"sweep_every"`   // mean time between two sweep rounds of a sweeping host
	Sweepers               int           `json:"sweepers"`      // number of hosts that remove old records; 0 disables the sweep
	MaxSweepCalls          int           `json:"sweep_calls"`   // maximum number of platform calls in a sweep round
	SweepRate              float64       `json:"sweep_rate"`    // platform calls per second of a sweeping host
}

// DefaultConfig returns the settings that apply where a settings file sets
// none.
func DefaultConfig() Config {
	return Config{
		Horizon:                unit.Duration(24 * time.Hour),
		MaxAhead:               unit.Duration(5 * time.Minute),
		RetryAfter:             unit.Duration(time.Second),
		RetryMin:               unit.Duration(10 * time.Millisecond),
		RetryMax:               unit.Duration(5 * time.Second),
		OutcomeWait:            unit.Duration(50 * time.Millisecond),
		BackgroundWriteTimeout: unit.Duration(15 * time.Minute),
		StopTimeout:            unit.Duration(10 * time.Second),
		MaxBackgroundWrites:    4096,
		MemoryRetention:        unit.Duration(10 * time.Minute),
		MaxRemembered:          20000,
		SweepInterval:          unit.Duration(time.Minute),
		Sweepers:               2,
		MaxSweepCalls:          1200,
		SweepRate:              20,
	}
}

// Validate returns all invalid settings of c, joined in one error.
func (c Config) Validate() error {
	var problems []error
	check := func(ok bool, text string) {
		if !ok {
			problems = append(problems, Error.New("%s", text))
		}
	}
	check(c.Horizon > 0 && c.Horizon.Std() <= MaxHorizon, "horizon: want more than 0 and at most "+MaxHorizon.String())
	check(c.MaxAhead >= 0 && c.MaxAhead.Std() <= time.Hour, "max_ahead: want 0 to 1h")
	check(c.RetryAfter > 0, "retry_after: want more than 0")
	check(c.RetryMin > 0 && c.RetryMin <= c.RetryMax, "retry_min: want more than 0 and at most retry_max")
	check(c.OutcomeWait >= 0, "outcome_wait: want 0 or more")
	check(c.BackgroundWriteTimeout > 0, "give_up_after: want more than 0")
	check(c.StopTimeout > 0, "stop_timeout: want more than 0")
	check(c.MaxBackgroundWrites > 0, "background: want more than 0")
	check(c.MemoryRetention > 0, "remember: want more than 0")
	check(c.MaxRemembered > 0, "remember_max: want more than 0")
	check(c.SweepInterval > 0, "sweep_every: want more than 0")
	check(c.Sweepers >= 0, "sweepers: want 0 or more")
	check(c.MaxSweepCalls > 0, "sweep_calls: want more than 0")
	check(c.SweepRate > 0, "sweep_rate: want more than 0")
	return errors.Join(problems...)
}
