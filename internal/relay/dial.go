package relay

import (
	"context"
	"net"
)

// DialWith sets the function that opens connections to targets. It must be
// called before Start. Tests use it for in-memory connections.
func (r *Relay) DialWith(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	r.dial = dial
}
