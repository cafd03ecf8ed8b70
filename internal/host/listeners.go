package host

import (
	"net"

	"rhubarbwood.example/rhubarbwood/internal/listen"
)

// listeners are the three open listeners of a host.
type listeners struct{ callers, operators, peers net.Listener }

// listenOn opens a listener on each of the addresses.
func listenOn(a Addresses) (listeners, error) {
	all, err := listen.All(
		listen.Address{Name: "callers", Address: a.Callers},
		listen.Address{Name: "operators", Address: a.Operators},
		listen.Address{Name: "peers", Address: a.Peers},
	)
	if err != nil {
		return listeners{}, Error.Wrap(err)
	}
	return listeners{callers: all[0], operators: all[1], peers: all[2]}, nil
}

// close closes the listeners that are still open.
func (l listeners) close() { listen.Close(l.callers, l.operators, l.peers) }

// addresses returns the addresses of the listeners, with the actual ports.
func (l listeners) addresses() Addresses {
	return Addresses{
		Callers:   l.callers.Addr().String(),
		Operators: l.operators.Addr().String(),
		Peers:     l.peers.Addr().String(),
	}
}
