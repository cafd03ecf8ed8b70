package load

import (
	"errors"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Error is the class of this package's errors.
var Error = errs.Class("load")

const (
	defaultRequestsPerSecond = 50
	defaultDuration          = 10 * time.Second
	defaultBudget            = time.Second
	defaultMaxOutstanding    = 20000
)

// Config is the configuration of one run against the callers' API.
type Config struct {
	Addresses   []string      `json:"addresses"` // host:port of callers' APIs; requests go to them in turn
	Workload    string        `json:"workload,omitempty"`
	Service     string        `json:"service,omitempty"`
	Text        string        `json:"text,omitempty"`
	Limit       int           `json:"limit,omitempty"` // maximum number of rows; 0: all
	MinCoverage float64       `json:"min_coverage"`    // 0..1
	Budget      unit.Duration `json:"budget"`
	Caller      string        `json:"caller"`
	Rate        float64       `json:"rate"` // requests per second
	Duration    unit.Duration `json:"duration"`
	Seed        uint64        `json:"seed"`
	Outstanding int           `json:"outstanding"` // maximum requests in flight; arrivals above it are counted as unsent
}

// DefaultConfig returns the default configuration. The caller must set the
// addresses, and a service or a workload.
func DefaultConfig() Config {
	return Config{
		MinCoverage: 1,
		Budget:      unit.Duration(defaultBudget),
		Caller:      "load",
		Rate:        defaultRequestsPerSecond,
		Duration:    unit.Duration(defaultDuration),
		Seed:        1,
		Outstanding: defaultMaxOutstanding,
		Limit:       10,
	}
}

// Validate returns all problems of the configuration, joined.
func (c Config) Validate() error {
	var all []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			all = append(all, Error.New(format, args...))
		}
	}
	require(len(c.Addresses) > 0, "addresses are missing")
	require((c.Workload == "") != (c.Service == ""), "exactly one of service and workload must be set")
	require(c.Rate > 0, "rate %g is not above 0", c.Rate)
	require(c.Duration > 0, "duration %s is not above 0", c.Duration)
	require(c.Budget > 0, "budget %s is not above 0", c.Budget)
	require(c.MinCoverage >= 0 && c.MinCoverage <= 1, "min_coverage %g is not within 0..1", c.MinCoverage)
	require(c.Outstanding > 0, "outstanding %d is not above 0", c.Outstanding)
	require(c.Limit >= 0, "limit %d is negative", c.Limit)
	return errors.Join(all...)
}
