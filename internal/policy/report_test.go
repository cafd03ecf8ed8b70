package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// One report makes a target the most expensive choice, or a regular one again; latencies would require many
// answers.
func TestReportChangesExpectedCostAtOnce(t *testing.T) {
	is := is.New(t)
	o, usual := NewQuickOutlier(), NewQuickOutlier()
	now := sendAttempts(o, time.Now(), 50*time.Millisecond, typicalAnswer, Served, 20)
	sendAttempts(usual, now.Add(-time.Second), 50*time.Millisecond, typicalAnswer, Served, 20)
	expected := func(o *Outlier, now time.Time) float64 { return o.Expected(now, 0, 4, typicalAnswer) }
	o.Reported(now, NewReport(8, 1, 0, 4))
	is.True(expected(o, now) >= 7*expected(usual, now))
	o.Reported(now, NewReport(1, 4, 4, 4)) // a whole round of requests waits
	is.True(expected(o, now) >= 1.9*expected(usual, now))
	o.Reported(now, NewReport(1, 4, 0, 4))
	is.True(expected(o, now) < 1.1*expected(usual, now))
	o.Reported(now, NewReport(8, 0, 0, 4))
	is.True(expected(o, now.Add(maxReportAge+time.Millisecond)) < 2*typicalAnswer.Seconds()) // the report has expired
}

// Attempts delayed by a pause, however long, do not eject a target that then reports its usual speed. A target
// that reports to be slow is ejected, and so is one that stops reporting.
func TestReportDistinguishesPausesFromSlowness(t *testing.T) {
	is := is.New(t)
	for name, c := range map[string]struct {
		slowness float64
		ejected  bool
	}{"pause": {1, false}, "slow": {8, true}, "says nothing": {0, true}} {
		o := NewQuickOutlier()
		now := sendAttempts(o, time.Now(), 50*time.Millisecond, typicalAnswer, Served, 20)
		o.Reported(now, NewReport(1, 1, 0, 4))
		now = now.Add(time.Millisecond)
		const pause = 600 * time.Millisecond
		for i := range 4 {
			o.Sent(now.Add(time.Duration(i) * 100 * time.Millisecond))
		}
		end := now.Add(pause)
		for i := range 4 {
			if c.slowness > 0 {
				o.Reported(end, NewReport(c.slowness, 1, 0, 4))
			}
			o.Observe(end, pause-time.Duration(i)*100*time.Millisecond, Served, typicalAnswer)
		}
		if o.Ejected(end) != c.ejected {
			t.Errorf("%s: set aside %t", name, o.Ejected(end))
		}
		is.True(o.Known())
	}
}
