package gatewayhost

import (
	"io"
	"net"
	"sync"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/membudget"
)

// headMemoryFactor is how much memory a byte of a head takes while it is decoded: the shortest header lines have six
// bytes and take about 100.
const headMemoryFactor = 16

// responseNoMemory is the response to a request whose head is given up. It has not run, and its id is not known.
const responseNoMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// callerHead charges the head of a request to the budget of the callers' messages while the HTTP server reads it.
type callerHead struct {
	conn   net.Conn
	budget *membudget.Budget // nil: no limit

	mu      sync.Mutex
	message *membudget.Message // nil: no head is being received
}

// received charges n bytes, unless they are read while a request is served. If the head was given up, it answers the
// caller and returns the error with which the read has to fail.
func (h *callerHead) received(n int, serving bool) error {
	if serving || h.budget == nil {
		return nil
	}
	err := h.charge(n)
	if err == nil {
		return nil
	}
	h.end()
	_, _ = io.WriteString(h.conn, responseNoMemory)       // the caller may have left
	return &net.OpError{Op: "read", Net: "tcp", Err: err} // the HTTP server does not answer read errors
}

func (h *callerHead) charge(n int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.message == nil && n > 0 {
		h.message = h.budget.Open(func() { _ = h.conn.SetReadDeadline(abortedRead) }) // fails only if the connection is closed
	}
	if h.message == nil {
		return nil
	}
	return h.message.Grow(headMemoryFactor * int64(n))
}

// end releases the memory of the head: it was received, or its connection is closed.
func (h *callerHead) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.message == nil {
		return
	}
	if h.message.Complete() != nil {
		_ = h.conn.SetReadDeadline(time.Time{}) // it was given up after its last byte was read
	}
	h.message.Release()
	h.message = nil
}

// abortedRead is a deadline that makes pending reads fail immediately.
var abortedRead = time.Unix(1, 0)
