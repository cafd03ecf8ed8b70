package gateway

import (
	"errors"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config holds the settings of request forwarding.
type Config struct {
	// MaxBudget is the time limit of a request, whatever the caller and the route allow.
	MaxBudget unit.Duration `json:"max_budget"`
	// ConnectTimeout is the timeout of a connection attempt to a target.
	ConnectTimeout unit.Duration `json:"connect_timeout"`
	// MaxAnswer is the maximum size of a target's response body in bytes.
	MaxAnswer int64 `json:"max_answer"`
	// RetryRatio is the number of extra attempts (retries and hedges) per first attempt, over all
	// hosts.
	RetryRatio float64 `json:"retry_ratio"`
	// RetrySlack is the number of extra attempts for each service beyond the ratio, over all hosts,
	// in any span of RetryWindow.
	RetrySlack  float64       `json:"retry_slack"`
	RetryWindow unit.Duration `json:"retry_window"`
	// WarmupRatio and WarmupSlack set the limit of a cold target in requests per second, over all
	// hosts: the rate that its service is configured with, times the ratio, plus the slack.
	WarmupRatio float64 `json:"warmup_ratio"`
	WarmupSlack float64 `json:"warmup_slack"`
	// FleetSize is the minimum number of hosts among which a target's connections and the extra
	// attempts are divided, even if fewer are known.
	FleetSize int `json:"fleet_size"`
	// Regions maps each failure domain to its region. Requests of routes that are restricted to
	// home regions go only to failure domains listed here.
	Regions regions `json:"regions"`
	// FreshFor is how long the configuration counts as current after the last confirmation from the
	// store. A request without a route is answered 404 only while it does, and is refused with a
	// retry time after that.
	FreshFor unit.Duration `json:"fresh_for"`
	// Without lists the mechanisms that are disabled; see Mechanism.
	Without []Mechanism `json:"without"`
}

// disabled reports whether a mechanism is switched off.
func (c Config) disabled(m Mechanism) bool { return slices.Contains(c.Without, m) }

// Default settings.
const (
	defaultMaxBudget      = 30 * time.Second
	defaultConnectTimeout = 300 * time.Millisecond // connecting takes about 10 ms on the known deployments
	defaultMaxAnswerBytes = 8 << 20
	defaultRetryRatio     = 0.2
	defaultRetrySlack     = 50
	defaultRetryWindow    = 10 * time.Second
	defaultWarmupRatio    = 1.0
	defaultFleetSize      = 7 // size of the smallest known deployment
	defaultFreshFor       = 3 * time.Second
)

// DefaultConfig returns the default settings, for a small site.
func DefaultConfig() Config {
	return Config{
		MaxBudget:      unit.Duration(defaultMaxBudget),
		ConnectTimeout: unit.Duration(defaultConnectTimeout),
		MaxAnswer:      defaultMaxAnswerBytes,
		RetryRatio:     defaultRetryRatio,
		RetrySlack:     defaultRetrySlack,
		RetryWindow:    unit.Duration(defaultRetryWindow),
		WarmupRatio:    defaultWarmupRatio,
		FleetSize:      defaultFleetSize,
		FreshFor:       unit.Duration(defaultFreshFor),
	}
}

// retryAllowance returns the allowance of extra attempts of all hosts together.
func (c Config) retryAllowance() policy.Allowance {
	return policy.Allowance{Ratio: c.RetryRatio, Slack: c.RetrySlack, Window: c.RetryWindow.Std()}
}

// Validate returns all problems of the settings, joined.
func (c Config) Validate() error {
	var problems []error
	if c.MaxBudget <= 0 {
		problems = append(problems, Error.New("max_budget %s: want more than 0", c.MaxBudget))
	}
	if c.ConnectTimeout <= 0 {
		problems = append(problems, Error.New("connect_timeout %s: want more than 0", c.ConnectTimeout))
	}
	if c.MaxAnswer <= 0 {
		problems = append(problems, Error.New("max_answer %d: want more than 0 bytes", c.MaxAnswer))
	}
	if c.RetryRatio < 0 || c.RetryRatio > 1 {
		problems = append(problems, Error.New("retry_ratio %g: want 0 to 1", c.RetryRatio))
	}
	if c.RetrySlack < 0 || c.RetryWindow <= 0 {
		problems = append(problems, Error.New("retry_slack %g: want 0 or more; retry_window %s: want more than 0", c.RetrySlack, c.RetryWindow))
	}
	for domain, region := range c.Regions {
		if domain == "" || region == "" {
			problems = append(problems, Error.New("regions: failure domain %q, region %q: neither name may be empty", domain, region))
		}
	}
	if c.WarmupRatio < 0 || c.WarmupSlack < 0 {
		problems = append(problems, Error.New("warmup_ratio %g, warmup_slack %g: want 0 or more", c.WarmupRatio, c.WarmupSlack))
	}
	if c.FleetSize < 1 {
		problems = append(problems, Error.New("fleet_size %d: want at least 1", c.FleetSize))
	}
	if c.FreshFor <= 0 {
		problems = append(problems, Error.New("fresh_for %s: want more than 0", c.FreshFor))
	}
	problems = append(problems, checkMechanisms(c.Without))
	return errors.Join(problems...)
}
