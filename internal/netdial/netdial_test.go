package netdial

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// option returns an option of a connection's socket.
func option(t *testing.T, c net.Conn, level, name int) int {
	t.Helper()
	is := is.New(t)
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	got := 0
	is.NoErr(raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), level, name) }))
	is.NoErr(err)
	return got
}

func TestConnectionsAreGivenUpWhenSilent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	for _, dialer := range []*net.Dialer{New(time.Second), NewLimited(time.Second)} {
		c, err := dialer.DialContext(t.Context(), "tcp", ln.Addr().String())
		is.NoErr(err)
		is.Equal(option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), int(UserTimeout.Milliseconds()))
		_ = c.Close()
	}
}

// A connection that nobody read held up to 6 MB in the kernel.
func TestLimitedConnectionsHoldFewUnreadBytes(t *testing.T) {
	is := is.New(t)
	listener := net.ListenConfig{Control: LimitUnread}
	ln, err := listener.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	dialed, err := NewLimited(time.Second).DialContext(t.Context(), "tcp", ln.Addr().String())
	is.NoErr(err)
	defer dialed.Close()
	accepted, err := ln.Accept()
	is.NoErr(err)
	defer accepted.Close()
	const kernelFactor = 2 // the kernel adds as much for its own data
	is.Equal(option(t, dialed, unix.SOL_SOCKET, unix.SO_RCVBUF), kernelFactor*MaxUnreadBytes)
	is.Equal(option(t, accepted, unix.SOL_SOCKET, unix.SO_RCVBUF), kernelFactor*MaxUnreadBytes)
}
