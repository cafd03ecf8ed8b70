package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/gateway"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/platform"
)

// sendSlowly sends a query whose body arrives after a delay.
func (s *site) sendSlowly(id string, delay time.Duration) answer {
	body, writer := io.Pipe()
	go func() {
		time.Sleep(delay)
		_, _ = io.WriteString(writer, "text")
		_ = writer.Close()
	}()
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+callersAddress+"/all/x", body)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host, r.Header = caseHost, http.Header{platform.HeaderRequestID: {id}, platform.HeaderDeadline: {"600"}}
	resp, err := s.caller.RoundTrip(r)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: got}
}

// A query that arrived before its route was moved to another number of shards, and whose body came after it, left the
// placement of the old shards in the cache, if the hosts had changed as well: every later query of the route panicked
// (fewer shards) or was refused (more shards).
func TestQueryThatStraddlesAMoveLeavesTheRouteIntact(t *testing.T) {
	const shards = 6
	for name, n := range map[string]struct{ before, after int }{"to fewer shards": {shards, 2}, "to more shards": {2, shards}} {
		t.Run(name, func(t *testing.T) {
			var hosts atomic.Pointer[[]member.Host]
			hosts.Store(&[]member.Host{{ID: "w", FailureDomain: domain, State: member.Alive, LinkMbps: wideMbps}})
			o := options{services: shards, link: wideMbps, listHosts: func() []member.Host { return *hosts.Load() }}
			o.helpers = func(*site) gateway.Helpers { return &fakeHelpers{fault: helperRefuses} }
			run(t, o, func(t *testing.T, s *site) {
				is := is.New(t)
				s.configure(2, s.defaultRoutes(n.before)...)
				straddling := make(chan answer)
				go func() { straddling <- s.sendSlowly("r0", 20*time.Millisecond) }()
				time.Sleep(10 * time.Millisecond)
				s.configure(3, s.defaultRoutes(n.after)...)
				joined := append([]member.Host{{ID: "x", FailureDomain: domain, State: member.Alive, LinkMbps: wideMbps}}, *hosts.Load()...)
				hosts.Store(&joined)
				a := <-straddling
				is.Equal(a.status, http.StatusOK)
				is.Equal(len(strings.Split(a.header.Get(platform.HeaderParts), ",")), n.before)
				for i := range 3 {
					a := s.get("/all/x", fmt.Sprintf("r%d", i+1))
					is.Equal(a.status, http.StatusOK)
					is.Equal(len(strings.Split(a.header.Get(platform.HeaderParts), ",")), n.after)
				}
			})
		})
	}
}
