// Package clock tells time that goes on while the machine is suspended. The steady clock that
// time.Now reads stands still then, so that what a host believed before would seem younger than it is.
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells time for ages: how old a belief is, and how long ago a request came. Its readings are
// compared with each other alone: those of time.Now, timers and deadlines of contexts know nothing
// of a suspension. A nil Clock is the steady clock, as on a machine that is never suspended.
type Clock struct{ now func() time.Time }

// New returns the machine's clock, CLOCK_BOOTTIME. A reading is one call of the kernel.
func New() *Clock {
	began, before := time.Now(), sinceBoot()
	return &Clock{now: func() time.Time { return began.Add(sinceBoot() - before) }}
}

// sinceBoot returns the time since the machine started, suspended or not.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // each kernel since Linux 2.6.39 has it
	}
	return time.Duration(t.Nano())
}

// Virtual returns a clock for tests, and a function that lets a suspension of the machine pass.
func Virtual() (c *Clock, suspend func(time.Duration)) {
	var asleep atomic.Int64
	c = (*Clock)(nil).Plus(func() time.Duration { return time.Duration(asleep.Load()) })
	return c, func(d time.Duration) { asleep.Add(int64(d)) }
}

// Plus returns the clock of a machine that was suspended for some time more, as a function tells.
func (c *Clock) Plus(asleep func() time.Duration) *Clock {
	return &Clock{now: func() time.Time { return c.Now().Add(asleep()) }}
}

// Now returns the time.
func (c *Clock) Now() time.Time {
	if c == nil {
		return time.Now()
	}
	return c.now()
}

// Since returns the time that has passed since a reading of Now.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// asleep returns for how long the machine was suspended since the clock was made.
func (c *Clock) asleep() time.Duration { return time.Until(c.Now()) }

const (
	// lookEvery is the time between two looks at whether the machine was suspended.
	lookEvery = 50 * time.Millisecond
	// least is the shortest suspension that is told. Shorter ones are what the two clocks
	// are read apart.
	least = 10 * time.Millisecond
)

// Watch calls woken after each suspension of the machine, soon after it has gone on, with how long it
// was. It returns once ctx is done.
func (c *Clock) Watch(ctx context.Context, woken func(time.Duration)) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	before := c.asleep()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if now := c.asleep(); now-before >= least {
			woken(now - before)
			before = now
		}
	}
}
