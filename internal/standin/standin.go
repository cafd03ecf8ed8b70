// Package standin provides what the stand-ins for the platform and the targets share: random
// latencies and probabilities, and an HTTP transport and a network in memory. The stand-ins
// replace the real services in tests, demos and benchmarks; no production code path uses them.
// Begin with the subpackages objectstore, target and platformtarget.
package standin

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// Error is the class of errors of this package.
var Error = errs.Class("standin")

// Server serves a stand-in. Serve returns nil after Shutdown. Shutdown waits for requests in
// flight and cuts those that remain when ctx ends.
type Server interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
}

// Latency is a distribution of durations: lognormal with the given mean, multiplied by
// StraggleFactor with probability Straggle. The zero value always yields 0.
type Latency struct {
	Mean           unit.Duration `json:"mean"`
	Sigma          float64       `json:"sigma,omitempty"`    // of the logarithm; 0: always Mean
	Straggle       float64       `json:"straggle,omitempty"` // probability, 0..1
	StraggleFactor float64       `json:"straggle_factor,omitempty"`
}

// Validate returns all errors of the distribution.
func (l Latency) Validate() error {
	var all []error
	if l.Mean < 0 {
		all = append(all, Error.New("mean %s is negative", l.Mean))
	}
	if l.Sigma < 0 {
		all = append(all, Error.New("sigma %g is negative", l.Sigma))
	}
	if l.Straggle > 0 && l.StraggleFactor < 1 {
		all = append(all, Error.New("straggle_factor %g is below 1", l.StraggleFactor))
	}
	all = append(all, ValidateProbability("straggle", l.Straggle))
	return errors.Join(all...)
}

// ValidateProbability returns an error if p is not within 0..1.
func ValidateProbability(name string, p float64) error {
	if p >= 0 && p <= 1 {
		return nil
	}
	return Error.New("%s %g is not within 0..1", name, p)
}

// Rand is a seeded random source that is safe for concurrent use.
type Rand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewRand returns a source that yields the same sequence for the same seed.
func NewRand(seed uint64) *Rand {
	return &Rand{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Chance returns true with probability p. It draws no number when p is 0 or 1, so that a disabled
// fault doesn't shift the sequence.
func (r *Rand) Chance(p float64) bool {
	if p <= 0 || p >= 1 {
		return p >= 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < p
}

// Draw returns a random duration of the distribution.
func (r *Rand) Draw(l Latency) time.Duration {
	if l.Mean <= 0 {
		return 0
	}
	v := float64(l.Mean)
	if l.Sigma > 0 {
		v *= r.lognormal(l.Sigma)
	}
	if r.Chance(l.Straggle) {
		v *= l.StraggleFactor
	}
	return time.Duration(v)
}

// lognormal returns a lognormal random value with mean 1.
func (r *Rand) lognormal(sigma float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return math.Exp(sigma*r.rng.NormFloat64() - sigma*sigma/2)
}

// WrapFieldError adds the field name to a non-nil error.
func WrapFieldError(field string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", field, err)
}
