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

// Targets of three of four shards have ended and refuse connections; a connection to the fourth takes 6 ms. The query is given up
// at once, as too few shards can answer. Nothing of it was sent to any target, and callers were told 502, that it may have run: after
// a query had ended the targets of most shards, up to 223 queries that had reached no target were answered so.
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

// The same where the shards are gathered by two hosts: the other one says what became of its part before the caller is told.
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

// dialOnly returns a dial of the targets of one service, whose connections take 6 ms; all others refuse them.
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

// A request waits for a connection to a target when its failure domain is evacuated: it goes to a target elsewhere, and the one
// that is evacuated is not found guilty of anything.
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
		got := s.get("/once/x", "q") // it is not idempotent, and has not been sent yet
		is.Equal(got.status, http.StatusOK)
		is.Equal(s.targets["s0-t0"].Arrived(), 0)
		is.Equal(s.targets["s0-t1"].Arrived(), 1)
		is.True(!strings.Contains(log.String(), `"target_health"`))
	})
}

// The same of requests to one target: the connection opens only after the caller's time is over.
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
