package policy

import "time"

const (
	// DefaultRampSpan is the time in which a restarted target reaches its full
	// share.
	DefaultRampSpan = 10 * time.Second

	initialRampShare = 0.1 // of its full work, just after the restart
)

// Ramp limits the work of a target that has just started, because it answers
// slowly at first. The zero Ramp does not limit.
type Ramp struct {
	duration  time.Duration
	startedAt time.Time
}

// Restart starts a ramp at now; span 0 takes the default.
func (r *Ramp) Restart(now time.Time, span time.Duration) {
	if span <= 0 {
		span = DefaultRampSpan
	}
	r.startedAt, r.duration = now, span
}

// Share returns the fraction of its full work that the target may get, 0.1..1.
func (r *Ramp) Share(now time.Time) float64 {
	if r.startedAt.IsZero() || now.Sub(r.startedAt) >= r.duration {
		return 1
	}
	part := float64(max(now.Sub(r.startedAt), 0)) / float64(r.duration)
	return initialRampShare + (1-initialRampShare)*part
}

// Takes reports whether the target is a regular candidate for one request; draw
// is a random number in [0, 1).
func (r *Ramp) Takes(now time.Time, draw float64) bool { return draw < r.Share(now) }
