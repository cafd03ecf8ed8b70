package api

import (
	"errors"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Config limits the resources that a client of the HTTP listeners can use on this
// host.
type Config struct {
	// MaxBody is the largest body of a caller's request, in bytes.
	MaxBody int64 `json:"max_body"`
	// MaxStatement is the largest body of an operator's request, in bytes.
	MaxStatement int64 `json:"max_statement"`
	// ReadTimeout limits the time from the start of a request until its body is read.
	ReadTimeout unit.Duration `json:"read_timeout"`
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout unit.Duration `json:"idle_timeout"`
}

// DefaultConfig returns the values used where the settings have none.
func DefaultConfig() Config {
	return Config{
		MaxBody:      64 << 10,
		MaxStatement: 1 << 20,
		ReadTimeout:  unit.Duration(5 * time.Second),
		IdleTimeout:  unit.Duration(90 * time.Second),
	}
}

// Validate returns an error for every value that is out of range.
func (c Config) Validate() error {
	var problems []error
	if c.MaxBody < 1 {
		problems = append(problems, Error.New("max_body must be at least 1 byte"))
	}
	if c.MaxStatement < 1 {
		problems = append(problems, Error.New("max_statement must be at least 1 byte"))
	}
	if c.ReadTimeout <= 0 {
		problems = append(problems, Error.New("read_timeout must be above 0"))
	}
	if c.IdleTimeout <= 0 {
		problems = append(problems, Error.New("idle_timeout must be above 0"))
	}
	return errors.Join(problems...)
}
