package delivery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Kills one host and simulates a platform outage. The report must contain every
// delivery except the last ones of the killed host, and must list that host.
func TestReportEqualsRecordedDeliveries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, DefaultConfig(), 3)
		for minute := range 30 {
			f.platform.SetDown(minute >= 5 && minute < 15)
			if minute == 20 {
				f.leave("h2", true)
			}
			for range 6 {
				f.record(3)
				time.Sleep(10*time.Second + 100*time.Millisecond)
			}
		}
		f.record(1)
		f.stopAll()

		r := f.report(time.Hour)
		is.Equal(len(r.Completeness.Missing), 0)
		is.Equal(len(r.Completeness.Incomplete), 1) // the killed host
		is.Equal(r.Completeness.Incomplete[0].Host, "h2")
		is.Equal(r.Completeness.Incomplete[0].Reason, EndedUnwritten)
		is.Equal(f.differences(r), nil)
		is.True(f.recorded["h2/3"]-r.Lines[2].Totals.Count <= 6) // the deliveries of its last windows
	})
}

// inBubble hides the test's deadline, which must not be read in a synctest
// bubble.
type inBubble struct{ rapid.TB }

// Kills, stops and restarts hosts while the platform has outages, loses
// requests and responses, and applies writes long after they were given up.
// Windows are aggregated meanwhile.
func TestTotalsUnderFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(rt *rapid.T) {
			cfg := DefaultConfig()
			cfg.Shards = 2
			f := newFleet(rt, cfg, 3)
			defer f.stopAll()
			for range rapid.IntRange(5, 25).Draw(rt, "steps") {
				f.fail(rt)
				f.record(rapid.IntRange(0, 4).Draw(rt, "deliveries"))
				time.Sleep(time.Duration(rapid.IntRange(1, 100).Draw(rt, "seconds")) * time.Second)
			}
			f.heal()
			time.Sleep(15 * time.Minute)    // windows are aggregated
			f.platform.ApplyDelayedWrites() // delayed writes are applied after their windows were removed
			time.Sleep(10 * time.Minute)
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

// fail starts or ends one fault.
func (f *fleet) fail(t *rapid.T) {
	id := rapid.SampledFrom(f.ids()).Draw(t, "host")
	client := f.hosts[id].client
	n := rapid.IntRange(1, 3).Draw(t, "times")
	switch rapid.SampledFrom([]string{"down", "up", "cut", "lose", "drop", "hold", "release", "kill", "stop", "none"}).Draw(t, "failure") {
	case "down":
		f.platform.SetDown(true)
	case "up":
		f.heal()
	case "cut":
		client.SetDown(true)
	case "lose":
		client.LoseNextAnswers(n)
	case "drop":
		client.LoseNextRequests(n)
	case "hold":
		client.DelayNextWrites(n)
	case "release":
		f.platform.ApplyDelayedWrites()
	case "kill":
		f.leave(id, true)
		f.start(id)
	case "stop":
		f.leave(id, false)
		f.start(id)
	}
}

// heal ends all outages.
func (f *fleet) heal() {
	f.platform.SetDown(false)
	for _, h := range f.hosts {
		h.client.SetDown(false)
	}
}

// A host that does not announce its start writes nothing before its first
// window, and the report still contains what it delivered meanwhile.
func TestFirstWindowWithoutAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		cfg.AnnounceStart = false
		f := newFleet(t, cfg, 2)
		f.record(3)
		synctest.Wait()
		is.Equal(f.report(time.Hour).Completeness.Windows, uint64(0))
		time.Sleep(cfg.interval(2) + time.Second)
		r := f.report(time.Hour)
		is.True(r.Completeness.Windows > 0)
		is.Equal(f.differences(r), nil)
		f.stopAll()
	})
}
