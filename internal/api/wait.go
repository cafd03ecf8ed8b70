package api

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// kernelTick is the longest unit in which the kernel measures how long ago a
// connection received data.
const kernelTick = 10 * time.Millisecond

type (
	connKey struct{}
	waitKey struct{}
)

// withConn stores the connection of the requests in their context.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// withWait stores in the context for how long the request has waited to be read. A
// request that arrives while the process stands still is read when the process runs
// again. If its budget began only then, a caller that waits little longer than its
// budget would get no response.
func withWait(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			r = r.WithContext(context.WithValue(r.Context(), waitKey{}, waited(c)))
		}
		next.ServeHTTP(w, r)
	})
}

// waited returns for how long the data that a connection received last has
// certainly waited to be read; 0 if nc is no TCP connection.
func waited(nc net.Conn) time.Duration {
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
	return max(time.Duration(info.Last_data_recv)*time.Millisecond-kernelTick, 0)
}

// remainingBudget returns what was left of a caller's budget when the request was
// read. It returns 0 if none was given, and a negative duration if it had run out.
func remainingBudget(ctx context.Context, ms *float64) time.Duration {
	budget := budgetFromMS(ms)
	wait, _ := ctx.Value(waitKey{}).(time.Duration)
	switch {
	case budget <= 0:
		return budget
	case budget > wait:
		return budget - wait
	}
	return -1
}
