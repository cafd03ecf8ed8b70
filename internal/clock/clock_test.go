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
		c, suspend := Virtual()
		began := c.Now()
		time.Sleep(time.Second)
		is.Equal(c.Since(began), time.Second)
		suspend(10 * time.Second)
		is.Equal(c.Since(began), 11*time.Second)
		suspend(time.Second)
		is.Equal(c.asleep(), 11*time.Second)
	})
}

func TestNoClockIsTheSteadyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c *Clock
		began := c.Now()
		is.Equal(began, time.Now())
		time.Sleep(time.Second)
		is.Equal(c.Since(began), time.Second)
	})
}

// On a machine that is not suspended the clock goes as the steady one does.
func TestMachinesClock(t *testing.T) {
	is := is.New(t)
	c := New()
	steady, began := time.Now(), c.Now()
	time.Sleep(10 * time.Millisecond)
	apart := c.Since(began) - time.Since(steady)
	is.True(apart.Abs() < 5*time.Millisecond)
}

func TestEachSuspensionIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, suspend := Virtual()
		ctx, cancel := context.WithCancel(t.Context())
		var told []time.Duration
		go c.Watch(ctx, func(d time.Duration) { told = append(told, d) })
		time.Sleep(time.Minute)
		suspend(7 * time.Second)
		time.Sleep(lookEvery + time.Millisecond)
		suspend(least / 2) // no more than the clocks are read apart
		time.Sleep(time.Minute)
		suspend(3 * time.Second)
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		is.Equal(told, []time.Duration{7 * time.Second, 3*time.Second + least/2})
	})
}
