package delivery

import (
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config bounds what the delivery records of one host take of its memory, and
// those of all hosts of the platform's calls.
type Config struct {
	// MinInterval is the shortest time from one window to the next.
	MinInterval unit.Duration `json:"min_interval"`
	// AnnounceStart makes a host write an empty window at its start, so that reports
	// know it though it dies before its first one. Without, reports know such a
	// host only if others have seen it; it saves a write and a removal a start.
	AnnounceStart bool `json:"announce_start"`
	// WritesPerSecond is the share of the platform's writes that the windows of
	// all hosts may take; each window costs one write, and one delete later.
	// With many hosts the interval grows past MinInterval to keep to it.
	WritesPerSecond float64 `json:"writes_per_second"`
	// WriteTimeout bounds one call to the platform.
	WriteTimeout unit.Duration `json:"write_timeout"`
	// StopTimeout bounds the writing of the last windows of a host that stops.
	// While the platform is away they are lost then, and reports tell so.
	StopTimeout unit.Duration `json:"stop_timeout"`
	// MaxKeys bounds the keys of a window; past it callers, then services, are
	// folded into "(other)", which the report tells.
	MaxKeys int `json:"max_keys"`
	// MaxPending bounds the windows that wait for the platform; past it the two
	// oldest become one.
	MaxPending int `json:"max_pending"`
	// MaxReservations and MaxExceptions bound the single records of a window:
	// reservations, and refused or partial searches. Those left out are counted.
	MaxReservations int `json:"max_reservations"`
	MaxExceptions   int `json:"max_exceptions"`
	// Shards is how many shards the hosts' windows are spread over, at most
	// MaxShards; about one for 45 hosts. All are always read.
	Shards int `json:"shards"`
	// Retention is how long reports reach back.
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
	minMaxPending  = 3 // one in doubt, and two that can become one
	minRetention   = 12 * time.Hour

	// callsPerWindow is a window's write, and its delete when it is compacted.
	callsPerWindow = 2
)

// DefaultConfig returns the settings that suit 3 to 720 hosts.
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

// Validate reports every problem of the settings.
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

// interval returns the time from one window to the next in a fleet of so many hosts.
func (c Config) interval(hosts int) time.Duration {
	seconds := callsPerWindow * float64(hosts) / c.WritesPerSecond
	return max(c.MinInterval.Std(), time.Duration(seconds*float64(time.Second)))
}
