// Package netdial opens TCP connections that fail when the other side stops
// acknowledging data without a reset, and, where the other side may send what
// nobody asked for, that hold few unread bytes. It is the only place that sets
// options of sockets. Begin with New.
package netdial

import (
	"context"
	"errors"
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

// MaxUnreadBytes is how many received bytes a limited connection holds, at most
// twice as many with the kernel's own data, until they are read. By default the
// kernel may hold 6 MB of each, also of a connection that nobody reads. At a
// round trip of 2 ms it allows 32 MB a second.
const MaxUnreadBytes = 64 << 10

// NewLimited is New for connections that hold at most MaxUnreadBytes.
func NewLimited(timeout time.Duration) *net.Dialer {
	d := New(timeout)
	d.Control = func(network, address string, raw syscall.RawConn) error {
		return errors.Join(setUserTimeout(network, address, raw), LimitUnread(network, address, raw))
	}
	return d
}

// LimitUnread sets MaxUnreadBytes on a new socket, as the Control of a net.Dialer
// or net.ListenConfig; accepted connections have what their listener has.
func LimitUnread(_, _ string, raw syscall.RawConn) error {
	return setOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, MaxUnreadBytes)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket, as net.Dialer's
// Control.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
}

func setOption(raw syscall.RawConn, level, option, value int) error {
	var optErr error
	err := raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), level, option, value) })
	if err != nil {
		return err
	}
	return optErr
}
