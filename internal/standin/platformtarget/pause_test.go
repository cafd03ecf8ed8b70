package platformtarget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestWorkStandsStillInPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := New(Config{Pause: 250 * time.Millisecond, PauseEvery: time.Second})
		is.Equal(target.durationWithPauses(10*time.Millisecond), 260*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		is.Equal(target.durationWithPauses(10*time.Millisecond), 10*time.Millisecond)
		time.Sleep(495 * time.Millisecond)
		is.Equal(target.durationWithPauses(10*time.Millisecond), 260*time.Millisecond)
		is.Equal(target.durationWithPauses(800*time.Millisecond), 1300*time.Millisecond)
	})
}
