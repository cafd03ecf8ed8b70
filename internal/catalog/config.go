package catalog

import (
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config holds the settings by which this host receives the configuration.
type Config struct {
	WatchersPerDomain int           `json:"watchers_per_domain"` // hosts of a failure domain that watch the platform
	WatchWait         unit.Duration `json:"watch_wait"`          // longest wait of one watch for a change
	TakeoverAfter     unit.Duration `json:"takeover_after"`      // time without a response of the platform after which the next level of hosts watches
	PullInterval      unit.Duration `json:"pull_interval"`       // time between pulls from a random peer
	PullTimeout       unit.Duration `json:"pull_timeout"`        // timeout of one page of a pull
	StaleAfter        unit.Duration `json:"stale_after"`         // time without a response of the platform or of a peer that is not stale, after which callers are refused
	StartWait         unit.Duration `json:"start_wait"`          // longest wait of Start for the first configuration
	ChangeTimeout     unit.Duration `json:"change_timeout"`      // timeout of an operator's change, reading back included
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		WatchersPerDomain: 2,
		WatchWait:         unit.Duration(1500 * time.Millisecond),
		TakeoverAfter:     unit.Duration(15 * time.Second),
		PullInterval:      unit.Duration(time.Second),
		PullTimeout:       unit.Duration(time.Second),
		StaleAfter:        unit.Duration(4 * time.Second),
		StartWait:         unit.Duration(2 * time.Second),
		ChangeTimeout:     unit.Duration(5 * time.Second),
	}
}

// Validate reports every problem of the settings.
func (c Config) Validate() error {
	var p problems
	p.require(c.WatchersPerDomain > 0, "watchers_per_domain: want at least 1")
	p.positive("watch_wait", c.WatchWait)
	p.positive("takeover_after", c.TakeoverAfter)
	p.positive("pull_interval", c.PullInterval)
	p.positive("pull_timeout", c.PullTimeout)
	p.positive("stale_after", c.StaleAfter)
	p.positive("change_timeout", c.ChangeTimeout)
	p.require(c.StartWait >= 0, "start_wait: %s is negative", c.StartWait)
	p.require(2*c.WatchWait <= c.StaleAfter, "watch_wait: %s is more than half of stale_after, %s", c.WatchWait, c.StaleAfter)
	p.require(2*c.PullInterval <= c.StaleAfter, "pull_interval: %s is more than half of stale_after, %s", c.PullInterval, c.StaleAfter)
	if err := errors.Join(p...); err != nil {
		return Error.Wrap(err)
	}
	return nil
}
