package delivery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestReportEqualsDriver kills one host and takes the platform down for a
// while. The report must have every delivery but those of the killed host, and
// must name that host.
func TestReportEqualsDriver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		for minute := range 30 {
			f.platform.Outage(minute >= 5 && minute < 15)
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

		r := f.report(Query{Since: time.Hour, By: []Field{FieldCaller}})
		is.Equal(len(r.Completeness.Missing), 0)
		is.Equal(len(r.Completeness.Open), 1) // the killed host
		is.Equal(r.Completeness.Open[0].Host, "h2")
		is.Equal(r.Completeness.Open[0].Ending, EndedUnwritten)
		complete, incomplete := f.whole(r.Completeness)
		is.True(r.Total() >= complete)              // all that the report vouches for
		is.True(r.Total() <= complete+incomplete)   // nothing counted twice
		is.True(complete+incomplete-r.Total() <= 6) // of the killed host at most its last windows
		is.Equal(len(r.Lines), 3)                   // one a caller
	})
}

// TestLostAnswersCountOnce loses answers and requests, and lets writes take
// effect long after they were given up.
func TestLostAnswersCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		for i := range 60 {
			h := f.hosts["h0"]
			switch i % 3 {
			case 0:
				h.client.LoseNextAnswers(2)
			case 1:
				h.client.HoldNextWrites(1)
			case 2:
				h.client.LoseNextRequests(1)
				f.platform.Release()
			}
			f.record(3)
			time.Sleep(9 * time.Second)
		}
		f.stopAll()
		f.platform.Release()
		r := f.report(Query{})
		is.True(r.Completeness.Complete())
		is.Equal(r.Total(), uint64(2*60*3))
	})
}
