package target

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

const second = unit.Duration(time.Second)

// slowConfig returns a target with one slot and a service time of one second.
func slowConfig() Config {
	cfg := testConfig()
	cfg.Slots = 1
	cfg.QueueLength = 1
	cfg.ServiceTime = standin.Latency{Mean: second}
	return cfg
}

// background sends a request without waiting for the answer, and returns once all goroutines are
// blocked.
func (c *client) background(ctx context.Context, s sent) <-chan received {
	got := make(chan received, 1)
	go func() { got <- c.send(ctx, s) }()
	synctest.Wait()
	return got
}

func TestFullQueueIsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tgt := New(slowConfig())
		c := newClient(tgt)
		first := c.background(t.Context(), reserve("a1"))
		second := c.background(t.Context(), reserve("a2"))
		is.Equal(c.send(t.Context(), reserve("a3")).rejection.Code, targetapi.CodeShed)
		is.Equal((<-first).status, http.StatusOK)
		is.Equal((<-second).status, http.StatusOK)
		is.Equal(len(tgt.Executions()), 2)
		is.Equal(tgt.Counters().RunningMax, 1)
	})
}

func TestBudgetThatEndsInTheQueueIsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tgt := New(slowConfig())
		c := newClient(tgt)
		first := c.background(t.Context(), search())
		s := reserve("a2")
		s.budgetMS = "250.5"
		began := time.Now()
		is.Equal(c.send(t.Context(), s).rejection.Code, targetapi.CodeShed)
		is.Equal(time.Since(began), 250*time.Millisecond+500*time.Microsecond) // virtual time
		is.Equal((<-first).status, http.StatusOK)
		is.Equal(len(tgt.Executions()), 0)
		is.Equal(tgt.Counters().Count(ResultBudget), uint64(1))
	})
}

func TestCancelledBeforeItsSlotDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tgt := New(slowConfig())
		c := newClient(tgt)
		first := c.background(t.Context(), search())
		ctx, cancel := context.WithCancel(t.Context())
		queued := c.background(ctx, reserve("a2"))
		cancel()
		is.True((<-queued).err != nil)
		<-first
		synctest.Wait()
		is.Equal(len(tgt.Executions()), 0)
		is.Equal(tgt.Counters().Count(ResultCancelled), uint64(1))
	})
}

func TestReservationThatHasBegunRunsThoughCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tgt := New(slowConfig())
		ctx, cancel := context.WithCancel(t.Context())
		got := newClient(tgt).background(ctx, reserve("a1"))
		cancel()
		is.True((<-got).err != nil)
		is.Equal(len(tgt.Executions()), 1)
		is.True(tgt.reservations.settle("a1").Running)
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(!tgt.reservations.settle("a1").Running)
		is.True(tgt.reservations.settle("a1").Answer.Granted)
	})
}

func TestFreeze(t *testing.T) {
	for at, runs := range map[Freeze]int{FreezeBefore: 0, FreezeAfter: 1} {
		t.Run(string(at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tgt := New(testConfig())
				tgt.SetFaults(Faults{Freeze: at})
				got := newClient(tgt).background(t.Context(), reserve("a1"))
				is.Equal(len(got), 0)
				is.Equal(len(tgt.Executions()), runs)
				tgt.SetFaults(Faults{})
				is.Equal((<-got).status, http.StatusOK)
				is.Equal(len(tgt.Executions()), 1)
			})
		})
	}
}

func TestFreezeOfAShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := testConfig()
		cfg.Slots = 100 // all requests resume at once, and none must be shed
		tgt := New(cfg)
		tgt.SetFaults(Faults{Freeze: FreezeBefore, FreezeShare: 0.5})
		c := newClient(tgt)
		answered := 0
		var all []<-chan received
		for range 100 {
			got := c.background(t.Context(), search())
			answered += len(got)
			all = append(all, got)
		}
		is.True(answered > 0 && answered < 100) // the seed is fixed
		tgt.SetFaults(Faults{})
		for _, got := range all {
			is.Equal((<-got).status, http.StatusOK)
		}
	})
}

func TestThawedPastItsBudgetDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tgt := New(testConfig())
		tgt.SetFaults(Faults{Freeze: FreezeBefore})
		s := reserve("a1")
		s.budgetMS = "100"
		got := newClient(tgt).background(t.Context(), s)
		time.Sleep(time.Second)
		tgt.SetFaults(Faults{})
		is.Equal((<-got).rejection.Code, targetapi.CodeShed)
		is.Equal(len(tgt.Executions()), 0)
	})
}

func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tgt := New(slowConfig())
		c := newClient(tgt)
		running := c.background(t.Context(), search())
		tgt.Drain(false)
		time.Sleep(time.Millisecond)
		is.Equal(c.send(t.Context(), search()).rejection.Code, targetapi.CodeDraining)
		is.Equal((<-running).status, http.StatusOK) // accepted before the drain
		is.Equal(tgt.Status().State, targetapi.StateDraining)
		is.Equal(tgt.Counters().AfterDrainTimes, []unit.Duration{unit.Duration(time.Millisecond)})
		tgt.Drain(true)
		is.Equal(c.send(t.Context(), search()).status, http.StatusOK) // still accepted, and counted
		is.Equal(tgt.Counters().AfterDrain, uint64(2))
		tgt.Restart()
		is.Equal(tgt.Status().State, targetapi.StateReady)
		is.Equal(tgt.Status().Incarnation, uint64(2))
	})
}

func TestStatusLagsAndLies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := testConfig()
		cfg.StatusLag = second
		tgt := New(cfg)
		tgt.Drain(false)
		tgt.AddSnapshot(testService, 8)
		is.Equal(tgt.Status().State, targetapi.StateReady)
		is.Equal(tgt.Status().Snapshots[testService], []uint64{7})
		time.Sleep(time.Second)
		is.Equal(tgt.Status().State, targetapi.StateDraining)
		is.Equal(tgt.Status().Snapshots[testService], []uint64{7, 8})
		tgt.SetFaults(Faults{Status: targetapi.StateReady})
		is.Equal(tgt.Status().State, targetapi.StateReady)
	})
}

func TestStatusTellsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tgt := New(slowConfig())
		c := newClient(tgt)
		first, second := c.background(t.Context(), search()), c.background(t.Context(), search())
		is.Equal(tgt.Status().Load, 2.0) // one running, one queued, one slot
		tgt.SetFaults(Faults{HideLoad: true})
		is.Equal(tgt.Status().Load, 0.0)
		<-first
		<-second
	})
}

func TestServiceTimeFactors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := slowConfig()
		cfg.ColdStart = ColdStart{Duration: 10 * second, Factor: 3}
		tgt := New(cfg)
		is.Equal(tgt.serviceTime(), 3*time.Second)
		time.Sleep(5 * time.Second)
		is.Equal(tgt.serviceTime(), 2*time.Second)
		time.Sleep(time.Minute)
		is.Equal(tgt.serviceTime(), time.Second)
		tgt.SetFaults(Faults{LatencyFactor: 100})
		is.Equal(tgt.serviceTime(), 100*time.Second)
		tgt.SetFaults(Faults{LatencyFactor: 100, LatencyShare: 0.5})
		seen := map[time.Duration]bool{}
		for range 100 {
			seen[tgt.serviceTime()] = true
		}
		is.Equal(seen, map[time.Duration]bool{time.Second: true, 100 * time.Second: true})
	})
}

func TestCrossedAnswerIsThePreviousOne(t *testing.T) {
	is := is.New(t)
	tgt := New(testConfig())
	c := newClient(tgt)
	is.Equal(c.send(t.Context(), search()).answer.AttemptID, "a1")
	tgt.SetFaults(Faults{Crossed: 1})
	other := search()
	other.attempt = "a2"
	is.Equal(c.send(t.Context(), other).answer.AttemptID, "a1")
	is.Equal(c.send(t.Context(), search()).answer.AttemptID, "a2")
	is.Equal(tgt.Counters().Count(ResultSpoiled), uint64(2))
}

func TestShortRowsMissOne(t *testing.T) {
	is := is.New(t)
	tgt := New(testConfig())
	tgt.SetFaults(Faults{ShortRows: 1})
	got := newClient(tgt).send(t.Context(), search()).answer
	is.Equal(got.RowCount, defaultRowsPerShard)
	is.Equal(len(got.Rows), defaultRowsPerShard-1)
}

func TestSettledAttemptIsRefusedFromThenOn(t *testing.T) {
	is := is.New(t)
	tgt := New(testConfig())
	c := newClient(tgt)
	var got targetapi.Settlement
	is.Equal(c.post(targetapi.PathSettle+"/a1/settle", "", &got), http.StatusOK)
	is.Equal(got.Ran, false)
	is.Equal(c.send(t.Context(), reserve("a1")).rejection.Code, targetapi.CodeRefusedAttempt)
	is.Equal(len(tgt.Executions()), 0)
	is.True(c.send(t.Context(), reserve("a2")).answer.Granted)
	is.Equal(c.post(targetapi.PathSettle+"/a2/settle", "", &got), http.StatusOK)
	is.Equal(got.Ran, true)
	is.Equal(got.Answer.AttemptID, "a2")
	cfg := testConfig()
	cfg.Settles = false
	is.Equal(newClient(New(cfg)).post(targetapi.PathSettle+"/a1/settle", "", nil), http.StatusNotFound)
}

func TestControlOverHTTP(t *testing.T) {
	is := is.New(t)
	tgt := New(testConfig())
	c := newClient(tgt)
	is.Equal(c.post(PathFaults, `{"freeze":"before","latency_factor":10}`, nil), http.StatusNoContent)
	is.Equal(tgt.Faults(), Faults{Freeze: FreezeBefore, LatencyFactor: 10})
	for _, bad := range []string{`{"freeze":"x"}`, `{"cut":2}`, `{"status":"x"}`, `{"x":1}`} {
		is.Equal(c.post(PathFaults, bad, nil), http.StatusBadRequest)
	}
	is.Equal(c.post(PathSnapshots, `{"service":"guest-portal-01","snapshot":8}`, nil), http.StatusNoContent)
	is.Equal(c.post(PathSnapshots, `{"service":"guest-portal-01","snapshot":7,"drop":true}`, nil), http.StatusNoContent)
	is.Equal(c.post(PathSnapshots, `{"service":"x","snapshot":7}`, nil), http.StatusBadRequest)
	is.Equal(tgt.Status().Snapshots[testService], []uint64{8})
	is.Equal(c.post(PathDrain, ``, nil), http.StatusNoContent)
	is.Equal(tgt.Status().State, targetapi.StateDraining)
	is.Equal(c.post(PathRestart, ``, nil), http.StatusNoContent)
	is.Equal(tgt.Status().State, targetapi.StateReady)
}

func TestValidateNamesEveryError(t *testing.T) {
	is := is.New(t)
	err := Config{Slots: -1, ServiceTime: standin.Latency{Sigma: -1}, Faults: Faults{Freeze: "x"}}.Validate()
	for _, want := range []string{"listen", "id", "services", "slots", "sigma", "freeze"} {
		is.True(strings.Contains(err.Error(), want))
	}
	is.NoErr(testConfig().Validate())
}
