// Package objectstore is the stand-in of the platform: its object API over
// HTTP with revisions, conditional writes and watches, in memory. It counts every call and takes faults. docs/PLATFORM.md
// describes the interface.
package objectstore

import (
	"encoding/json"
	"errors"
	"os"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Error is the class of this package's errors.
var Error = errs.Class("objectstore")

const (
	defaultHistory = 10000
	defaultPage    = 500 // objects, as the platform sends them
)

// Config is what the stand-in is started with.
type Config struct {
	Listen      string        `json:"listen"`                   // host:port
	Seed        uint64        `json:"seed,omitempty"`           // of all chances and latencies
	SeedFile    string        `json:"seed_file,omitempty"`      // JSON of Seeds, read by Load
	History     int           `json:"history"`                  // changes kept for watches
	Page        int           `json:"page"`                     // objects in one answer to a list
	ClockOffset unit.Duration `json:"clock_offset"`             // platform's clock less this machine's
	NoClock     bool          `json:"no_clock,omitempty"`       // answers tell no time, as on the users' platform
	NoEra       bool          `json:"no_era,omitempty"`         // answers tell no era
	CopyEvery   unit.Duration `json:"copy_every,omitempty"`     // between two copies of the store; 0: none are taken
	OldestCopy  unit.Duration `json:"oldest_copy,omitempty"`    // that is kept, to come back from
	WriteRate   float64       `json:"write_rate,omitempty"`     // writes/s; 0: no limit
	ReadRate    float64       `json:"read_rate,omitempty"`      // reads/s, watches included; 0: no limit
	Faults      Faults        `json:"faults,omitempty"`         // in force from the start
	Seeds       Seeds         `json:"seeds,omitempty,omitzero"` // present from the start
}

// Seeds are the objects that are present from the start.
type Seeds struct {
	Objects []SeedObject `json:"objects,omitempty"`
}

// SeedObject is an object that is present from the start.
type SeedObject struct {
	Kind  string          `json:"kind"`
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// DefaultConfig returns a stand-in without faults, limits and lag.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:0", Seed: 1, History: defaultHistory, Page: defaultPage}
}

// Validate returns every error of the configuration.
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
	if c.CopyEvery < 0 || c.OldestCopy < c.CopyEvery {
		all = append(all, Error.New("copy_every %s, oldest_copy %s: want 0s or more, and the second not below the first", c.CopyEvery, c.OldestCopy))
	}
	if c.WriteRate < 0 || c.ReadRate < 0 {
		all = append(all, Error.New("write_rate %g or read_rate %g is negative", c.WriteRate, c.ReadRate))
	}
	all = append(all, standin.Named("faults", c.Faults.Validate()), c.Seeds.validate())
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

// Load reads the seed file, if one is named, and adds it to the seeds.
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
