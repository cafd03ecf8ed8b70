package member

import (
	"errors"
	"math"
	"net"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config holds the settings of the membership. The defaults are worked out in
// docs/design/membership.md.
type Config struct {
	Seeds             []string      `json:"seeds"`               // peer addresses tried at start and when no other host answers
	ProbeInterval     unit.Duration `json:"probe_interval"`      // time between two probes that this host begins
	ProbeTimeout      unit.Duration `json:"probe_timeout"`       // timeout of one direct probe
	IndirectProbes    int           `json:"indirect_probes"`     // hosts asked to probe a host that did not answer
	SuspicionFactor   float64       `json:"suspicion_factor"`    // suspicion lasts factor * log2(hosts + 1) probe intervals
	RetransmitFactor  float64       `json:"retransmit_factor"`   // a change is sent factor * log2(hosts + 1) times
	UpdatesPerMessage int           `json:"updates_per_message"` // upper bound of the host records in one message
	PlatformTimeout   unit.Duration `json:"platform_timeout"`    // timeout of one platform call
	RefreshMinimum    unit.Duration `json:"refresh_minimum"`     // shortest time between two readings of the platform's records
	RefreshPerHost    unit.Duration `json:"refresh_per_host"`    // added to that time for each host, so that the fleet's rate is bounded
	ForgetAfter       unit.Duration `json:"forget_after"`        // how long a dead host is still remembered and tried
	// RecordHolders is how many hosts keep a record in the platform, by which
	// a new host finds the others when no seed answers; 0: all of them. Calls
	// to the platform are then bounded whatever the fleet's size.
	RecordHolders int `json:"record_holders"`
	// RecordKind is the kind of the platform's objects that hold the records;
	// hosts that do different work have different ones and do not meet.
	RecordKind string `json:"record_kind"`
}

// DefaultConfig returns the settings used where none are given.
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

// Validate returns every problem of the settings.
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

// suspicion returns how long a suspect among n hosts has to refute.
func (c Config) suspicion(n int) time.Duration {
	return time.Duration(c.SuspicionFactor * math.Log2(float64(n+1)) * float64(c.ProbeInterval))
}

// transmissions returns how often a change is sent among n hosts.
func (c Config) transmissions(n int) int {
	return int(math.Ceil(c.RetransmitFactor * math.Log2(float64(n+1))))
}

// refresh returns the time between two readings of the platform among n hosts.
func (c Config) refresh(n int) time.Duration {
	return max(c.RefreshMinimum.Std(), time.Duration(n)*c.RefreshPerHost.Std())
}
