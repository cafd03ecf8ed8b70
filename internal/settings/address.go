package settings

import (
	"fmt"
	"net/netip"
)

// CheckAddress reports a value that isn't a specified IP address with a port.
func CheckAddress(field, value string) error {
	if value == "" {
		return fmt.Errorf("%s: address is missing; want ip:port", field)
	}
	at, err := netip.ParseAddrPort(value)
	if err != nil {
		return fmt.Errorf("%s %q: want ip:port, such as \"10.0.0.1:8080\"", field, value)
	}
	if at.Addr().IsUnspecified() {
		return fmt.Errorf("%s %q: want an address that others can reach, not the unspecified one", field, value)
	}
	return nil
}
