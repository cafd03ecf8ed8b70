package policy

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	gateSpan      = 50 * time.Millisecond // between two moves of the threshold
	gateMinGrants = 8                     // grants that a move needs
	gateLowest    = 0.01                  // of the requests that are admitted whatever the load
	gateRaise     = 1.02                  // growth of the threshold in a window without overload
	gateCutMost   = 0.5                   // lowest factor of one cut
	gateCutLeast  = 0.95                  // highest factor of one cut
)

// Rank places a request in [0, 1) by its id. Every host and every service
// ranks it alike, so that all of them refuse the same requests under overload.
// A query over many shards is worth nothing when each shard is refused for
// another request.
func Rank(requestID string) float64 {
	const bits = 53 // of a float64's fraction
	return float64(xxhash.Sum64String(requestID)>>(64-bits)) / (1 << bits)
}

// Gate refuses the part of the requests that the targets cannot serve: those
// whose rank is at or above a threshold. The threshold falls while the waits
// show a standing queue and rises while they do not.
type Gate struct {
	threshold float64
	target    time.Duration // shortest wait in a window that shows overload
	since     time.Time
	offered   int // that passed the threshold
	grants    int
	least     time.Duration
}

// NewGate returns an open gate. target is the wait that the shortest of a
// window may reach.
func NewGate(target time.Duration) *Gate { return &Gate{threshold: 1, target: target} }

// Admits reports whether a request of this rank passes, and counts it.
func (g *Gate) Admits(rank float64) bool {
	if rank >= g.threshold {
		return false
	}
	g.offered++
	return true
}

// Granted takes the wait of a request that got its place.
func (g *Gate) Granted(now time.Time, wait time.Duration) {
	if g.since.IsZero() {
		g.since = now
	}
	if g.grants == 0 || wait < g.least {
		g.least = wait
	}
	g.grants++
	if g.grants >= gateMinGrants && now.Sub(g.since) >= gateSpan {
		g.move(now)
	}
}

// Threshold returns the part of the requests that pass, 0.01..1.
func (g *Gate) Threshold() float64 { return g.threshold }

func (g *Gate) move(now time.Time) {
	factor := gateRaise
	if g.least > g.target {
		served := float64(g.grants) / float64(max(g.offered, 1))
		factor = math.Min(math.Max(served, gateCutMost), gateCutLeast)
	}
	g.threshold = math.Min(math.Max(g.threshold*factor, gateLowest), 1)
	g.since, g.offered, g.grants = now, 0, 0
}
