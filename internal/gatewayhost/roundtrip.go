package gatewayhost

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// roundTrip returns the time to the other end of a connection and back, with its
// variation, as the kernel has measured it; 0 if the connection has none or the
// kernel does not tell.
func roundTrip(nc net.Conn) time.Duration {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0 // closed: nobody waits for the answer
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) // nil on error
	})
	if err != nil || info == nil {
		return 0
	}
	return time.Duration(info.Rtt+info.Rttvar) * time.Microsecond
}
