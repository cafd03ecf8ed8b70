package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const callerObjective = 100 * time.Millisecond

// newArrival returns a first request on its connection, whose caller waits for d more.
func newArrival(d time.Duration) Arrival {
	return Arrival{At: time.Unix(100, 0), RemainingWait: d, First: true}
}

func TestLateRetryIsDetectedByItsRemainingWait(t *testing.T) {
	is := is.New(t)
	c := NewCallers()
	late := func(d time.Duration) bool {
		c.Observe(newArrival(d))
		return c.Late(newArrival(d), callerObjective)
	}
	is.True(!late(600 * time.Millisecond))
	is.True(!late(540 * time.Millisecond)) // retried at once after a refusal, in time
	is.True(late(400 * time.Millisecond))
	is.True(!late(100 * time.Millisecond)) // a caller with another timeout
	is.True(!late(0))                      // not stated
	is.True(!c.Late(newArrival(400*time.Millisecond), 0))
	is.True(!late(30 * time.Second)) // a long wait counts only until it has decayed
	for range 500 {
		late(600 * time.Millisecond)
	}
	is.True(!late(590 * time.Millisecond))
	is.True(late(400 * time.Millisecond))
}

// Requests on reused connections show the common wait, so one caller in 25 with a longer
// timeout does not make the requests of the others look like late retries.
func TestPatientCallersMakeNobodyLate(t *testing.T) {
	is := is.New(t)
	c := NewCallers()
	for i := range 200 {
		a := Arrival{RemainingWait: 800 * time.Millisecond}
		if i%25 == 0 {
			a.RemainingWait = 2 * time.Second
		}
		c.Observe(a)
		if i > 1 {
			is.True(!c.Late(newArrival(790*time.Millisecond), callerObjective))
		}
	}
	is.True(c.Late(newArrival(700*time.Millisecond), callerObjective))
}

func TestAnswerLeavesInTimeForItsCaller(t *testing.T) {
	const full = 800 * time.Millisecond
	for name, x := range map[string]struct {
		arrival Arrival
		want    time.Duration // after the arrival, without the write lag
	}{
		"nothing known":         {Arrival{First: true}, callerObjective - defaultRoundTrip},
		"near, kept connection": {Arrival{RoundTrip: time.Millisecond, RemainingWait: full}, 99 * time.Millisecond},
		"far, kept connection":  {Arrival{RoundTrip: 16 * time.Millisecond, RemainingWait: full}, 84 * time.Millisecond},
		"far, new connection":   {Arrival{RoundTrip: 16 * time.Millisecond, RemainingWait: full - 17*time.Millisecond, First: true}, 67 * time.Millisecond},
		"repeat in time":        {Arrival{RoundTrip: 2 * time.Millisecond, RemainingWait: full - 40*time.Millisecond, First: true}, 58 * time.Millisecond},
		"late repeat":           {Arrival{RoundTrip: 2 * time.Millisecond, RemainingWait: full - 200*time.Millisecond, First: true}, 98 * time.Millisecond},
		"very far":              {Arrival{RoundTrip: time.Second, RemainingWait: full}, callerObjective / 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := NewCallers()
			c.Observe(Arrival{RemainingWait: full})
			x.arrival.At = time.Unix(100, 0)
			want := x.want - initialWriteLag
			if name == "very far" {
				want = x.want
			}
			is.Equal(c.AnswerBy(x.arrival, callerObjective).Sub(x.arrival.At), want)
		})
	}
}

func TestSlowWritesAreAllowedFor(t *testing.T) {
	is := is.New(t)
	c := NewCallers()
	a := Arrival{At: time.Unix(100, 0), RoundTrip: 2 * time.Millisecond}
	for range 100 {
		c.ObserveWriteLag(6 * time.Millisecond)
	}
	left := c.AnswerBy(a, callerObjective).Sub(a.At)
	is.True(left < 93*time.Millisecond && left > 90*time.Millisecond)
	for range 2000 {
		c.ObserveWriteLag(0)
	}
	is.Equal(c.AnswerBy(a, callerObjective).Sub(a.At), callerObjective-2*time.Millisecond-minWriteLag)
}
