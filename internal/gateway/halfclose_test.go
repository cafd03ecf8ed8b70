package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/query"
)

// A caller that closed only its sending side, which the HTTP server takes for its departure, read an empty 200 for a
// request that may run once and that its target had not answered: a handler that writes nothing is answered 200.
func TestCallerThatLeftGetsNoEmptySuccess(t *testing.T) {
	for name, path := range map[string]string{"single": "/once/x", "query": "/all/x"} {
		t.Run(name, func(t *testing.T) {
			run(t, options{services: 2}, func(t *testing.T, s *site) {
				is := is.New(t)
				// As the HTTP server does: the request's context ends, and the connection is open.
				s.serve("leaving:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					ctx, leave := context.WithTimeout(r.Context(), targetLatency/2)
					defer leave()
					s.gateways[0].ServeHTTP(w, r.WithContext(ctx))
				}))
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://leaving:80"+path, strings.NewReader("body"))
				is.NoErr(err)
				r.Host = caseHost
				r.Header.Set("X-Request-Id", "r1")
				_, err = s.caller.RoundTrip(r)
				is.True(err != nil) // the connection is closed without an answer
				time.Sleep(timeout)
				synctest.Wait()
				is.Equal(s.recorded.last().Reason, query.ReasonCallerLeft)
			})
		})
	}
}
