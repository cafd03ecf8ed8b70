// Package clock measures time that includes suspensions of the machine. The monotonic clock that
// time.Now reads stops during a suspension, so that cached state would seem younger than it is. The
// package provides no timers or deadlines; begin with Clock.
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures ages, such as that of cached state or of a received request. Compare its readings
// with each other only: time.Now, timers and context deadlines do not include suspensions. A nil
// Clock is the monotonic clock, as on a machine that is never suspended.
type Clock struct{ now func() time.Time }

// New returns the machine's clock, CLOCK_BOOTTIME. A reading takes one system call.
func New() *Clock {
	startTime, bootReading := time.Now(), timeSinceBoot()
	return &Clock{now: func() time.Time { return startTime.Add(timeSinceBoot() - bootReading) }}
}

// timeSinceBoot returns the time since the machine booted, suspensions included.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel since Linux 2.6.39 supports it
	}
	return time.Duration(t.Nano())
}

// NewVirtual returns a clock for tests, and a function that simulates a suspension of the machine.
func NewVirtual() (c *Clock, suspend func(time.Duration)) {
	var suspended atomic.Int64
	c = (*Clock)(nil).WithOffset(func() time.Duration { return time.Duration(suspended.Load()) })
	return c, func(d time.Duration) { suspended.Add(int64(d)) }
}

// WithOffset returns a clock that is ahead of c by what suspended returns, as if the machine had been
// suspended for that much longer.
func (c *Clock) WithOffset(suspended func() time.Duration) *Clock {
	return &Clock{now: func() time.Time { return c.Now().Add(suspended()) }}
}

// Now returns the current time of the clock.
func (c *Clock) Now() time.Time {
	if c == nil {
		return time.Now()
	}
	return c.now()
}

// Since returns the time that has elapsed since t, a reading of Now.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// suspendedFor returns how long the machine was suspended since the clock was created.
func (c *Clock) suspendedFor() time.Duration { return time.Until(c.Now()) }

const (
	// watchInterval is the time between two checks for a suspension.
	watchInterval = 50 * time.Millisecond
	// minReportedSuspension is the shortest suspension that Watch reports. Smaller differences
	// arise because the two clocks are not read at the same instant.
	minReportedSuspension = 10 * time.Millisecond
)

// Watch calls onResume after each suspension of the machine, soon after it has resumed, with the
// duration of the suspension. It returns once ctx is done.
func (c *Clock) Watch(ctx context.Context, onResume func(time.Duration)) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	reported := c.suspendedFor()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if now := c.suspendedFor(); now-reported >= minReportedSuspension {
			onResume(now - reported)
			reported = now
		}
	}
}
