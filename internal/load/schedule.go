package load

import (
	"math/rand/v2"
	"time"
)

// arrivals returns the scheduled starts of the requests of a Poisson process with
// the given rate per second, as offsets from the start of the run. The same seed
// gives the same arrivals.
func arrivals(rate float64, span time.Duration, seed uint64) []time.Duration {
	rng := rand.New(rand.NewPCG(seed, seed))
	var starts []time.Duration
	next := time.Duration(0)
	for {
		next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if next >= span {
			return starts
		}
		starts = append(starts, next)
	}
}
