package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

func TestArrivalsArePoissonAndRepeatable(t *testing.T) {
	is := is.New(t)
	a := arrivals(100, 100*time.Second, 7)
	is.True(len(a) > 9600 && len(a) < 10400)
	is.Equal(a, arrivals(100, 100*time.Second, 7))
	short := 0
	for i := 1; i < len(a); i++ {
		if a[i]-a[i-1] < 10*time.Millisecond {
			short++
		}
	}
	fraction := float64(short) / float64(len(a))
	is.True(fraction > 0.61 && fraction < 0.65) // 1 - 1/e
}

// TestStallShowsInTheLatencies guards against coordinated omission: while the
// system stalls, requests must still arrive, and the latency of each is measured
// from its scheduled start.
func TestStallShowsInTheLatencies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		stalled := func(context.Context, int) result {
			if past := time.Since(begin); past < time.Second {
				time.Sleep(time.Second - past)
			}
			return result{answered: true, coverage: 1, attempts: 1, needed: 1}
		}
		starts := make([]time.Duration, 200) // one each 10 ms
		for i := range starts {
			starts[i] = time.Duration(i) * 10 * time.Millisecond
		}
		rec, err := sendArrivals(t.Context(), starts, 1000, stalled)
		is.NoErr(err)
		r := rec.report("stall", 100, len(starts), 2*time.Second)
		is.Equal(r.Answered, 200)
		is.True(r.P50 < 20)   // half of the requests arrive after the stall
		is.True(r.P99 > 950)  // the first requests wait for nearly the whole stall
		is.True(r.P999 > 990) // the very first waits for all of it
	})
}

func TestArrivalsOverTheBoundAreCountedNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hang := func(context.Context, int) result {
			time.Sleep(time.Minute)
			return result{failed: true}
		}
		rec, err := sendArrivals(t.Context(), make([]time.Duration, 10), 4, hang)
		is.NoErr(err)
		r := rec.report("hang", 1, 10, time.Second)
		is.Equal(r.Unsent, 6)
		is.Equal(r.Failed, 4)
	})
}

func TestRunReadsAnswersAndRefusals(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerRequestID)
		var body searchBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		switch {
		case r.URL.Path != pathSearch || r.Header.Get(headerBudget) != "500" || body.Workload != "guest-portal":
			http.Error(w, "{}", http.StatusBadRequest)
		case strings.HasSuffix(id, "0"): // the answer to another request
			_, _ = w.Write([]byte(`{"request_id":"another","coverage":{"shards":2,"answered":2}}`))
		case strings.HasSuffix(id, "1"):
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{"reason":"overload","outcome":"not_sent","retry_after_ms":20}`))
		default:
			_, _ = w.Write([]byte(`{"request_id":"` + id + `","coverage":{"shards":4,"answered":3},"attempts":5,"needed":4}`))
		}
	}))
	defer server.Close()
	c := DefaultConfig()
	c.Addresses = []string{strings.TrimPrefix(server.URL, "http://")}
	c.Workload = "guest-portal"
	c.Rate, c.Duration = 1e6, 100_000 // 100 requests in 100 µs
	c.Budget = 500_000_000
	r, err := Run(t.Context(), c)
	is.NoErr(err)
	is.Equal(r.Answered+r.Failed+r.RefusedTotal(), r.Offered)
	is.True(r.Failed > 0)
	is.Equal(r.RefusedTotal(), r.Refused[string(query.ReasonOverload)])
	is.Equal(r.Complete, 0)
	is.Equal(r.Coverage, 0.75)
	is.Equal(r.ExtraLoad, 0.25)
	var text bytes.Buffer
	is.NoErr(WriteTable(&text, []Report{r}))
	is.True(strings.Contains(text.String(), "overload:"))
	is.NoErr(WriteJSON(&text, []Report{r}))
}

func TestConfigTellsEveryProblem(t *testing.T) {
	is := is.New(t)
	err := Config{MinCoverage: 2}.Validate()
	for _, want := range []string{"addresses", "service and workload", "rate", "duration", "budget", "min_coverage", "outstanding"} {
		is.True(strings.Contains(err.Error(), want))
	}
	c := DefaultConfig()
	c.Addresses, c.Service = []string{"127.0.0.1:1"}, "guest-portal-01"
	is.NoErr(c.Validate())
}
