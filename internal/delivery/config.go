package delivery

import (
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config limits the memory that the delivery records of one host use, and the
// platform calls that those of all hosts use.
type Config struct {
	// MinInterval is the shortest interval between two windows.
	MinInterval unit.Duration `json:"min_interval"`
	// AnnounceStart makes a host write an empty window when it starts, so that
	// reports include the host even if it fails before its first regular
	// window. Without it, reports include such a host only if other hosts have
	// seen it; this saves one write and one removal per start.
	AnnounceStart bool `json:"announce_start"`
	// WritesPerSecond is the rate of platform writes available to the windows
	// of all hosts together. Each window costs one write, and one delete later.
	// With many hosts the interval grows beyond MinInterval to stay within this
	// rate.
	WritesPerSecond float64 `json:"writes_per_second"`
	// WriteTimeout is the timeout of one platform call.
	WriteTimeout unit.Duration `json:"write_timeout"`
	// StopTimeout limits how long a stopping host writes its last windows.
	// During a platform outage they are lost when it expires, and reports say
	// so.
	StopTimeout unit.Duration `json:"stop_timeout"`
	// MaxKeys limits the keys of a window. Beyond it first callers, then
	// services are folded into "(other)", and the report counts these
	// deliveries.
	MaxKeys int `json:"max_keys"`
	// MaxPending limits the windows that are waiting to be written. Beyond it
	// the two oldest are merged.
	MaxPending int `json:"max_pending"`
	// MaxReservations and MaxExceptions limit the individual records of a
	// window: reservations, and refused or partially answered searches. Records
	// beyond the limits are left out and counted.
	MaxReservations int `json:"max_reservations"`
	MaxExceptions   int `json:"max_exceptions"`
	// Shards is the number of shards that the hosts' windows are distributed
	// over, at most MaxShards; about one per 45 hosts. Reports read all
	// MaxShards shards.
	Shards int `json:"shards"`
	// Retention is how far back reports reach.
	Retention unit.Duration `json:"retention"`
}

const (
	defaultMinInterval     = 10 * time.Second
	defaultWritesPerSecond = 30
	defaultWriteTimeout    = 3 * time.Second
	defaultStopTimeout     = 5 * time.Second
	defaultMaxKeys         = 2000
	defaultMaxPending      = 6
	defaultMaxReservations = 2000
	defaultMaxExceptions   = 500
	defaultShards          = 1
	defaultRetention       = 4 * 24 * time.Hour

	minMinInterval = time.Second
	maxMinInterval = 2 * time.Minute
	minMaxKeys     = 16
	minMaxPending  = 3 // one with an unknown write result, and two that can be merged
	minRetention   = 12 * time.Hour

	// callsPerWindow counts a window's write, and its delete when the window is
	// compacted.
	callsPerWindow = 2
)

// DefaultConfig returns settings that suit fleets of 3 to 720 hosts.
func DefaultConfig() Config {
	return Config{
		MinInterval:     unit.Duration(defaultMinInterval),
		AnnounceStart:   true,
		WritesPerSecond: defaultWritesPerSecond,
		WriteTimeout:    unit.Duration(defaultWriteTimeout),
		StopTimeout:     unit.Duration(defaultStopTimeout),
		MaxKeys:         defaultMaxKeys,
		MaxPending:      defaultMaxPending,
		MaxReservations: defaultMaxReservations,
		MaxExceptions:   defaultMaxExceptions,
		Shards:          defaultShards,
		Retention:       unit.Duration(defaultRetention),
	}
}

// Validate returns all invalid settings of c, joined in one error.
func (c Config) Validate() error {
	var problems []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, Error.New(format, args...))
		}
	}
	i := c.MinInterval.Std()
	check(i >= minMinInterval && i <= maxMinInterval, "min_interval: %s is not between %s and %s", i, minMinInterval, maxMinInterval)
	check(c.WritesPerSecond > 0, "writes_per_second: want more than 0")
	check(c.WriteTimeout > 0, "write_timeout: want more than 0")
	check(c.StopTimeout > 0, "stop_timeout: want more than 0")
	check(c.MaxKeys >= minMaxKeys, "max_keys: want at least %d", minMaxKeys)
	check(c.MaxPending >= minMaxPending, "max_pending: want at least %d", minMaxPending)
	check(c.MaxReservations >= 0, "max_reservations: want 0 or more")
	check(c.MaxExceptions >= 0, "max_exceptions: want 0 or more")
	check(c.Shards >= 1 && c.Shards <= MaxShards, "shards: %d is not between 1 and %d", c.Shards, MaxShards)
	check(c.Retention.Std() >= minRetention, "retention: want at least %s", minRetention)
	return errors.Join(problems...)
}

// interval returns the interval between two windows of a host in a fleet of the
// given size.
func (c Config) interval(hosts int) time.Duration {
	seconds := callsPerWindow * float64(hosts) / c.WritesPerSecond
	return max(c.MinInterval.Std(), time.Duration(seconds*float64(time.Second)))
}
