package netdial

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

func TestConnectionsAreGivenUpWhenSilent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c, err := New(time.Second).DialContext(t.Context(), "tcp", ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	got := 0
	is.NoErr(raw.Control(func(fd uintptr) {
		got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	is.NoErr(err)
	is.Equal(got, int(UserTimeout.Milliseconds()))
}
