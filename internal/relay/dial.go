package relay

import (
	"context"
	"net"

	"rhubarbwood.example/rhubarbwood/internal/membudget"
)

// UseMemory sets the budget of what the responses of all targets hold. It must be called before Start.
func (r *Relay) UseMemory(b *membudget.Budget) { r.memory = b }

// DialWith sets the function that opens connections to targets. It must be
// called before Start. Tests use it for in-memory connections.
func (r *Relay) DialWith(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	r.dial = dial
}
