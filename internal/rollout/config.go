package rollout

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Error is the class of this package's errors.
var Error = errs.Class("rollout")

// defaultShareFraction is the part of CanaryShare that the hosts use without a directive. The rest
// covers requests whose number differs from the expected one: a share is a probability.
const defaultShareFraction = 0.75

// Config holds the settings of rollouts. The zero CanaryShare switches them off.
type Config struct {
	CanaryShare    float64       `json:"canary_share"`    // part of a service's requests that a bad version may receive
	CanarySlack    float64       `json:"canary_slack"`    // requests that a bad version may receive beyond the share
	RollbackWithin unit.Duration `json:"rollback_within"` // longest time from the 50th bad response to the last request
}

// DefaultConfig returns the default settings, in which rollouts are off.
func DefaultConfig() Config {
	return Config{CanarySlack: 50, RollbackWithin: unit.Duration(5 * time.Second)}
}

// Enabled reports whether rollouts are on.
func (c Config) Enabled() bool { return c.CanaryShare > 0 }

// DefaultShare returns the probability that a first attempt goes to the new version, on hosts that
// have no directive and at coordinators that know too little to direct more.
func (c Config) DefaultShare() float64 { return defaultShareFraction * c.CanaryShare }

// Validate reports every problem of the settings.
func (c Config) Validate() error {
	var problems []error
	if !(c.CanaryShare >= 0 && c.CanaryShare < 1) {
		problems = append(problems, fmt.Errorf("canary_share: %v is not between 0 and 1", c.CanaryShare))
	}
	if !(c.CanarySlack >= 0 && c.CanarySlack < 1e9) {
		problems = append(problems, fmt.Errorf("canary_slack: %v is not between 0 and 1e9", c.CanarySlack))
	}
	if c.RollbackWithin <= 0 {
		problems = append(problems, fmt.Errorf("rollback_within: %s is not above 0", c.RollbackWithin))
	}
	return Error.Wrap(errors.Join(problems...))
}
