package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
)

// Targets of three of four shards refuse connections, and connecting to the fourth takes 6 ms. The
// query is abandoned at once, as too few shards can answer. The test guards against answering 502
// (may have run) for a query of which nothing was sent: after a query had made the targets of most
// shards end, up to 223 queries that had reached no target were answered so.
func TestUnsentQueryIsReportedAsNotRun(t *testing.T) {
	run(t, options{services: 4, dial: dialOnly("s3")}, func(t *testing.T, s *site) {
		is := is.New(t)
		got := s.get("/all/x", "q")
		time.Sleep(time.Second)
		is.Equal(s.runs("q"), 0)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
		is.True(got.took < 10*time.Millisecond)
	})
}

// The same where two hosts gather the shards: the helper reports the outcome of its cell before the
// caller is answered.
func TestUnsentDividedQueryIsReportedAsNotRun(t *testing.T) {
	withCells(t, helperHealthy, wideMbps, func(t *testing.T, s *site, f *fakeHelpers) {
		is := is.New(t)
		s.setDial(dialOnly("s7"))
		got := s.get("/all/x", "q")
		time.Sleep(time.Second)
		is.Equal(s.runs("q"), 0)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
		is.True(got.took < 20*time.Millisecond)
	})
}

// dialOnly returns a dial function that connects to the targets of one service after 6 ms and
// refuses all others.
func dialOnly(service string) dialFunc {
	return func(s *site, ctx context.Context, network, address string) (net.Conn, error) {
		if !strings.HasPrefix(address, service) {
			return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
		}
		select {
		case <-time.After(6 * time.Millisecond):
			return s.network.Dial(ctx, network, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// The failure domain of a target is evacuated while a request waits for a connection to it. The
// request goes to a target in another domain, and the evacuated target's health is not affected.
func TestWaitingRequestLeavesEvacuatedTarget(t *testing.T) {
	var log bytes.Buffer
	run(t, options{log: &log}, func(t *testing.T, s *site) {
		is := is.New(t)
		s.register(discovery.Target{ID: "s0-t1", Service: "s0", Address: "s0-t1:80", Domain: "other", Slots: 4})
		s.setDial(func(s *site, ctx context.Context, network, address string) (net.Conn, error) {
			if address == "s0-t0:80" {
				time.Sleep(20 * time.Millisecond)
			}
			return s.network.Dial(ctx, network, address)
		})
		time.AfterFunc(10*time.Millisecond, func() {
			s.state.ApplyEvacuations(discovery.EvacuationRead{Domains: []string{domain}, Revision: at(100)}, time.Now())
		})
		got := s.get("/once/x", "q") // not idempotent, and not sent yet
		is.Equal(got.status, http.StatusOK)
		is.Equal(s.targets["s0-t0"].Received(), 0)
		is.Equal(s.targets["s0-t1"].Received(), 1)
		is.True(!strings.Contains(log.String(), `"target_health"`))
	})
}

// The same for single requests: the connection opens only after the request's deadline.
func TestRequestWithSlowConnectIsReportedAsNotRun(t *testing.T) {
	slow := func(s *site, ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(3 * time.Second)
		return s.network.Dial(ctx, network, address)
	}
	for _, path := range []string{"/one/x", "/once/x", "/all/x"} {
		t.Run(path, func(t *testing.T) {
			run(t, options{dial: slow}, func(t *testing.T, s *site) {
				is := is.New(t)
				got := s.get(path, "q")
				time.Sleep(10 * time.Second)
				is.Equal(s.runs("q"), 0)
				is.Equal(got.status, http.StatusServiceUnavailable)
			})
		})
	}
}
