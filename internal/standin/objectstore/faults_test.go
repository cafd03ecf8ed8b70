package objectstore

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/platform"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/unit"
)

func TestOutageAppliesNothing(t *testing.T) {
	for outage, want := range map[Outage]int{OutageUnavailable: http.StatusServiceUnavailable, OutageCut: 0} {
		t.Run(string(outage), func(t *testing.T) {
			is := is.New(t)
			s := New(DefaultConfig())
			c := newClient(s)
			s.SetFaults(Faults{Outage: outage})
			is.Equal(c.put(t.Context(), "a", 0, `{}`, nil), want)
			is.Equal(c.do(t.Context(), "GET", "/v1/hosts", "", "", nil), want)
			is.Equal(len(s.Objects(platform.KindClaim)), 0)
			s.SetFaults(Faults{})
			is.Equal(c.put(t.Context(), "a", 0, `{}`, nil), http.StatusOK)
		})
	}
}

func TestHangAnswersOnceReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(DefaultConfig())
		c := newClient(s)
		s.SetFaults(Faults{Outage: OutageHang})
		got := make(chan int, 1)
		go func() { got <- c.put(t.Context(), "a", 0, `{}`, nil) }()
		synctest.Wait()
		is.Equal(len(got), 0)
		is.Equal(s.Revision(), uint64(0))
		s.SetFaults(Faults{})
		is.Equal(<-got, http.StatusOK)
	})
}

func TestLostAnswerIsApplied(t *testing.T) {
	for name, f := range map[string]Faults{"next": {LoseAnswers: 1}, "probability": {LoseProbability: 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(DefaultConfig())
			c := newClient(s)
			s.SetFaults(f)
			is.Equal(c.put(t.Context(), "a", 0, `{}`, nil), 0)
			is.Equal(len(s.Objects(platform.KindClaim)), 1)
			is.Equal(s.Faults().LoseAnswers, 0) // used up
			is.Equal(s.Counters().Results[VerbPut][ResultCut], uint64(1))
		})
	}
}

func TestLateWriteIsAppliedThoughTheClientHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(DefaultConfig())
		s.SetFaults(Faults{LateWrites: 1, LateDelay: unit.Duration(time.Minute)})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(newClient(s).put(ctx, "a", 0, `{}`, nil), 0)
		is.Equal(s.Revision(), uint64(0)) // not yet
		time.Sleep(time.Minute)
		is.Equal(s.Revision(), uint64(1))
		is.Equal(s.Counters().Results[VerbPut][ResultGone], uint64(1))
	})
}

func TestLatencyDelaysTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(DefaultConfig())
		s.SetFaults(Faults{Latency: standin.Latency{Mean: unit.Duration(time.Second)}})
		began := time.Now()
		is.Equal(newClient(s).put(t.Context(), "a", 0, `{}`, nil), http.StatusOK)
		is.Equal(time.Since(began), time.Second) // virtual time
	})
}

func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		cfg.WriteRate = 1
		c := newClient(New(cfg))
		is.Equal(c.put(t.Context(), "a", 0, `{}`, nil), http.StatusOK)
		is.Equal(c.put(t.Context(), "b", 0, `{}`, nil), http.StatusTooManyRequests)
		is.Equal(c.do(t.Context(), "GET", "/v1/objects/claim/a", "", "", nil), http.StatusOK) // reads have no limit
		time.Sleep(time.Second)
		is.Equal(c.put(t.Context(), "b", 0, `{}`, nil), http.StatusOK)
	})
}

func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig())
	c := newClient(s)
	is.Equal(c.do(t.Context(), "POST", PathFaults, "", `{"outage":"cut","late_delay":"2s"}`, nil), http.StatusNoContent)
	is.Equal(s.Faults(), Faults{Outage: OutageCut, LateDelay: unit.Duration(2 * time.Second)})
	for _, bad := range []string{`{"outage":"x"}`, `{"outrage":"cut"}`, `{"lose_probability":2}`, `{"late_delay":2}`, ``} {
		is.Equal(c.do(t.Context(), "POST", PathFaults, "", bad, nil), http.StatusBadRequest)
	}
	is.Equal(s.Faults().Outage, OutageCut) // refused ones change nothing
}

func TestValidateNamesEveryError(t *testing.T) {
	is := is.New(t)
	err := Config{HostLag: -1, Faults: Faults{Outage: "x"}}.Validate()
	for _, want := range []string{"listen", "history", "host_lag", "outage"} {
		is.True(strings.Contains(err.Error(), want))
	}
	is.NoErr(DefaultConfig().Validate())
}
