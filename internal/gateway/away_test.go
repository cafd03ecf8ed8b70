package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Targets of three of four shards have ended and refuse connections; a connection to the fourth takes 6 ms. The query is given up
// at once, as too few shards can answer. Nothing of it was sent to any target, and callers were told 502, that it may have run: after
// a query had ended the targets of most shards, up to 223 queries that had reached no target were answered so.
func TestQueryOfWhichNothingWasSentIsToldAsNotRun(t *testing.T) {
	dial := func(s *site, ctx context.Context, network, address string) (net.Conn, error) {
		if !strings.HasPrefix(address, "s3") {
			return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
		}
		select {
		case <-time.After(6 * time.Millisecond):
			return s.network.Dial(ctx, network, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	run(t, options{services: 4, dial: dial}, func(t *testing.T, s *site) {
		is := is.New(t)
		got := s.get("/all/x", "q")
		time.Sleep(time.Second)
		is.Equal(s.runs("q"), 0)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
		is.True(got.took < 10*time.Millisecond)
	})
}
