package relay

import (
	"context"
	"net"
)

// DialWith makes the relay open its connections to targets with dial, before
// Start. Tests use it for connections in memory.
func (r *Relay) DialWith(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	r.dial = dial
}
