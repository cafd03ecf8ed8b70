package gatewayhost

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// roundTrip returns the smoothed round-trip time of a TCP connection plus its variation,
// as measured by the kernel; 0 if nc is no TCP connection or the kernel has no value.
func roundTrip(nc net.Conn) time.Duration {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0 // the connection is closed, so no caller waits
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
