package policy

import "time"

const (
	// DefaultRampSpan is the time in which a new target reaches full work.
	DefaultRampSpan = 10 * time.Second

	rampStart = 0.1 // share of its work that a new target gets first
)

// Ramp raises the work of a target that has just started, because a cold one
// answers slowly. The zero Ramp is warm.
type Ramp struct {
	span  time.Duration
	since time.Time
}

// Restart begins a ramp at now; span 0 takes the default.
func (r *Ramp) Restart(now time.Time, span time.Duration) {
	if span <= 0 {
		span = DefaultRampSpan
	}
	r.since, r.span = now, span
}

// Share returns the part of its full work that the target may get, 0.1..1.
func (r *Ramp) Share(now time.Time) float64 {
	if r.since.IsZero() || now.Sub(r.since) >= r.span {
		return 1
	}
	part := float64(max(now.Sub(r.since), 0)) / float64(r.span)
	return rampStart + (1-rampStart)*part
}

// Takes reports whether the target is among the choices of one request; draw
// is a random number in [0, 1).
func (r *Ramp) Takes(now time.Time, draw float64) bool { return draw < r.Share(now) }
