package gateway_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/discovery"
)

// Only one target of a service is left, and more requests arrive at the same time than it may have
// connections. The excess requests must wait, and none is refused.
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
