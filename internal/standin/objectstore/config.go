package objectstore

import (
	"encoding/json"
	"errors"
	"os"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Error is the class of errors of this package.
var Error = errs.Class("objectstore")

const (
	defaultHistory  = 10000
	defaultPageSize = 500 // objects, like the platform
)

// Config is the configuration of the stand-in.
type Config struct {
	Listen         string        `json:"listen"`                   // host:port
	Seed           uint64        `json:"seed,omitempty"`           // of the random number generator
	SeedFile       string        `json:"seed_file,omitempty"`      // JSON of Seeds, loaded by Load
	History        int           `json:"history"`                  // changes kept for watches
	Page           int           `json:"page"`                     // objects in one list response
	ClockOffset    unit.Duration `json:"clock_offset"`             // platform's clock minus this machine's clock
	NoClock        bool          `json:"no_clock,omitempty"`       // responses carry no Date header, as on the users' platform
	NoEra          bool          `json:"no_era,omitempty"`         // responses carry no era header
	BackupInterval unit.Duration `json:"copy_every,omitempty"`     // interval between backups; 0: no backups
	MaxBackupAge   unit.Duration `json:"oldest_copy,omitempty"`    // age of the oldest backup that is kept
	WriteRate      float64       `json:"write_rate,omitempty"`     // writes/s; 0: no limit
	ReadRate       float64       `json:"read_rate,omitempty"`      // reads/s, watches included; 0: no limit
	Faults         Faults        `json:"faults,omitempty"`         // injected from the start
	Seeds          Seeds         `json:"seeds,omitempty,omitzero"` // present from the start
}

// Seeds are the objects that the store contains at its start.
type Seeds struct {
	Objects []SeedObject `json:"objects,omitempty"`
}

// SeedObject is one object that the store contains at its start.
type SeedObject struct {
	Kind  string          `json:"kind"`
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// DefaultConfig returns a configuration without faults, rate limits and clock offset.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:0", Seed: 1, History: defaultHistory, Page: defaultPageSize}
}

// Validate returns all errors of the configuration.
func (c Config) Validate() error {
	var all []error
	if c.Listen == "" {
		all = append(all, Error.New("listen is missing"))
	}
	if c.History < 1 {
		all = append(all, Error.New("history %d is below 1", c.History))
	}
	if c.Page < 1 {
		all = append(all, Error.New("page %d is below 1", c.Page))
	}
	if c.BackupInterval < 0 || c.MaxBackupAge < c.BackupInterval {
		all = append(all, Error.New("copy_every %s, oldest_copy %s: want 0s or more, and the second not below the first", c.BackupInterval, c.MaxBackupAge))
	}
	if c.WriteRate < 0 || c.ReadRate < 0 {
		all = append(all, Error.New("write_rate %g or read_rate %g is negative", c.WriteRate, c.ReadRate))
	}
	all = append(all, standin.WrapFieldError("faults", c.Faults.Validate()), c.Seeds.validate())
	return errors.Join(all...)
}

func (s Seeds) validate() error {
	var all []error
	for _, o := range s.Objects {
		if o.Kind == "" || o.Name == "" || !json.Valid(o.Value) {
			all = append(all, Error.New("seed object %q/%q: want kind, name and a JSON value", o.Kind, o.Name))
		}
	}
	return errors.Join(all...)
}

// Load reads the seed file, if one is configured, and appends its objects to the seeds.
func (c Config) Load() (Config, error) {
	if c.SeedFile == "" {
		return c, nil
	}
	b, err := os.ReadFile(c.SeedFile)
	if err != nil {
		return c, Error.New("read seed file: %w", err)
	}
	var seeds Seeds
	if err := json.Unmarshal(b, &seeds); err != nil {
		return c, Error.New("seed file %s: %w", c.SeedFile, err)
	}
	c.Seeds.Objects = append(c.Seeds.Objects, seeds.Objects...)
	return c, c.Seeds.validate()
}
