// Package listen opens all listeners of a process before any of its modules is
// created: some addresses are sent to other processes, and an address in use
// must be found before anything has started. It does not serve connections.
// Begin with All.
package listen

import (
	"errors"
	"net"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("listen")

// Address is one address to listen on.
type Address struct {
	Name    string // used in errors
	Address string // host:port; port 0 selects a free one
}

// Func listens on an address, as net.Listen does.
type Func func(network, address string) (net.Listener, error)

// All listens on every address, or on none: the error names each one that
// failed.
func All(addresses ...Address) ([]net.Listener, error) { return AllWith(net.Listen, addresses...) }

// AllWith is All with listen in place of net.Listen.
func AllWith(listen Func, addresses ...Address) ([]net.Listener, error) {
	all := make([]net.Listener, len(addresses))
	var problems []error
	for i, a := range addresses {
		ln, err := listen("tcp", a.Address)
		if err != nil {
			problems = append(problems, Error.New("listen for %s: %w", a.Name, err))
			continue
		}
		all[i] = ln
	}
	if len(problems) > 0 {
		Close(all...)
		return nil, errors.Join(problems...)
	}
	return all, nil
}

// Close closes the listeners that are not nil.
func Close(all ...net.Listener) {
	for _, ln := range all {
		if ln != nil {
			_ = ln.Close() // fails if its module was started, and has closed it already
		}
	}
}
