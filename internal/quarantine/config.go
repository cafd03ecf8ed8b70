package quarantine

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config tells how long requests are kept from targets.
type Config struct {
	// Hold is how long the first quarantine of a request lasts. After that the next one
	// is tried at one target; if that ends too, the quarantine lasts four times longer.
	Hold unit.Duration `json:"hold"`
}

const (
	defaultHold = time.Hour   // a request that ends its targets costs one target an hour, then one in four
	leastHold   = time.Minute // below it such a request ends targets faster than they are repaired
)

// DefaultConfig returns the settings of any site.
func DefaultConfig() Config { return Config{Hold: unit.Duration(defaultHold)} }

// Validate reports every problem of the settings.
func (c Config) Validate() error {
	if h := c.Hold.Std(); h < leastHold || h > longestHold {
		return Error.New("hold %s: want %s to %s", c.Hold, leastHold, longestHold)
	}
	return nil
}
