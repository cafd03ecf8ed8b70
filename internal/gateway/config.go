package gateway

import (
	"errors"
	"slices"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config tells how requests are forwarded.
type Config struct {
	// MaxBudget bounds the time of a request whose caller and route say nothing.
	MaxBudget unit.Duration `json:"max_budget"`
	// ConnectTimeout bounds the dial of a target.
	ConnectTimeout unit.Duration `json:"connect_timeout"`
	// MaxAnswer is the longest body of a target's answer, in bytes.
	MaxAnswer int64 `json:"max_answer"`
	// RetryRatio is the further attempts allowed per first one, over all hosts.
	RetryRatio float64 `json:"retry_ratio"`
	// RetrySlack is the further attempts allowed on top of the ratio for each
	// service, over all hosts, in any span of RetryWindow.
	RetrySlack  float64       `json:"retry_slack"`
	RetryWindow unit.Duration `json:"retry_window"`
	// WarmupRatio and WarmupSlack tell what a cold target bears in any second beside what its service says:
	// that times the ratio, and the slack, over all hosts.
	WarmupRatio float64 `json:"warmup_ratio"`
	WarmupSlack float64 `json:"warmup_slack"`
	// FleetSize is the least number of hosts that are taken to share a target's
	// connections and the further attempts, however few are known.
	FleetSize int `json:"fleet_size"`
	// Regions tell the region of each failure domain. Requests of routes with homes go to regions only that
	// are told here.
	Regions regions `json:"regions"`
	// FreshFor is how long a configuration is believed to be the newest without
	// word from the store. A route that is not in it is refused as unknown
	// only while it is believed.
	FreshFor unit.Duration `json:"fresh_for"`
	// Without names mechanisms that are switched off; see Mechanism.
	Without []Mechanism `json:"without"`
}

// disabled reports whether a mechanism is switched disabled.
func (c Config) disabled(m Mechanism) bool { return slices.Contains(c.Without, m) }

// Defaults of the settings.
const (
	defaultMaxBudget      = 30 * time.Second
	defaultConnectTimeout = 300 * time.Millisecond // a connection takes about 10 ms on the deployments known
	defaultMaxAnswer      = 8 << 20
	defaultRetryRatio     = 0.2
	defaultRetrySlack     = 50
	defaultRetryWindow    = 10 * time.Second
	defaultWarmupRatio    = 1.0
	defaultFleetSize      = 7 // of the smallest deployment known
	defaultFreshFor       = 3 * time.Second
)

// DefaultConfig returns the settings of a small site.
func DefaultConfig() Config {
	return Config{
		MaxBudget:      unit.Duration(defaultMaxBudget),
		ConnectTimeout: unit.Duration(defaultConnectTimeout),
		MaxAnswer:      defaultMaxAnswer,
		RetryRatio:     defaultRetryRatio,
		RetrySlack:     defaultRetrySlack,
		RetryWindow:    unit.Duration(defaultRetryWindow),
		WarmupRatio:    defaultWarmupRatio,
		FleetSize:      defaultFleetSize,
		FreshFor:       unit.Duration(defaultFreshFor),
	}
}

// retryAllowance is the further attempts of all hosts together.
func (c Config) retryAllowance() policy.Allowance {
	return policy.Allowance{Ratio: c.RetryRatio, Slack: c.RetrySlack, Window: c.RetryWindow.Std()}
}

// Validate reports every problem of the settings.
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
		problems = append(problems, Error.New("retry_slack %g, retry_window %s: want 0 or more, and more than 0", c.RetrySlack, c.RetryWindow))
	}
	for domain, region := range c.Regions {
		if domain == "" || region == "" {
			problems = append(problems, Error.New("regions: %q in %q: want the names of a failure domain and of its region", domain, region))
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
