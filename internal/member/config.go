package member

import (
	"errors"
	"math"
	"net"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config holds the settings of the membership. docs/design/membership.md
// derives the defaults.
type Config struct {
	Seeds             []string      `json:"seeds"`               // peer addresses contacted at start and when no other host answers
	ProbeInterval     unit.Duration `json:"probe_interval"`      // time between the starts of two probes by this host
	ProbeTimeout      unit.Duration `json:"probe_timeout"`       // timeout of one direct probe
	IndirectProbes    int           `json:"indirect_probes"`     // hosts requested to probe a host that did not answer
	SuspicionFactor   float64       `json:"suspicion_factor"`    // a suspect is declared dead after factor * log2(hosts + 1) probe intervals
	RetransmitFactor  float64       `json:"retransmit_factor"`   // a change is sent in factor * log2(hosts + 1) messages
	UpdatesPerMessage int           `json:"updates_per_message"` // maximum number of host records in one ordinary message
	PlatformTimeout   unit.Duration `json:"platform_timeout"`    // timeout of reading and updating the platform's records once
	RefreshMinimum    unit.Duration `json:"refresh_minimum"`     // lower bound of the mean time between two reads of the platform's records
	RefreshPerHost    unit.Duration `json:"refresh_per_host"`    // mean time between these reads per host in the fleet, which bounds the fleet's total rate
	ForgetAfter       unit.Duration `json:"forget_after"`        // how long a dead host stays in the table and is tried again
	// RecordHolders is how many hosts keep a record in the platform, through
	// which a new host finds the others when no seed answers; 0: all of them.
	// With a value above 0 the number of platform calls is bounded for every
	// fleet size.
	RecordHolders int `json:"record_holders"`
	// RecordKind is the kind of the platform's objects that hold the records.
	// Hosts with different kinds form separate memberships.
	RecordKind string `json:"record_kind"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:     unit.Duration(500 * time.Millisecond),
		ProbeTimeout:      unit.Duration(400 * time.Millisecond),
		IndirectProbes:    3,
		SuspicionFactor:   2,
		RetransmitFactor:  3,
		UpdatesPerMessage: 8,
		PlatformTimeout:   unit.Duration(2 * time.Second),
		RefreshMinimum:    unit.Duration(30 * time.Second),
		RefreshPerHost:    unit.Duration(250 * time.Millisecond),
		ForgetAfter:       unit.Duration(2 * time.Hour),
		RecordKind:        objstore.KindMember,
	}
}

// Validate returns all problems of the settings as one error.
func (c Config) Validate() error {
	var problems []error
	positive := func(name string, ok bool) {
		if !ok {
			problems = append(problems, Error.New("%s must be more than 0", name))
		}
	}
	positive("probe_interval", c.ProbeInterval > 0)
	positive("probe_timeout", c.ProbeTimeout > 0)
	positive("suspicion_factor", c.SuspicionFactor > 0)
	positive("retransmit_factor", c.RetransmitFactor > 0)
	positive("updates_per_message", c.UpdatesPerMessage > 0)
	positive("platform_timeout", c.PlatformTimeout > 0)
	positive("refresh_minimum", c.RefreshMinimum > 0)
	positive("forget_after", c.ForgetAfter > 0)
	if c.IndirectProbes < 0 {
		problems = append(problems, Error.New("indirect_probes must not be negative"))
	}
	if c.RecordKind == "" {
		problems = append(problems, Error.New("record_kind is missing"))
	}
	if c.RecordHolders < 0 {
		problems = append(problems, Error.New("record_holders must not be negative"))
	}
	if c.RefreshPerHost < 0 {
		problems = append(problems, Error.New("refresh_per_host must not be negative"))
	}
	for _, s := range c.Seeds {
		if _, _, err := net.SplitHostPort(s); err != nil {
			problems = append(problems, Error.New("seeds: %q: want host:port", s))
		}
	}
	return errors.Join(problems...)
}

// suspicionTimeout returns how long a suspect has to refute its suspicion in a
// fleet of n hosts.
func (c Config) suspicionTimeout(n int) time.Duration {
	return time.Duration(c.SuspicionFactor * math.Log2(float64(n+1)) * float64(c.ProbeInterval))
}

// maxTransmissions returns how many messages carry a change in a fleet of n
// hosts.
func (c Config) maxTransmissions(n int) int {
	return int(math.Ceil(c.RetransmitFactor * math.Log2(float64(n+1))))
}

// refreshInterval returns the mean time between two reads of the platform's
// records in a fleet of n hosts.
func (c Config) refreshInterval(n int) time.Duration {
	return max(c.RefreshMinimum.Std(), time.Duration(n)*c.RefreshPerHost.Std())
}
