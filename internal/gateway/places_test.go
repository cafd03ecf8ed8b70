package gateway_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
)

// One target of a service is left, and requests come at the same moment: more than it may have connections. Those that it has no place for
// wait for one, and none is refused.
func TestConcurrentRequestsWaitForConnections(t *testing.T) {
	for range 20 {
		run(t, options{}, func(t *testing.T, s *site) {
			is := is.New(t)
			s.register(discovery.Target{ID: "s0-t1", Service: "s0", Address: "s0-t1:80", Domain: domain, Slots: 4, Draining: true})
			statuses, slowest := s.sendConcurrently(8, "/one/x")
			is.Equal(statuses[http.StatusOK], 8)
			is.Equal(slowest, 2*targetLatency)
		})
	}
}
