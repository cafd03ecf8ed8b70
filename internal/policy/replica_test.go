package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func threeReplicas() []*Replica {
	return []*Replica{
		NewReplica("a", true, 2, 1, 2),
		NewReplica("b", false, 2, 1, 2),
		NewReplica("c", false, 2, 1, 2),
	}
}

// simulate sends n requests one after another; answer returns the outcome of an
// attempt at a replica. The result is the number of requests by replica.
func simulate(replicas []*Replica, from time.Time, n int, answer func(id string) (time.Duration, Signal)) map[string]int {
	rng, got, now := seeded(), make(map[string]int), from
	for range n {
		r := Pick(now, rng, FirstTry, replicas, nil)
		if r == nil {
			now = now.Add(time.Millisecond)
			continue
		}
		r.Send(now)
		latency, signal := answer(r.ID)
		now = now.Add(latency)
		r.Done(now, latency, signal, replicas)
		got[r.ID]++
	}
	return got
}

func TestStragglerGetsHardlyAnyFirstTry(t *testing.T) {
	is := is.New(t)
	replicas := threeReplicas()
	got := simulate(replicas, start, 3000, func(id string) (time.Duration, Signal) {
		if id == "c" {
			return 50 * time.Millisecond, Served
		}
		return 5 * time.Millisecond, Served
	})
	is.True(got["c"] < 15) // one to measure it, another after the measurement has lost weight
}

func TestSlowTargetIsSetAsideAndProbed(t *testing.T) {
	is := is.New(t)
	o := NewOutlier()
	for range minOutcomes {
		o.Observe(start, 50*time.Millisecond, Served, 5*time.Millisecond)
	}
	is.True(o.Ejected(start))
	is.True(!o.ProbeDue(start))
	now := at(minEjectTime)
	is.True(o.ProbeDue(now))
	o.Sent(now)
	is.True(!o.ProbeDue(now)) // one probe at a time
	o.Observe(now, 50*time.Millisecond, Served, 5*time.Millisecond)
	is.True(!o.ProbeDue(now.Add(minEjectTime))) // the ejection is twice as long now
	now = now.Add(2 * minEjectTime)
	o.Sent(now)
	o.Observe(now, 5*time.Millisecond, Served, 5*time.Millisecond)
	is.True(!o.Ejected(now))
}

func TestFrozenTargetIsSetAsideByAbandonedAttempts(t *testing.T) {
	is := is.New(t)
	got := simulate(threeReplicas(), start, 3000, func(id string) (time.Duration, Signal) {
		if id == "c" {
			return 40 * time.Millisecond, Abandoned // the hedge won
		}
		return 5 * time.Millisecond, Served
	})
	is.True(got["c"] < 20)
}

func TestFailingTargetGetsHardlyAnyFirstTry(t *testing.T) {
	for _, every := range []int{1, 2} { // every attempt fails, or every second one
		is := is.New(t)
		n := 0
		got := simulate(threeReplicas(), start, 3000, func(id string) (time.Duration, Signal) {
			if id != "c" {
				return 5 * time.Millisecond, Served
			}
			if n++; n%every == 0 {
				return 2 * time.Millisecond, Errored
			}
			return 5 * time.Millisecond, Served
		})
		is.True(got["c"] < 150) // 5 %
	}
}

func TestOvertakenAttemptsSetATargetAside(t *testing.T) {
	is := is.New(t)
	o := NewOutlier()
	for range 20 {
		o.Observe(start, 5*time.Millisecond, Served, 5*time.Millisecond)
	}
	overtaken := 0
	for !o.Ejected(start) {
		o.Observe(start, 14*time.Millisecond, Abandoned, 5*time.Millisecond)
		overtaken++
		is.True(overtaken < 10)
	}
	p := NewOutlier()
	for range 100 { // abandoned early: by the caller, not because the target was slow
		p.Observe(start, 4*time.Millisecond, Abandoned, 5*time.Millisecond)
	}
	is.True(!p.Ejected(start))
}

func TestAttemptWaitsRatherThanGoToASlowFreeTarget(t *testing.T) {
	is := is.New(t)
	replicas := threeReplicas()
	now := start
	for range 20 {
		for _, r := range replicas[:2] {
			r.Outlier.Observe(now, 5*time.Millisecond, Served, 0)
		}
	}
	replicas[2].Send(now) // never answered
	now = at(40 * time.Millisecond)
	is.True(Pick(now, seeded(), FirstTry, replicas, nil).ID != "c")
	for _, r := range replicas[:2] {
		r.Send(now)
		r.Send(now)
	}
	is.True(replicas[2].Limiter.Free(now))
	is.True(Pick(now, seeded(), FirstTry, replicas, nil) == nil)
}

func TestTargetThatRecoversGetsWorkAgain(t *testing.T) {
	is := is.New(t)
	replicas := threeReplicas()
	slow := true
	answer := func(id string) (time.Duration, Signal) {
		if id == "c" && slow {
			return 500 * time.Millisecond, Served
		}
		return 5 * time.Millisecond, Served
	}
	simulate(replicas, start, 500, answer)
	slow = false
	got := simulate(replicas, at(2*time.Minute), 3000, answer)
	is.True(got["c"] > 300) // a sixth when all are equal: one of two remote ones, in a third of the pairs
}

func TestWhenAllFailTheyAreAskedStill(t *testing.T) {
	is := is.New(t)
	got := simulate(threeReplicas(), start, 300, func(string) (time.Duration, Signal) {
		return time.Millisecond, Errored
	})
	is.Equal(got["a"]+got["b"]+got["c"], 300)
}

func TestHedgeGoesToAHealthyReplicaOrNowhere(t *testing.T) {
	is := is.New(t)
	replicas := threeReplicas()
	replicas[1].Outlier.eject(start)
	not := func(id string) func(*Replica) bool { return func(r *Replica) bool { return r.ID != id } }
	for range 50 {
		is.Equal(Pick(start, seeded(), Hedge, replicas, not("a")).ID, "c")
	}
	replicas[2].Outlier.eject(start)
	is.True(Pick(start, seeded(), Hedge, replicas, not("a")) == nil)
	is.True(Pick(start, seeded(), Retry, replicas, not("a")) != nil)
}

func TestPickNeverTakesAFullOrUnusableReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas, rng := threeReplicas(), seeded()
		barred := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "barred")
		usable := func(r *Replica) bool { return r.ID != barred }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if r := replicas[rapid.IntRange(0, 2).Draw(t, "done")]; rapid.Bool().Draw(t, "end") && r.Limiter.InFlight() > 0 {
				r.Done(start, time.Millisecond, Signal(rapid.IntRange(0, 3).Draw(t, "signal")), replicas)
				continue
			}
			r := Pick(start, rng, Try(rapid.IntRange(0, 2).Draw(t, "try")), replicas, usable)
			if r == nil {
				continue
			}
			if r.ID == barred || !r.Limiter.Free(start) {
				t.Fatalf("picked %s", r.ID)
			}
			r.Send(start)
		}
	})
}

func TestChooseTakesTheOwnDomainUnlessLoaded(t *testing.T) {
	is := is.New(t)
	rng := seeded()
	options := []Option{{Cost: 5, Local: true}, {Cost: 5}}
	for range 50 {
		is.Equal(Choose(rng, options), 0)
	}
	options[0].Cost = 7
	for range 50 {
		is.Equal(Choose(rng, options), 1)
	}
	options[1].LastResort = true
	is.Equal(Choose(rng, options), 0)
	is.Equal(Choose(rng, nil), -1)
}

func TestColdTargetGetsLittleWork(t *testing.T) {
	is := is.New(t)
	replicas := threeReplicas()
	replicas[0].Restart(start, time.Hour)
	got := simulate(replicas, start, 3000, func(string) (time.Duration, Signal) { return time.Millisecond, Served })
	is.True(got["a"] > 0)
	is.True(got["a"] < 600) // a tenth of its choices
}
