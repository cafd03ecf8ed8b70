package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stopping host must not admit a request that it would have to end without a result.
func TestStopAdmitsWhatEndsBeforeIt(t *testing.T) {
	began := time.Unix(100, 0)
	stop := HostStop{Began: began, Ends: began.Add(5 * time.Second)} // reserve: 2 s
	for name, c := range map[string]struct {
		after, limit, slow time.Duration
		want               bool
	}{
		"early":                                {0, 5 * time.Second, 100 * time.Millisecond, true},
		"before the reserve":                   {2900 * time.Millisecond, 5 * time.Second, 100 * time.Millisecond, true},
		"in the reserve":                       {3100 * time.Millisecond, 5 * time.Second, 100 * time.Millisecond, false},
		"in the reserve, no latency known":     {3100 * time.Millisecond, 5 * time.Second, 0, false},
		"in the reserve, ends by its limit":    {3100 * time.Millisecond, 1800 * time.Millisecond, 100 * time.Millisecond, true},
		"slow route, early":                    {1900 * time.Millisecond, 5 * time.Second, 2 * time.Second, true},
		"slow route, before the reserve":       {2100 * time.Millisecond, 5 * time.Second, 2 * time.Second, false},
		"slow route, ends by its limit":        {2100 * time.Millisecond, 2800 * time.Millisecond, 2 * time.Second, true},
		"after the end, however short":         {5001 * time.Millisecond, time.Millisecond, 0, false},
		"slower than the stop, from its start": {0, 10 * time.Second, 4 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(stop.Admits(began.Add(c.after), c.limit, c.slow), c.want)
		})
	}
}
