package soak

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Each site must have an IP address of its own, so that no other site can take the port of a host
// that is down.
func TestSitesShareNoAddress(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{"127.0.0.1": true} // used by everything else
	for range 20 {
		ports, err := freePorts(ownLoopback(), 4)
		is.NoErr(err)
		ip, _, err := net.SplitHostPort(ports[0])
		is.NoErr(err)
		is.True(net.ParseIP(ip).IsLoopback())
		is.True(!seen[ip])
		seen[ip] = true
	}
}
