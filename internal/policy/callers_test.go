package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const callerObjective = 100 * time.Millisecond

func waits(d time.Duration) Arrival {
	return Arrival{At: time.Unix(100, 0), Waits: d, First: true}
}

func TestLateRepeatIsToldByTheTimeThatItsCallerWaits(t *testing.T) {
	is := is.New(t)
	c := NewCallers()
	late := func(d time.Duration) bool {
		c.Observe(waits(d))
		return c.Late(waits(d), callerObjective)
	}
	is.True(!late(600 * time.Millisecond))
	is.True(!late(540 * time.Millisecond)) // came back at once, in time
	is.True(late(400 * time.Millisecond))
	is.True(!late(100 * time.Millisecond)) // a caller of another kind
	is.True(!late(0))                      // one that does not say
	is.True(!c.Late(waits(400*time.Millisecond), 0))
	is.True(!late(30 * time.Second)) // one that waits for long counts only for a while
	for range 500 {
		late(600 * time.Millisecond)
	}
	is.True(!late(590 * time.Millisecond))
	is.True(late(400 * time.Millisecond))
}

// Requests on kept connections tell what callers wait at first, so one caller in
// 25 that waits for longer makes no repeat of the others.
func TestPatientCallersMakeNobodyLate(t *testing.T) {
	is := is.New(t)
	c := NewCallers()
	for i := range 200 {
		a := Arrival{Waits: 800 * time.Millisecond}
		if i%25 == 0 {
			a.Waits = 2 * time.Second
		}
		c.Observe(a)
		if i > 1 {
			is.True(!c.Late(waits(790*time.Millisecond), callerObjective))
		}
	}
	is.True(c.Late(waits(700*time.Millisecond), callerObjective))
}

func TestAnswerLeavesInTimeForItsCaller(t *testing.T) {
	const full = 800 * time.Millisecond
	for name, x := range map[string]struct {
		arrival Arrival
		want    time.Duration // after the arrival, before the lag of the write
	}{
		"nothing known":         {Arrival{First: true}, callerObjective - unknownRoundTrip},
		"near, kept connection": {Arrival{RoundTrip: time.Millisecond, Waits: full}, 99 * time.Millisecond},
		"far, kept connection":  {Arrival{RoundTrip: 16 * time.Millisecond, Waits: full}, 84 * time.Millisecond},
		"far, new connection":   {Arrival{RoundTrip: 16 * time.Millisecond, Waits: full - 17*time.Millisecond, First: true}, 67 * time.Millisecond},
		"repeat in time":        {Arrival{RoundTrip: 2 * time.Millisecond, Waits: full - 40*time.Millisecond, First: true}, 58 * time.Millisecond},
		"late repeat":           {Arrival{RoundTrip: 2 * time.Millisecond, Waits: full - 200*time.Millisecond, First: true}, 98 * time.Millisecond},
		"very far":              {Arrival{RoundTrip: time.Second, Waits: full}, callerObjective / 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := NewCallers()
			c.Observe(Arrival{Waits: full})
			x.arrival.At = time.Unix(100, 0)
			want := x.want - writeLagFirst
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
		c.Wrote(6 * time.Millisecond)
	}
	left := c.AnswerBy(a, callerObjective).Sub(a.At)
	is.True(left < 93*time.Millisecond && left > 90*time.Millisecond)
	for range 2000 {
		c.Wrote(0)
	}
	is.Equal(c.AnswerBy(a, callerObjective).Sub(a.At), callerObjective-2*time.Millisecond-writeLagLeast)
}
