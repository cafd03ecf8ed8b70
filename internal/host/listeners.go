package host

import (
	"errors"
	"net"
)

// listeners are the three addresses of a host, taken before any module is
// made: the membership tells them to others, and an address in use is found
// before anything has started.
type listeners struct{ callers, operators, peers net.Listener }

func listen(a Addresses) (listeners, error) {
	var l listeners
	var problems []error
	open := func(field, address string) net.Listener {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			problems = append(problems, Error.New("listen for %s: %w", field, err))
			return nil
		}
		return ln
	}
	l.callers = open("callers", a.Callers)
	l.operators = open("operators", a.Operators)
	l.peers = open("peers", a.Peers)
	if len(problems) > 0 {
		l.close()
		return listeners{}, errors.Join(problems...)
	}
	return l, nil
}

// close closes what is still open.
func (l listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.operators, l.peers} {
		if ln != nil {
			_ = ln.Close() // closed already, if its module was started
		}
	}
}

func (l listeners) addresses() Addresses {
	return Addresses{
		Callers:   l.callers.Addr().String(),
		Operators: l.operators.Addr().String(),
		Peers:     l.peers.Addr().String(),
	}
}
