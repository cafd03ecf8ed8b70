package delivery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The platform is restored from a copy that lacks the last windows of running hosts. Reports still contain them,
// because each host rewrites its own.
func TestWindowsSurviveRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, DefaultConfig(), 3)
		for range 12 {
			f.record(3)
			time.Sleep(10*time.Second + 100*time.Millisecond)
		}
		older := f.platform.Backup()
		for range 2 {
			f.record(3)
			time.Sleep(10*time.Second + 100*time.Millisecond)
		}
		f.platform.Restore(older)
		f.record(1)
		time.Sleep(30 * time.Second)
		f.stopAll()

		r := f.report(time.Hour)
		is.Equal(len(r.Completeness.Missing), 0)
		is.Equal(f.differences(r), nil)
		is.Equal(len(r.Lines), 3)
	})
}

// Kills, stops and restarts hosts while the platform has outages, loses requests and responses, and is restored from
// older copies. Windows are aggregated meanwhile. Reports never contain more than was recorded, and list what they
// lack.
func TestTotalsOverRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(rt *rapid.T) {
			f := newFleet(rt, DefaultConfig(), 3)
			defer f.stopAll()
			for range rapid.IntRange(5, 25).Draw(rt, "steps") {
				f.fail(rt)
				f.record(rapid.IntRange(0, 4).Draw(rt, "deliveries"))
				time.Sleep(time.Duration(rapid.IntRange(1, 100).Draw(rt, "seconds")) * time.Second)
				older := f.platform.Backup()
				f.record(rapid.IntRange(0, 4).Draw(rt, "more"))
				time.Sleep(time.Duration(rapid.IntRange(0, 12).Draw(rt, "age")) * time.Second)
				if rapid.Bool().Draw(rt, "restore") {
					f.platform.Restore(older)
				}
			}
			f.heal()
			f.platform.ApplyDelayedWrites()
			time.Sleep(25 * time.Minute)
			for _, id := range f.ids()[1:] {
				f.leave(id, false)
			}
			time.Sleep(time.Minute)
			if d := f.differences(f.report(6 * time.Hour)); d != nil {
				rt.Fatal(d)
			}
		})
	})
}
