package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestLateRepeatIsToldByTheTimeThatItsCallerWaits(t *testing.T) {
	is := is.New(t)
	const objective = 100 * time.Millisecond
	var p patience
	is.True(!p.late(600*time.Millisecond, objective))
	is.True(!p.late(540*time.Millisecond, objective)) // came back at once, in time
	is.True(p.late(400*time.Millisecond, objective))
	is.True(!p.late(100*time.Millisecond, objective)) // a caller of another kind
	is.True(!p.late(0, objective))                    // one that does not say
	is.True(!p.late(400*time.Millisecond, 0))
	is.True(!p.late(30*time.Second, objective)) // one that waits for long counts only for a while
	for range 500 {
		p.late(600*time.Millisecond, objective)
	}
	is.True(!p.late(590*time.Millisecond, objective))
	is.True(p.late(400*time.Millisecond, objective))
}

// A late request leaves a place to a later one that can still be in time, but not
// for longer than a quarter of its own time.
func TestLateRequestYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := fleetOf("h", "salt-lake", 7, 260).service("s")
		for _, target := range s.targets {
			target.pool.SetLimit(2)
			target.take(time.Now(), 1) // one place of two is taken everywhere
		}
		now := time.Now()
		late := &request{late: true, arrived: now, deadline: now.Add(400 * time.Millisecond), scale: 1}
		fresh := &request{arrived: now, deadline: now.Add(600 * time.Millisecond), scale: 1}
		_, err := s.acquire(t.Context(), fresh, nil)
		is.NoErr(err)
		is.Equal(time.Since(now), time.Duration(0))
		_, err = s.acquire(t.Context(), late, nil)
		is.NoErr(err)
		is.Equal(time.Since(now), 100*time.Millisecond)
	})
}
