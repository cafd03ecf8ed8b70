// Package standin holds what the stand-ins of the platform and of a target
// share: random latencies, chances, and a transport that needs no socket.
// They take the place of the real ones in tests, demos and measurements.
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

// Error is the class of this package's errors.
var Error = errs.Class("standin")

// Server serves a stand-in. Serve returns nil once Shutdown was called;
// Shutdown lets requests in flight end, and cuts off what is left when ctx is
// done.
type Server interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
}

// Latency is a distribution of durations: lognormal around Mean, and
// StraggleFactor times longer with probability Straggle. The zero value is
// always 0.
type Latency struct {
	Mean           unit.Duration `json:"mean"`
	Sigma          float64       `json:"sigma,omitempty"`    // of the logarithm; 0: always Mean
	Straggle       float64       `json:"straggle,omitempty"` // probability, 0..1
	StraggleFactor float64       `json:"straggle_factor,omitempty"`
}

// Validate returns every error of the distribution.
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
	all = append(all, Probability("straggle", l.Straggle))
	return errors.Join(all...)
}

// Probability returns an error if p is not within 0..1.
func Probability(name string, p float64) error {
	if p >= 0 && p <= 1 {
		return nil
	}
	return Error.New("%s %g is not within 0..1", name, p)
}

// Rand is a seeded source of latencies and chances, safe for concurrent use.
type Rand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewRand returns a source that gives the same sequence for the same seed.
func NewRand(seed uint64) *Rand {
	return &Rand{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Chance returns true with probability p. It draws nothing when p is 0 or 1,
// so that a fault which is off leaves the sequence as it was.
func (r *Rand) Chance(p float64) bool {
	if p <= 0 || p >= 1 {
		return p >= 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < p
}

// Draw returns one duration of the distribution.
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

// lognormal returns a lognormal value whose mean is 1.
func (r *Rand) lognormal(sigma float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return math.Exp(sigma*r.rng.NormFloat64() - sigma*sigma/2)
}

// Named prefixes the error with the name of the field that it belongs to.
func Named(field string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", field, err)
}
