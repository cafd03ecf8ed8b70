package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Whatever the hosts, the sum of their parts stays within the bound.
func TestPartsOfAColdTargetStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.Float64Range(0, 200).Draw(t, "bound")
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,4}"), 0, 80, rapid.ID[string]).Draw(t, "hosts")
		warmers, each := DivideCold(bound, "t", hosts)
		if float64(len(warmers)*each) > bound {
			t.Fatalf("%d hosts with %d each over a bound of %g", len(warmers), each, bound)
		}
		if bound >= 2 && len(hosts) > 0 && each < 1 {
			t.Fatalf("nobody may send anything of a bound of %g", bound)
		}
		for _, w := range warmers {
			if !slices.Contains(hosts, w) {
				t.Fatalf("%s is none of the hosts", w)
			}
		}
	})
}

// Different targets are assigned to different hosts, so that every host gets some of them.
func TestColdTargetsSpreadOverHosts(t *testing.T) {
	is := is.New(t)
	var hosts []string
	for i := range 21 {
		hosts = append(hosts, fmt.Sprint("host-", i))
	}
	targetsByHost := map[string]int{}
	for i := range 100 {
		warmers, each := DivideCold(23, fmt.Sprint("target-", i), hosts)
		is.Equal(len(warmers), 7)
		is.Equal(each, 3)
		for _, w := range warmers {
			targetsByHost[w]++
		}
	}
	is.Equal(len(targetsByHost), len(hosts))
}

// A host never exceeds its part in any second, and requests that are not urgent leave a reserve.
func TestColdWindowHoldsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		var w ColdWindow
		now := time.Now()
		var sent []time.Time
		for range rapid.IntRange(1, 120).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			urgent := rapid.Bool().Draw(t, "urgent")
			next := w.Next(now, limit, urgent)
			if w.Room(now, limit, urgent) <= 0 {
				if !next.After(now) {
					t.Fatalf("no room, and more may be sent at once")
				}
				before := ColdWindow{sent: slices.Clone(w.sent)}
				if before.Room(next.Add(-time.Nanosecond), limit, urgent) > 0 {
					t.Fatalf("there is room before %s", next)
				}
				continue
			}
			if next != now {
				t.Fatalf("there is room, and the next may be sent in %s", next.Sub(now))
			}
			w.Sent(now)
			sent = append(sent, now)
			recent := 0
			for _, at := range sent {
				if now.Sub(at) < time.Second {
					recent++
				}
			}
			if recent > limit {
				t.Fatalf("%d requests in a second, %d may be sent", recent, limit)
			}
			if !urgent && limit > 1 && recent == limit {
				t.Fatalf("nothing is left for urgent requests")
			}
		}
	})
}
