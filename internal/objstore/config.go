package objstore

import (
	"errors"
	"net"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config holds the addresses of the platform and the limits of one host's calls to it.
type Config struct {
	// Addresses are host:port of the platform's API. The client uses one of them
	// until it can't connect, then the next one.
	Addresses []string `json:"addresses"`
	// Timeout bounds one call; for a watch its wait is added.
	Timeout unit.Duration `json:"timeout"`
	// CallsPerSecond and Burst configure the token bucket that limits all calls of
	// the host, watches included.
	CallsPerSecond float64 `json:"calls_per_second"`
	Burst          int     `json:"burst"`
}

const (
	defaultTimeout        = time.Second
	defaultCallsPerSecond = 50
	defaultBurst          = 100
	minTimeout            = time.Millisecond
	maxTimeout            = time.Minute
)

// DefaultConfig returns settings that suit a small site, without addresses.
func DefaultConfig() Config {
	return Config{
		Timeout:        unit.Duration(defaultTimeout),
		CallsPerSecond: defaultCallsPerSecond,
		Burst:          defaultBurst,
	}
}

// Validate reports every problem of the settings.
func (c Config) Validate() error {
	var problems []error
	if len(c.Addresses) == 0 {
		problems = append(problems, Error.New("addresses: want at least one"))
	}
	for _, a := range c.Addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			problems = append(problems, Error.New("addresses: %q is not host:port", a))
		}
	}
	if t := c.Timeout.Std(); t < minTimeout || t > maxTimeout {
		problems = append(problems, Error.New("timeout: %s is not between %s and %s", t, minTimeout, maxTimeout))
	}
	if c.CallsPerSecond <= 0 {
		problems = append(problems, Error.New("calls_per_second: want more than 0"))
	}
	if c.Burst < 1 {
		problems = append(problems, Error.New("burst: want at least 1"))
	}
	return errors.Join(problems...)
}
