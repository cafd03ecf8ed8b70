package relay

import (
	"encoding/json"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/policy"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

func rejectAll(code string, status int) func(http.ResponseWriter, *http.Request, targetapi.Answer) {
	return func(w http.ResponseWriter, r *http.Request, _ targetapi.Answer) { reject(w, r, status, code) }
}

// A search that every replica rejects fails at the time of the last rejection,
// with a retry delay, and uses no more attempts than the retry budget permits.
func TestGivenUpIsEmittedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		serve      func(http.ResponseWriter, *http.Request, targetapi.Answer)
		retries    float64
		reason     query.Reason
		attempts   int
		retryAfter bool
	}{
		"shed everywhere":                    {rejectAll(targetapi.CodeShed, 503), 10, query.ReasonOverload, 3, true},
		"shed, no retry budget":              {rejectAll(targetapi.CodeShed, 503), -1, query.ReasonOverload, 1, true},
		"snapshot not held, no retry budget": {rejectAll(targetapi.CodeSnapshotNotHeld, 409), -1, query.ReasonSnapshotNotHeld, 3, false},
		"draining, no retry budget":          {rejectAll(targetapi.CodeDraining, 503), -1, query.ReasonDraining, 3, true},
		"connections cut, no budget":         {raw(""), -1, query.ReasonConnection, 1, true},
		"connections cut, everywhere":        {raw(""), 10, query.ReasonConnection, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(1, 3, rules(func(r *catalog.Rules) { r.RetryBudget = test.retries }))
				defer f.close()
				for _, target := range f.targets {
					target.serve = test.serve
				}
				got, err := f.search(t.Context(), batch(1, time.Hour))
				is.NoErr(err)
				is.Equal(got[0].after, time.Duration(0))
				is.Equal(got[0].Reason, test.reason)
				is.Equal(got[0].Outcome.NotRun(), test.reason != query.ReasonConnection)
				is.Equal(got[0].Attempts, test.attempts)
				is.Equal(got[0].RetryAfter > 0, test.retryAfter)
			})
		})
	}
}

func TestBudgetEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(4, 1)
		defer f.close()
		f.targets[0].delay = time.Hour
		got, err := f.search(t.Context(), batch(4, 100*time.Millisecond))
		is.NoErr(err)
		counts := map[outcome.Outcome]int{}
		for _, r := range got {
			is.Equal(r.after, 100*time.Millisecond)
			is.Equal(r.Reason, query.ReasonBudget)
			is.True(r.RetryAfter > 0)
			counts[r.Outcome]++
		}
		is.Equal(counts, map[outcome.Outcome]int{outcome.Unknown: 2, outcome.NotSent: 2}) // two slots
		none, err := f.search(t.Context(), batch(4, 0))
		is.NoErr(err)
		is.Equal(none[3].Outcome, outcome.NotSent)
	})
}

// Under overload, shards that cannot be served within their budget are refused
// on arrival, not when the budget ends.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(200, 3)
		defer f.close()
		for _, target := range f.targets {
			target.delay = 10 * time.Millisecond
		}
		for range 3 {
			alone, err := f.search(t.Context(), batch(200, 10*time.Second))
			is.NoErr(err)
			for _, r := range alone {
				is.Equal(r.Outcome, outcome.Done) // a wide search alone is not overload
			}
		}
		short, err := f.search(t.Context(), batch(200, 60*time.Millisecond))
		is.NoErr(err)
		counts := map[bool]int{}
		for _, r := range short {
			if r.Outcome == outcome.Done || r.after == 0 {
				counts[r.Outcome == outcome.Done]++
			}
		}
		is.True(counts[true] > 15)                // the shards that fit the budget are served
		is.True(counts[false] > 150)              // the others are refused on arrival
		is.True(counts[true]+counts[false] > 190) // hardly any runs out of budget
		var searches sync.WaitGroup
		searches.Go(func() { _, _ = f.search(t.Context(), batch(200, 10*time.Second)) })
		time.Sleep(50 * time.Millisecond)
		late := batch(100, 20*time.Millisecond)
		for i := 0; policy.Rank(late.RequestID) <= policy.Rank("r1"); i++ {
			late.RequestID = "late" + strconv.Itoa(i) // not ranked above the queued batch
		}
		got, err := f.search(t.Context(), late)
		is.NoErr(err)
		refused := 0
		for _, r := range got {
			if r.Outcome == outcome.NotSent && r.after == 0 && r.RetryAfter > 0 {
				refused++
			}
		}
		is.True(refused >= 80)
		searches.Wait()
	})
}

func TestHedgeAnswersForAFrozenReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(1, 3, rules(func(r *catalog.Rules) { r.HedgeBudget = 0.5 }))
		defer f.close()
		f.searchFor(t, 2*time.Second, 5*time.Millisecond)
		before := f.targets[0].requestCount()
		f.targets[0].set(func(x *fakeTarget) { x.delay = time.Hour })
		hedged := 0
		for range 20 {
			got, err := f.search(t.Context(), batch(1, time.Second))
			is.NoErr(err)
			is.Equal(got[0].Outcome, outcome.Done)
			is.True(got[0].after < 20*time.Millisecond)
			hedged += got[0].Attempts - 1
			time.Sleep(50 * time.Millisecond)
		}
		is.True(hedged > 0)
		is.Equal(f.targets[0].requestCount(), before+hedged)
		synctest.Wait()
		for _, s := range f.relay.Targets() {
			is.Equal(s.InFlight, 0) // the slower attempts were cancelled
		}
	})
}

func TestNoHedgeWhileSaturated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(12, 3, rules(func(r *catalog.Rules) { r.HedgeBudget = 0.5 }))
		defer f.close()
		f.searchFor(t, 2*time.Second, 5*time.Millisecond)
		for _, target := range f.targets {
			target.set(func(x *fakeTarget) { x.delay = 100 * time.Millisecond })
		}
		begin := time.Now()
		got, err := f.search(t.Context(), batch(6, time.Second)) // one shard per slot
		is.NoErr(err)
		is.Equal(len(got), 6)
		sent := 0
		for _, target := range f.targets {
			sent += target.requestsSince(begin.Add(-1))
		}
		is.Equal(sent, 6)
	})
}

// A failing target gets probe attempts only. With all targets ejected, all
// still get work.
func TestFailingTargetIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(1, 3)
		defer f.close()
		f.searchFor(t, time.Second, 5*time.Millisecond)
		f.targets[0].set(func(x *fakeTarget) { x.serve = raw("") })
		f.searchFor(t, time.Second, 5*time.Millisecond)
		begin := time.Now()
		done, all := f.searchFor(t, 6*time.Second, 10*time.Millisecond)
		is.Equal(done, all)
		is.True(f.targets[0].requestsSince(begin) < 20) // of about 500
		is.Equal(f.relay.Targets()[0].State, TargetSuspect)
		for _, target := range f.targets[1:] {
			target.set(func(x *fakeTarget) { x.serve = raw("") })
		}
		f.searchFor(t, 5*time.Second, 10*time.Millisecond)
		begin = time.Now()
		f.searchFor(t, time.Second, 5*time.Millisecond)
		requests := 0
		for _, target := range f.targets {
			requests += target.requestsSince(begin)
		}
		is.True(requests > 100) // all targets are ejected, so all get work
	})
}

// If most targets are ejected, those beyond MaxSuspect still get the work that
// no other target has a slot for.
func TestEjectionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(6, 3)
		defer f.close()
		f.searchFor(t, time.Second, 5*time.Millisecond)
		for _, target := range f.targets[1:] {
			target.set(func(x *fakeTarget) { x.serve = raw("") })
		}
		for range 20 {
			_, _ = f.search(t.Context(), batch(6, time.Second))
		}
		states := map[TargetState]int{}
		for _, s := range f.relay.Targets() {
			states[s.State]++
		}
		is.Equal(states[TargetSuspect], 2)
		for _, target := range f.targets {
			target.set(func(x *fakeTarget) { x.serve, x.delay = nil, time.Second })
		}
		got, err := f.search(t.Context(), batch(4, time.Minute))
		is.NoErr(err)
		for _, r := range got {
			is.True(r.after <= time.Second) // otherwise the one target that is not ejected would need two rounds
		}
	})
}

// Queued tries have no goroutine: the goroutines of a wide search are bounded
// by the slots.
func TestWideSearchHasFewGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(500, 3)
		defer f.close()
		_, _ = f.search(t.Context(), batch(500, time.Minute)) // opens the connections
		time.Sleep(time.Second)
		before := runtime.NumGoroutine()
		maxGoroutines := 0
		time.AfterFunc(20*time.Millisecond, func() { maxGoroutines = runtime.NumGoroutine() })
		got, err := f.search(t.Context(), batch(500, time.Minute))
		is.NoErr(err)
		is.Equal(len(got), 500)
		is.True(maxGoroutines-before < 40)
	})
}

// The attempt that a hedge outran is cancelled when the hedge is answered, not
// at the end of the batch.
func TestSlowerAttemptIsCancelledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(2, 3, rules(func(r *catalog.Rules) { r.HedgeBudget = 0.5 }))
		defer f.close()
		f.searchFor(t, 2*time.Second, 5*time.Millisecond)
		var frozen atomic.Bool
		var cancelled atomic.Int64
		for _, target := range f.targets {
			target.set(func(x *fakeTarget) {
				x.serve = func(w http.ResponseWriter, r *http.Request, a targetapi.Answer) {
					begin := time.Now()
					if a.Shard == 0 && frozen.CompareAndSwap(false, true) {
						<-r.Context().Done()
						cancelled.Store(int64(time.Since(begin)))
						return
					}
					if a.Shard == 1 {
						time.Sleep(500 * time.Millisecond)
					}
					_ = json.NewEncoder(w).Encode(a)
				}
			})
		}
		got, err := f.search(t.Context(), batch(2, time.Second))
		is.NoErr(err)
		is.Equal(got[0].Outcome, outcome.Done)
		is.True(got[1].after >= 500*time.Millisecond)
		is.True(cancelled.Load() > 0 && cancelled.Load() < int64(100*time.Millisecond))
		time.Sleep(time.Second) // until the handler of the other cancelled attempt has returned
	})
}

func TestHedgeGoesToAnotherFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(1, 3, rules(func(r *catalog.Rules) { r.HedgeBudget = 0.5 }), func(f *fixture, _ *Config) {
			f.view.service.Targets[1].FailureDomain = "fd0" // the failure domain of t0 and of the relay
		})
		defer f.close()
		f.searchFor(t, 3*time.Second, 5*time.Millisecond)
		for _, target := range f.targets[:2] {
			target.set(func(x *fakeTarget) { x.delay = time.Hour })
		}
		got, err := f.search(t.Context(), batch(1, time.Second))
		is.NoErr(err)
		is.Equal(got[0].Outcome, outcome.Done) // by t2, whichever of the other targets was used first
		is.True(got[0].Attempts <= 2)
	})
}

// With every target frozen no slot is released. Queued tries must still be
// given up once they can no longer be served, not at the end of their budget.
func TestQueuedTriesExpireWhileTargetsAreFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(4, 1)
		defer f.close()
		f.targets[0].delay = 40 * time.Millisecond
		_, _ = f.search(t.Context(), batch(4, time.Second)) // sets the mean service time
		f.targets[0].set(func(x *fakeTarget) { x.delay = time.Hour })
		got, err := f.search(t.Context(), batch(4, time.Second))
		is.NoErr(err)
		early := 0
		for _, r := range got {
			if r.Outcome == outcome.NotSent && r.after > 0 && r.after < time.Second {
				early++
			}
		}
		is.Equal(early, 2)
	})
}

// A host that stands still for a moment grants nothing meanwhile, although its
// targets have answered. It must not take its queue for a standing one when it
// runs again: searches were refused as overload after a pause of 107 ms.
func TestPauseOfTheHostIsNoOverload(t *testing.T) {
	for name, pause := range map[string]time.Duration{"short": 130 * time.Millisecond, "long": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(6, 3)
				defer f.close()
				f.searchFor(t, time.Second, 10*time.Millisecond)
				delay := func(d time.Duration) {
					for _, x := range f.targets {
						x.set(func(x *fakeTarget) { x.delay = d })
					}
				}
				var searches sync.WaitGroup
				search := func() {
					searches.Go(func() {
						got, err := f.search(t.Context(), batch(6, 800*time.Millisecond))
						is.NoErr(err)
						for shard, r := range got {
							if r.Outcome != outcome.Done {
								t.Errorf("shard %d: %s, %s after %s", shard, r.Outcome, r.Reason, r.after)
							}
						}
					})
				}
				delay(pause) // the answers are read when the host runs again
				for range 3 {
					search()
				}
				time.Sleep(time.Millisecond)
				delay(2 * time.Millisecond)
				p := f.relay.pool("s")
				p.mu.Lock()
				is.Equal(p.queue.Len(), 12) // 18 shards, 6 slots
				p.wakeTimer.Stop()          // the host does not run
				p.mu.Unlock()
				time.Sleep(pause - time.Millisecond)
				for range 2 {
					search()
				}
				time.Sleep(time.Millisecond) // the answers of the first six have been read
				p.mu.Lock()
				mean := p.meanServiceTime
				p.mu.Unlock()
				searches.Wait()
				is.True(mean < 2*maxWakeInterval) // batches are admitted by it
			})
		})
	}
}
