package relay

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

// searchFor searches one shard per interval until the span has passed and
// returns the numbers of successful and of all searches.
func (f *fixture) searchFor(t *testing.T, span, interval time.Duration) (done, all int) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(interval) {
		got, err := f.search(t.Context(), batch(1, time.Second))
		if err != nil {
			t.Fatal(err)
		}
		all++
		if got[0].Outcome == outcome.Done {
			done++
		}
	}
	return done, all
}

// requestsSince returns the number of shard requests that reached the target
// after the time.
func (f *fakeTarget) requestsSince(at time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.requests {
		if s.at.After(at) {
			n++
		}
	}
	return n
}

const maxLeaveDelay = 3 * time.Second

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for name, sign := range map[string]func(f *fixture){
		"answer, status claims ready": func(f *fixture) {
			f.targets[0].set(func(x *fakeTarget) {
				x.serve = func(w http.ResponseWriter, r *http.Request, _ targetapi.Answer) {
					reject(w, r, http.StatusServiceUnavailable, targetapi.CodeDraining)
					x.set(func(x *fakeTarget) { x.serve = nil }) // later requests are served
				}
			})
		},
		"status, answers claim nothing": func(f *fixture) {
			f.targets[0].set(func(x *fakeTarget) { x.status.State = targetapi.StateDraining })
			time.AfterFunc(maxLeaveDelay, func() {
				f.targets[0].set(func(x *fakeTarget) { x.status.State = targetapi.StateReady })
			})
		},
		"host list, status claims ready": func(f *fixture) {
			f.relay.hosts.(*hostList).set("t0", true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(1, 3)
				defer f.close()
				list := &hostList{}
				f.relay.hosts = list
				is.NoErr(f.relay.Start(t.Context()))
				f.searchFor(t, 5*time.Second, 5*time.Millisecond)
				is.True(f.targets[0].requestCount() > 0)

				shown := time.Now()
				sign(f)
				done, all := f.searchFor(t, 10*time.Second, 10*time.Millisecond)
				is.Equal(done, all) // the other targets answer
				is.Equal(f.targets[0].requestsSince(shown.Add(maxLeaveDelay)), 0)

				list.set("t0", false)
				f.targets[0].set(func(x *fakeTarget) { x.status.Incarnation++ })
				back := time.Now()
				f.searchFor(t, 10*time.Second, 10*time.Millisecond)
				is.True(f.targets[0].requestsSince(back) > 0) // the new incarnation gets work
			})
		})
	}
}

// hostList is a HostLister whose list a test can set.
type hostList struct {
	mu      sync.Mutex
	leaving map[string]bool
	calls   int
}

func (l *hostList) set(id string, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = map[string]bool{id: leaving}
}

func (l *hostList) Hosts(context.Context) ([]objstore.ListedHost, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	var out []objstore.ListedHost
	for id, leaving := range l.leaving {
		out = append(out, objstore.ListedHost{ID: id, Leaving: leaving})
	}
	return out, nil
}

// Tries whose only candidate leaves are given up at once.
func TestWaitingWorkOfALeavingTargetIsGivenUpAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10, 1)
		defer f.close()
		f.targets[0].delay = time.Second
		time.AfterFunc(100*time.Millisecond, func() {
			f.relay.ApplyHostList([]objstore.ListedHost{{ID: "t0", Leaving: true}})
		})
		got, err := f.search(t.Context(), batch(10, time.Minute))
		is.NoErr(err)
		counts := map[outcome.Outcome]int{}
		for _, r := range got {
			counts[r.Outcome]++
			if r.Outcome == outcome.NotSent {
				is.Equal(r.after, 100*time.Millisecond)
			}
		}
		is.Equal(counts, map[outcome.Outcome]int{outcome.Done: 2, outcome.NotSent: 8})
	})
}

func TestColdTargetGetsWorkGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(1, 3, func(_ *fixture, c *Config) { c.ColdRamp = unit.Duration(10 * time.Second) })
		defer f.close()
		is.NoErr(f.relay.Start(t.Context()))
		f.searchFor(t, 15*time.Second, 20*time.Millisecond)
		f.targets[0].set(func(x *fakeTarget) { x.status.Incarnation++ })
		time.Sleep(time.Second) // until a poll shows the new incarnation
		share := func() float64 {
			begin := time.Now()
			_, all := f.searchFor(t, 2*time.Second, 4*time.Millisecond)
			return float64(f.targets[0].requestsSince(begin)) / float64(all)
		}
		first, second := share(), share()
		f.searchFor(t, 10*time.Second, 20*time.Millisecond)
		warm := share()
		is.True(first < warm/2)
		is.True(first < second)
		is.True(second < warm)
	})
}

func TestHealthSigns(t *testing.T) {
	at := time.Now()
	ready := func(i uint64) targetapi.Status { return targetapi.Status{State: targetapi.StateReady, Incarnation: i} }
	draining := func(i uint64) targetapi.Status {
		return targetapi.Status{State: targetapi.StateDraining, Incarnation: i}
	}
	for name, x := range map[string]struct {
		do     func(h *health)
		usable bool
	}{
		"ready":                        {func(h *health) { h.applyStatus(at, ready(1)) }, true},
		"wrong ready status":           {func(h *health) { h.applyStatus(at, draining(1)); h.applyStatus(at, ready(1)) }, false},
		"new incarnation":              {func(h *health) { h.applyStatus(at, draining(1)); h.applyStatus(at, ready(2)) }, true},
		"late old status":              {func(h *health) { h.applyStatus(at, ready(2)); h.applyStatus(at, draining(1)) }, true},
		"late old ready":               {func(h *health) { h.applyStatus(at, draining(2)); h.applyStatus(at, ready(1)) }, false},
		"starts draining":              {func(h *health) { h.applyStatus(at, ready(1)); h.applyStatus(at, draining(2)) }, false},
		"sign before the first status": {func(h *health) { h.markLeaving(at, signAnswer); h.applyStatus(at, ready(5)) }, false},
		"list, then live":              {func(h *health) { h.applyListing(at, true, 0); h.applyListing(at, false, 0) }, false},
		"list lags behind": {func(h *health) {
			h.applyStatus(at, ready(1))
			h.applyListing(at, true, 0)
			h.applyStatus(at, ready(2))
			h.applyListing(at, true, 0)
		}, true},
		"listing of the previous incarnation": {func(h *health) {
			h.applyStatus(at, ready(1))
			h.applyListing(at, true, time.Minute)
			h.applyListing(at, false, time.Minute)
		}, true},
		"late remote sign":          {func(h *health) { h.applyStatus(at, ready(2)); h.applyRemoteSign(at, signStatus, 1, 0) }, true},
		"remote sign, then restart": {func(h *health) { h.applyRemoteSign(at, signHostList, 3, 0); h.applyStatus(at, ready(4)) }, true},
		"remote sign of a newer incarnation": {func(h *health) {
			h.applyStatus(at, ready(2))
			h.applyRemoteSign(at, signAnswer, 3, 0)
			h.applyStatus(at, ready(3))
		}, false},
		"remote sign before a status":      {func(h *health) { h.applyRemoteSign(at, signAnswer, 3, 0); h.applyStatus(at, ready(3)) }, false},
		"remote sign, unknown incarnation": {func(h *health) { h.applyStatus(at, ready(2)); h.applyRemoteSign(at, signHostList, 0, 0) }, false},
		"remote list sign, retracted": {func(h *health) {
			h.applyStatus(at, ready(2))
			h.applyRemoteSign(at, signHostList, 0, time.Minute)
			h.applyRemoteSign(at, signRelisted, 0, time.Minute)
		}, true},
		"remote answer sign, retracted": {func(h *health) {
			h.applyStatus(at, ready(2))
			h.applyRemoteSign(at, signAnswer, 2, time.Minute)
			h.applyRemoteSign(at, signRelisted, 0, time.Minute)
		}, false},
		"drained": {func(h *health) { h.drained = true; h.applyStatus(at, ready(9)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			var h health
			x.do(&h)
			is.New(t).Equal(h.usable(), x.usable)
		})
	}
}

func TestOperatorsDrainStandsUntilUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(1, 2)
		defer f.close()
		is.NoErr(f.relay.Start(t.Context()))
		drain := func(on bool) {
			f.view.change(func(s *catalog.Service) {
				next, err := Drain(*s, "t0", on)
				is.NoErr(err)
				*s = next
			})
		}
		f.searchFor(t, time.Second, 5*time.Millisecond)
		is.True(f.targets[0].requestCount() > 0)
		drain(true)
		begin := time.Now()
		f.searchFor(t, 3*time.Second, 10*time.Millisecond)
		f.targets[0].set(func(x *fakeTarget) { x.status.Incarnation++ })
		f.searchFor(t, 3*time.Second, 10*time.Millisecond)
		is.Equal(f.targets[0].requestsSince(begin), 0)
		is.Equal(f.relay.Targets()[0].State, TargetDrained)
		_, refusal := f.relay.Pick(reserve(time.Second), []string{"t1"})
		is.True(refusal != nil)
		drain(false)
		f.searchFor(t, 6*time.Second, 10*time.Millisecond)
		is.True(f.targets[0].requestsSince(begin) > 0)
	})
}

// A status poll without a response occupies a connection. An attempt that
// finds no free connection because of it must go to another target instead of
// waiting.
func TestFrozenStatusDelaysNoSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(4, 2)
		defer f.close()
		f.targets[0].frozen, f.targets[0].delay = true, 200*time.Millisecond
		is.NoErr(f.relay.Start(t.Context()))
		time.Sleep(10 * time.Millisecond) // until the first poll is in flight
		got, err := f.search(t.Context(), batch(4, time.Second))
		is.NoErr(err)
		for _, r := range got {
			is.Equal(r.Outcome, outcome.Done)
			is.True(r.after <= 200*time.Millisecond)
		}
	})
}
