package soak

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// The port of a host that is down must not be taken by another site: its address is
// the site's alone.
func TestSitesShareNoAddress(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{"127.0.0.1": true} // where everything else listens
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
