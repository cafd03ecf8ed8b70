// Package netdial opens TCP connections that end when the other side has gone
// silent without a reset. It is the one place where that is set.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SilentAfter is how long sent bytes may stay without a word of the other side's
// kernel before the connection is given up. It is longer than the retransmissions
// of a short loss, and shorter than callers wait: a new connection may work at once.
const SilentAfter = 1500 * time.Millisecond

// Func opens a connection, as net.Dialer's DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a dialer of such connections. timeout bounds the opening, 0: only
// the context does. Idle connections are not probed: the first bytes sent on
// one show that it is dead.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: giveUpSilent}
}

func giveUpSilent(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilentAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
