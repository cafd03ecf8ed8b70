package settings

import (
	"fmt"
	"net/netip"
)

// CheckAddress returns an error unless value is an IP address with a port and
// not the unspecified address, such as 0.0.0.0. field names it in the error.
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
