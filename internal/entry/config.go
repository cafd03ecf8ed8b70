package entry

import (
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config limits the time, snapshots and relays that this host spends on one
// request. The rules of a service are in the catalog.
type Config struct {
	// MaxBudget caps the budget that a caller requests.
	MaxBudget unit.Duration `json:"max_budget"`
	// MaxSnapshots is the maximum number of snapshots that one search tries.
	MaxSnapshots int `json:"max_snapshots"`
	// MaxRelays is the maximum number of relays that are sent a request for the
	// same shard or reservation.
	MaxRelays int `json:"max_relays"`
	// HedgeRelayAfter is the fraction of the remaining budget after which shards
	// that a relay has not answered are requested from another relay, above 0
	// and at most 1.
	HedgeRelayAfter float64 `json:"hedge_relay_after"`
	// HopAllowance is subtracted from the budget sent to a relay, so that its
	// final result arrives before the entry's deadline.
	HopAllowance unit.Duration `json:"hop_allowance"`
	// RetryAfter is the retry delay sent to callers when no relay or target
	// provides one.
	RetryAfter unit.Duration `json:"retry_after"`
	// NotHeldTTL is how long a snapshot is tried last after a shard's targets
	// reported that they no longer hold it.
	NotHeldTTL unit.Duration `json:"unheld_for"`
}

// DefaultConfig returns the values for settings that are not specified.
func DefaultConfig() Config {
	return Config{
		MaxBudget:       unit.Duration(30 * time.Second),
		MaxSnapshots:    3,
		MaxRelays:       3,
		HedgeRelayAfter: 0.4,
		HopAllowance:    unit.Duration(2 * time.Millisecond),
		RetryAfter:      unit.Duration(200 * time.Millisecond),
		NotHeldTTL:      unit.Duration(time.Second),
	}
}

// Validate returns an error for every value out of range.
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
	check(c.NotHeldTTL >= 0, "unheld_for must not be negative")
	return errors.Join(problems...)
}
