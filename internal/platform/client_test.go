package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

func newClient(t *testing.T, h http.HandlerFunc) (*Client, *httptest.Server) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	cfg := DefaultConfig()
	cfg.Addresses = []string{srv.Listener.Addr().String()}
	cfg.Timeout = cfg.Timeout * 30 // no test waits for it
	c := New(cfg, event.Discard(), prometheus.NewRegistry())
	t.Cleanup(func() { _ = c.Stop(context.Background()) })
	return c, srv
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func TestRequestsAndAnswers(t *testing.T) {
	is := is.New(t)
	var got string
	c, _ := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = fmt.Sprintf("%s %s if=%s %s", r.Method, r.URL.RequestURI(), r.Header.Get(HeaderIfVersion), body)
		switch {
		case r.URL.Path == PathHosts:
			_, _ = io.WriteString(w, `[{"id":"h1","address":"127.0.0.1:1","leaving":true}]`)
		case strings.HasSuffix(r.URL.EscapedPath(), "/a%2Fb"):
			_, _ = io.WriteString(w, `{"kind":"k","name":"a/b","version":3,"revision":9,"value":{"x":1}}`)
		default:
			_, _ = io.WriteString(w, `{"revision":7,"objects":[{"kind":"k","name":"n","deleted":true}]}`)
		}
	})
	ctx := t.Context()

	o, err := c.Get(ctx, "k", "a/b")
	is.NoErr(err)
	is.Equal(got, "GET /v1/objects/k/a%2Fb if= ")
	is.Equal(o.Version, uint64(3))
	is.Equal(string(o.Value), `{"x":1}`)

	_, err = c.Put(ctx, "k", "a/b", 0, []byte(`{}`))
	is.NoErr(err)
	is.Equal(got, "PUT /v1/objects/k/a%2Fb if=0 {}")

	is.NoErr(c.Delete(ctx, "k", "a/b", 3))
	is.Equal(got, "DELETE /v1/objects/k/a%2Fb if=3 ")

	l, err := c.List(ctx, "k", "j")
	is.NoErr(err)
	is.Equal(got, "GET /v1/objects?kind=k&kind=j if= ")
	is.Equal(l.Revision, uint64(7))
	is.True(l.Objects[0].Deleted)

	_, err = c.Watch(ctx, 7, 1500*time.Millisecond, "k")
	is.NoErr(err)
	is.Equal(got, "GET /v1/watch?after=7&kind=k&wait_ms=1500 if= ")

	hosts, err := c.Hosts(ctx)
	is.NoErr(err)
	is.Equal(hosts, []LiveHost{{ID: "h1", Address: "127.0.0.1:1", Leaving: true}})
}

// TestErrors holds each answer to the error that tells the caller whether the
// call was applied.
func TestErrors(t *testing.T) {
	cut := func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(code)
			_, _ = io.WriteString(w, body)
		}
	}
	cases := []struct {
		name   string
		answer http.HandlerFunc
		want   string
	}{
		{"ok", status(200, `{}`), resultOK},
		{"not found", status(404, ""), resultNotFound},
		{"compacted", status(410, ""), resultCompacted},
		{"conflict", status(409, `{"version":4}`), resultConflict},
		{"conflict unreadable", status(409, `{`), resultUnavailable},
		{"bad request", status(400, ""), resultUnavailable},
		{"throttled", status(429, ""), resultUnavailable},
		{"down", status(503, ""), resultUnavailable},
		{"internal", status(500, ""), resultUnanswered},
		{"bad gateway", status(502, ""), resultUnanswered},
		{"redirect", status(307, ""), resultUnanswered},
		{"garbage", status(200, `{"version":`), resultUnanswered},
		{"too large", status(200, strings.Repeat(" ", maxObject+1)), resultUnanswered},
		{"cut", cut, resultUnanswered},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c, _ := newClient(t, tc.answer)
			_, err := c.Put(t.Context(), "k", "n", 1, []byte("{}"))
			is.Equal(resultOf(err), tc.want)
			is.Equal(testutil.ToFloat64(c.metrics.calls.WithLabelValues(verbPut, tc.want)), 1.0)
		})
	}
}

func TestConflictCarriesWhatStands(t *testing.T) {
	is := is.New(t)
	c, _ := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"kind":"k","name":"n","version":4,"value":{"x":2}}`)
	})
	_, err := c.Put(t.Context(), "k", "n", 1, nil)
	var conflict *Conflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current.Version, uint64(4))
	is.Equal(string(conflict.Current.Value), `{"x":2}`)
}

func TestCallGivenUpAfterSendingIsUnanswered(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	c, _ := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // so that the server notices the closed connection
		cancel()
		<-r.Context().Done()
	})
	_, err := c.Put(ctx, "k", "n", 1, []byte("{}"))
	is.Equal(resultOf(err), resultUnanswered)
}

func TestDialFailureIsUnavailableAndNextAddressIsTried(t *testing.T) {
	is := is.New(t)
	c, srv := newClient(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, `{}`) })
	c.cfg.Addresses = []string{freeAddress(t)}
	_, err := c.Put(t.Context(), "k", "n", 1, nil)
	is.Equal(resultOf(err), resultUnavailable)

	c.cfg.Addresses = append(c.cfg.Addresses, srv.Listener.Addr().String())
	_, err = c.Put(t.Context(), "k", "n", 1, nil)
	is.NoErr(err)
}

// TestNoTokenIsUnavailable spends the bucket; the next call would wait for
// longer than its timeout, so it fails at once and is not sent.
func TestNoTokenIsUnavailable(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	c, _ := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		_, _ = io.WriteString(w, `{}`)
	})
	c.bucket.SetLimit(0.001)
	c.bucket.SetBurst(1)
	_, err := c.Put(t.Context(), "k", "n", 1, nil)
	is.NoErr(err)
	_, err = c.Put(t.Context(), "k", "n", 1, nil)
	is.Equal(resultOf(err), resultUnavailable)
	is.Equal(sent.Load(), int64(1))
}

func TestOversizedValueIsNotSent(t *testing.T) {
	is := is.New(t)
	c, _ := newClient(t, func(http.ResponseWriter, *http.Request) { t.Error("sent") })
	_, err := c.Put(t.Context(), "k", "n", 0, make([]byte, MaxValue+1))
	is.Equal(resultOf(err), resultUnavailable)
}

func TestClockNeverGoesBack(t *testing.T) {
	is := is.New(t)
	times := make(chan string, 3)
	c, _ := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderTime, <-times)
		_, _ = io.WriteString(w, `{}`)
	})
	_, ok := c.Now()
	is.True(!ok)
	newest := time.Date(2030, 1, 2, 3, 4, 5, 6, time.UTC)
	for _, told := range []string{newest.Format(time.RFC3339Nano), newest.Add(-time.Hour).Format(time.RFC3339Nano), "noon"} {
		times <- told
		_, err := c.Get(t.Context(), "k", "n")
		is.NoErr(err)
		now, ok := c.Now()
		is.True(ok)
		is.True(now.Equal(newest))
	}
}

func TestValidateReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	good := DefaultConfig()
	good.Addresses = []string{"127.0.0.1:1"}
	is.NoErr(good.Validate())
	bad := Config{Addresses: []string{"nowhere"}, Timeout: -1}
	problems := strings.Split(bad.Validate().Error(), "\n")
	is.Equal(len(problems), 4) // address, timeout, rate, burst
	is.Equal(len(strings.Split(Config{}.Validate().Error(), "\n")), 4)
}
