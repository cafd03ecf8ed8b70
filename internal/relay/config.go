package relay

import (
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config holds the host settings of the relay. Settings of a single service
// are in catalog.Rules.
type Config struct {
	StatusInterval   unit.Duration `json:"status_interval"`    // between two status polls of a target
	StatusTimeout    unit.Duration `json:"status_timeout"`     // of one status poll
	HostListInterval unit.Duration `json:"host_list_interval"` // between two reads of the host list of the platform
	HostListPollers  int           `json:"host_list_pollers"`  // number of hosts in the fleet that read the host list
	HostListLag      unit.Duration `json:"host_list_lag"`      // a listing as leaving sooner than this after a start of the target may refer to its previous incarnation
	ConnectTimeout   unit.Duration `json:"connect_timeout"`    // of a new connection to a target
	IdleTimeout      unit.Duration `json:"idle_timeout"`       // after which an unused connection is closed
	MaxAnswerBytes   int64         `json:"max_answer_bytes"`   // maximum response body of a target
	QueueLength      int           `json:"queue_length"`       // maximum number of queued attempts per service
	ColdRamp         unit.Duration `json:"cold_ramp"`          // until a started target gets its full share of work
	MaxSuspect       float64       `json:"max_suspect"`        // 0..1; maximum share of the targets of a service suspect at once
	RetryAfter       unit.Duration `json:"retry_after"`        // returned to callers when there is no better estimate
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		StatusInterval:   unit.Duration(900 * time.Millisecond),
		StatusTimeout:    unit.Duration(500 * time.Millisecond),
		HostListInterval: unit.Duration(1500 * time.Millisecond),
		HostListPollers:  12,
		HostListLag:      unit.Duration(10 * time.Second),
		ConnectTimeout:   unit.Duration(500 * time.Millisecond),
		IdleTimeout:      unit.Duration(90 * time.Second),
		MaxAnswerBytes:   4 << 20,
		QueueLength:      4096,
		ColdRamp:         unit.Duration(5 * time.Second),
		MaxSuspect:       0.5,
		RetryAfter:       unit.Duration(200 * time.Millisecond),
	}
}

// Validate returns all problems of the settings, joined.
func (c Config) Validate() error {
	var problems []error
	positive := func(name string, d unit.Duration) {
		if d <= 0 {
			problems = append(problems, Error.New("%s must be positive, got %s", name, d))
		}
	}
	positive("status_interval", c.StatusInterval)
	positive("status_timeout", c.StatusTimeout)
	positive("host_list_interval", c.HostListInterval)
	positive("connect_timeout", c.ConnectTimeout)
	positive("idle_timeout", c.IdleTimeout)
	positive("retry_after", c.RetryAfter)
	if c.HostListLag < 0 || c.ColdRamp < 0 {
		problems = append(problems, Error.New("host_list_lag and cold_ramp must not be negative"))
	}
	if c.MaxAnswerBytes < 1 || c.QueueLength < 1 || c.HostListPollers < 1 {
		problems = append(problems, Error.New("max_answer_bytes, queue_length and host_list_pollers must be at least 1"))
	}
	if c.MaxSuspect < 0 || c.MaxSuspect >= 1 {
		problems = append(problems, Error.New("max_suspect must be at least 0 and below 1, got %g", c.MaxSuspect))
	}
	return errors.Join(problems...)
}
