package claim

import (
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// MaxHorizon is the longest horizon that a host may be configured with, and
// removeAfter the age at which a record may be removed. Both are constants,
// because hosts with different settings work on the same records: a record
// must outlive the horizon of every host, whatever that host's settings say.
const (
	MaxHorizon  = 48 * time.Hour
	removeAfter = MaxHorizon + 12*time.Hour
)

// Config is the policy of reservations.
type Config struct {
	Horizon     unit.Duration `json:"horizon"`       // age at which a reservation id is refused; at most MaxHorizon
	MaxAhead    unit.Duration `json:"max_ahead"`     // how far an id may lie in the future of the platform's clock
	RetryAfter  unit.Duration `json:"retry_after"`   // retry-after hint to callers while the platform is down
	RetryMin    unit.Duration `json:"retry_min"`     // first wait before a platform call is repeated
	RetryMax    unit.Duration `json:"retry_max"`     // longest such wait
	OutcomeWait unit.Duration `json:"outcome_wait"`  // longest time that an answer waits for its outcome to be written
	GiveUpAfter unit.Duration `json:"give_up_after"` // time after which a background write is abandoned
	StopTimeout unit.Duration `json:"stop_timeout"`  // time that a stopping host takes to write its last records
	Background  int           `json:"background"`    // background writes at once at most
	Remember    unit.Duration `json:"remember"`      // how long a host answers for an attempt after its end
	RememberMax int           `json:"remember_max"`  // ended attempts remembered at most
	SweepEvery  unit.Duration `json:"sweep_every"`   // mean time between two rounds of a sweeping host
	Sweepers    int           `json:"sweepers"`      // hosts that remove old records; 0: none
	SweepCalls  int           `json:"sweep_calls"`   // platform calls of one round at most
	SweepRate   float64       `json:"sweep_rate"`    // platform calls a second of a sweeping host
}

// DefaultConfig returns the values that apply where settings name none.
func DefaultConfig() Config {
	return Config{
		Horizon:     unit.Duration(24 * time.Hour),
		MaxAhead:    unit.Duration(5 * time.Minute),
		RetryAfter:  unit.Duration(time.Second),
		RetryMin:    unit.Duration(10 * time.Millisecond),
		RetryMax:    unit.Duration(5 * time.Second),
		OutcomeWait: unit.Duration(50 * time.Millisecond),
		GiveUpAfter: unit.Duration(15 * time.Minute),
		StopTimeout: unit.Duration(10 * time.Second),
		Background:  4096,
		Remember:    unit.Duration(10 * time.Minute),
		RememberMax: 20000,
		SweepEvery:  unit.Duration(time.Minute),
		Sweepers:    2,
		SweepCalls:  1200,
		SweepRate:   20,
	}
}

// Validate returns every problem of c, joined.
func (c Config) Validate() error {
	var problems []error
	want := func(ok bool, text string) {
		if !ok {
			problems = append(problems, Error.New("%s", text))
		}
	}
	want(c.Horizon > 0 && c.Horizon.Std() <= MaxHorizon, "horizon: want more than 0 and at most "+MaxHorizon.String())
	want(c.MaxAhead >= 0 && c.MaxAhead.Std() <= time.Hour, "max_ahead: want 0 to 1h")
	want(c.RetryAfter > 0, "retry_after: want more than 0")
	want(c.RetryMin > 0 && c.RetryMin <= c.RetryMax, "retry_min: want more than 0 and at most retry_max")
	want(c.OutcomeWait >= 0, "outcome_wait: want 0 or more")
	want(c.GiveUpAfter > 0, "give_up_after: want more than 0")
	want(c.StopTimeout > 0, "stop_timeout: want more than 0")
	want(c.Background > 0, "background: want more than 0")
	want(c.Remember > 0, "remember: want more than 0")
	want(c.RememberMax > 0, "remember_max: want more than 0")
	want(c.SweepEvery > 0, "sweep_every: want more than 0")
	want(c.Sweepers >= 0, "sweepers: want 0 or more")
	want(c.SweepCalls > 0, "sweep_calls: want more than 0")
	want(c.SweepRate > 0, "sweep_rate: want more than 0")
	return errors.Join(problems...)
}
