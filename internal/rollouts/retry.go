package rollouts

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// retry paces the attempts at one call that runs beside the ticks: one at a time, with growing
// delays after failures.
type retry struct {
	running bool
	next    time.Time // earliest time of the next attempt
	delays  *backoff.ExponentialBackOff
}

// begin reports whether an attempt may begin now, and notes it.
func (r *retry) begin(now time.Time) bool {
	if r.running || now.Before(r.next) {
		return false
	}
	r.running = true
	return true
}

// end notes the end of an attempt.
func (r *retry) end(now time.Time, err error) {
	r.running = false
	if err == nil {
		r.next, r.delays = time.Time{}, nil
		return
	}
	if r.delays == nil {
		r.delays = backoff.NewExponentialBackOff()
		r.delays.InitialInterval, r.delays.MaxInterval = minRetryDelay, maxRetryDelay
	}
	r.next = now.Add(r.delays.NextBackOff())
}
