package quarantine

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config sets for how long requests are quarantined.
type Config struct {
	// Hold is the duration of a request's first quarantine. After it, the next attempt is sent to
	// one target alone; if that target ends too, the next quarantine is four times longer.
	Hold unit.Duration `json:"hold"`
}

const (
	defaultHold = time.Hour   // a request that ends its targets costs one target an hour, then one in four
	minHold     = time.Minute // below it such a request ends targets faster than they are repaired
)

// DefaultConfig returns the default settings.
func DefaultConfig() Config { return Config{Hold: unit.Duration(defaultHold)} }

// Validate returns an error if a setting is out of range.
func (c Config) Validate() error {
	if h := c.Hold.Std(); h < minHold || h > maxHold {
		return Error.New("hold %s: want %s to %s", c.Hold, minHold, maxHold)
	}
	return nil
}
