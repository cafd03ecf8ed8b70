package gateway

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A late request leaves a place to a later one that can still be in time, but not
// for longer than a quarter of its own time.
func TestLateRequestYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := registryOf("h", "salt-lake", 7, 260).service("s")
		for _, target := range s.targets {
			target.pool.SetLimit(2)
			target.reserve(time.Now(), 1) // one place of two is taken everywhere
		}
		now := time.Now()
		late := &request{lateRetry: true, arrived: now, deadline: now.Add(400 * time.Millisecond), latencyScale: 1}
		fresh := &request{arrived: now, deadline: now.Add(600 * time.Millisecond), latencyScale: 1}
		_, err := s.acquire(t.Context(), fresh, nil)
		is.NoErr(err)
		is.Equal(time.Since(now), time.Duration(0))
		_, err = s.acquire(t.Context(), late, nil)
		is.NoErr(err)
		is.Equal(time.Since(now), 100*time.Millisecond)
	})
}

// A part of a query waits for a place no longer than its answer does: what comes
// later is of no use, and would take the place of another one's.
func TestPartWaitsNoLongerThanItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := registryOf("h", "salt-lake", 7, 260).service("s")
		for _, target := range s.targets {
			target.pool.SetLimit(0) // no place anywhere
		}
		now := time.Now()
		part := &request{sharded: true, arrived: now, answerBy: now.Add(90 * time.Millisecond), deadline: now.Add(600 * time.Millisecond), latencyScale: 1}
		_, err := s.acquire(t.Context(), part, nil)
		is.True(errors.Is(err, errDeadline))
		is.Equal(time.Since(now), 90*time.Millisecond)
		_, err = s.acquire(t.Context(), part, nil) // the answer has left
		is.True(errors.Is(err, errDeadline))
		is.Equal(time.Since(now), 90*time.Millisecond)
		whole := &request{arrived: now, answerBy: part.answerBy, deadline: part.deadline, latencyScale: 1}
		_, err = s.acquire(t.Context(), whole, nil)
		is.True(errors.Is(err, errDeadline))
		is.Equal(time.Since(now), 600*time.Millisecond) // late is better than never
	})
}
