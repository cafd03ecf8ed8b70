// Package netdial opens TCP connections that fail when the other side stops
// acknowledging data without a reset. It is the only place that sets this
// timeout. Begin with New.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is how long sent data may stay unacknowledged before the kernel
// closes the connection. It is longer than the retransmissions after a short
// packet loss, and shorter than callers wait, so that a new connection, which
// may work at once, can still be tried.
const UserTimeout = 1500 * time.Millisecond

// Func opens a connection, as net.Dialer's DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a dialer of such connections. timeout limits the opening; if it
// is 0, only the context does. Idle connections are not probed: the first data
// sent on a dead one exposes it.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket, as net.Dialer's
// Control.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
