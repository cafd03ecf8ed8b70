package objectstore

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/objstore"
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
			is.Equal(c.create(t.Context(), "a", `{}`, nil), want)
			is.Equal(c.do(t.Context(), "GET", "/api/objects/servers", "", nil), want)
			is.Equal(len(s.Objects(objstore.KindClaim)), 0)
			s.SetFaults(Faults{})
			is.Equal(c.create(t.Context(), "a", `{}`, nil), http.StatusOK)
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
		go func() { got <- c.create(t.Context(), "a", `{}`, nil) }()
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
			is.Equal(c.create(t.Context(), "a", `{}`, nil), 0)
			is.Equal(len(s.Objects(objstore.KindClaim)), 1)
			is.Equal(s.Faults().LoseAnswers, 0) // the count is used up
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
		is.Equal(newClient(s).create(ctx, "a", `{}`, nil), 0)
		is.Equal(s.Revision(), uint64(0)) // not applied yet
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
		is.Equal(newClient(s).create(t.Context(), "a", `{}`, nil), http.StatusOK)
		is.Equal(time.Since(began), time.Second) // virtual time
	})
}

func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		cfg.WriteRate = 1
		c := newClient(New(cfg))
		is.Equal(c.create(t.Context(), "a", `{}`, nil), http.StatusOK)
		is.Equal(c.create(t.Context(), "b", `{}`, nil), http.StatusTooManyRequests)
		is.Equal(c.do(t.Context(), "GET", "/api/objects/claim/a", "", nil), http.StatusOK) // reads are not limited
		time.Sleep(time.Second)
		is.Equal(c.create(t.Context(), "b", `{}`, nil), http.StatusOK)
	})
}

func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig())
	c := newClient(s)
	is.Equal(c.do(t.Context(), "POST", PathFaults, `{"outage":"cut","late_delay":"2s"}`, nil), http.StatusNoContent)
	is.Equal(s.Faults(), Faults{Outage: OutageCut, LateDelay: unit.Duration(2 * time.Second)})
	for _, bad := range []string{`{"outage":"x"}`, `{"outrage":"cut"}`, `{"lose_probability":2}`, `{"late_delay":2}`, ``} {
		is.Equal(c.do(t.Context(), "POST", PathFaults, bad, nil), http.StatusBadRequest)
	}
	is.Equal(s.Faults().Outage, OutageCut) // invalid faults change nothing
}

func TestValidateNamesEveryError(t *testing.T) {
	is := is.New(t)
	err := Config{Page: -1, Faults: Faults{Outage: "x"}}.Validate()
	for _, want := range []string{"listen", "history", "page", "outage"} {
		is.True(strings.Contains(err.Error(), want))
	}
	is.NoErr(DefaultConfig().Validate())
}

func TestOutageForSomeClients(t *testing.T) {
	is := is.New(t)
	f := Faults{Outage: OutageCut, OutageFor: []string{"127.0.0.2"}}
	is.True(f.affects("127.0.0.2:4711"))
	is.True(!f.affects("127.0.0.1:4711"))
	is.True(Faults{Outage: OutageCut}.affects("127.0.0.1:4711"))
}
