package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestSuspensionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, suspend := NewVirtual()
		began := c.Now()
		time.Sleep(time.Second)
		is.Equal(c.Since(began), time.Second)
		suspend(10 * time.Second)
		is.Equal(c.Since(began), 11*time.Second)
		suspend(time.Second)
		is.Equal(c.suspendedFor(), 11*time.Second)
	})
}

func TestNilClockIsTheMonotonicOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c *Clock
		began := c.Now()
		is.Equal(began, time.Now())
		time.Sleep(time.Second)
		is.Equal(c.Since(began), time.Second)
	})
}

// On a machine that is not suspended the two clocks advance alike.
func TestBootTimeMatchesMonotonicClock(t *testing.T) {
	is := is.New(t)
	c := New()
	steady, began := time.Now(), c.Now()
	time.Sleep(10 * time.Millisecond)
	difference := c.Since(began) - time.Since(steady)
	is.True(difference.Abs() < 5*time.Millisecond)
}

func TestWatchReportsEachSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, suspend := NewVirtual()
		ctx, cancel := context.WithCancel(t.Context())
		var reported []time.Duration
		go c.Watch(ctx, func(d time.Duration) { reported = append(reported, d) })
		time.Sleep(time.Minute)
		suspend(7 * time.Second)
		time.Sleep(watchInterval + time.Millisecond)
		suspend(minReportedSuspension / 2) // too short to be reported alone
		time.Sleep(time.Minute)
		suspend(3 * time.Second)
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		is.Equal(reported, []time.Duration{7 * time.Second, 3*time.Second + minReportedSuspension/2})
	})
}
