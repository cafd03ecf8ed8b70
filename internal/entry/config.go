package entry

import (
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config bounds what one request may cost this host. The rules of a service
// are in the catalog.
type Config struct {
	// MaxBudget caps the budget that a caller names.
	MaxBudget unit.Duration `json:"max_budget"`
	// MaxSnapshots is how many snapshots one search may be tried on.
	MaxSnapshots int `json:"max_snapshots"`
	// MaxRelays is how many relays may be asked for one shard.
	MaxRelays int `json:"max_relays"`
	// HedgeRelayAfter is the part of the budget after which shards that a relay
	// left open are asked of another relay, 0..1.
	HedgeRelayAfter float64 `json:"hedge_relay_after"`
	// HopAllowance is taken off the budget that a relay gets, so that its last
	// word arrives in time.
	HopAllowance unit.Duration `json:"hop_allowance"`
	// RetryAfter is told to callers when nothing else says when to come back.
	RetryAfter unit.Duration `json:"retry_after"`
	// UnheldFor is how long a snapshot is avoided after a target set no longer
	// held it.
	UnheldFor unit.Duration `json:"unheld_for"`
}

// DefaultConfig returns the values used where the settings name none.
func DefaultConfig() Config {
	return Config{
		MaxBudget:       unit.Duration(30 * time.Second),
		MaxSnapshots:    3,
		MaxRelays:       3,
		HedgeRelayAfter: 0.4,
		HopAllowance:    unit.Duration(2 * time.Millisecond),
		RetryAfter:      unit.Duration(200 * time.Millisecond),
		UnheldFor:       unit.Duration(time.Second),
	}
}

// Validate reports every value out of range.
func (c Config) Validate() error {
	var problems []error
	check := func(ok bool, text string) {
		if !ok {
			problems = append(problems, Error.New("%s", text))
		}
	}
	check(c.MaxBudget > 0, "max_budget must be above 0")
	check(c.MaxSnapshots >= 1, "max_snapshots must be at least 1")
	check(c.MaxRelays >= 1, "max_relays must be at least 1")
	check(c.HedgeRelayAfter > 0 && c.HedgeRelayAfter <= 1, "hedge_relay_after must be above 0 and at most 1")
	check(c.HopAllowance >= 0, "hop_allowance must not be negative")
	check(c.RetryAfter > 0, "retry_after must be above 0")
	check(c.UnheldFor >= 0, "unheld_for must not be negative")
	return errors.Join(problems...)
}
