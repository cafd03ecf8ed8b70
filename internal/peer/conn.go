package peer

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// countedConn is a connection whose bytes are counted by class. All calls on a
// connection have one class; bytes read before it is known are counted
// afterwards.
type countedConn struct {
	net.Conn
	metrics          *Metrics
	counters         atomic.Pointer[counters]
	unclassifiedRead atomic.Int64 // bytes read before the class was known
	onClose          func(*countedConn)
	closeOnce        sync.Once
}

// counters are the byte counters of one class.
type counters struct{ in, out prometheus.Counter }

// countConn counts c as open and calls onClose once when it closes.
func countConn(c net.Conn, m *Metrics, side string, onClose func(*countedConn)) *countedConn {
	gauge := m.connections.WithLabelValues(side)
	gauge.Inc()
	return &countedConn{Conn: c, metrics: m, onClose: func(c *countedConn) {
		gauge.Dec()
		onClose(c)
	}}
}

// setClass sets the class of the connection's calls; only the first call of
// setClass has an effect.
func (c *countedConn) setClass(cl class) {
	cs := &counters{
		in:  c.metrics.bytes.WithLabelValues(string(cl), "in"),
		out: c.metrics.bytes.WithLabelValues(string(cl), "out"),
	}
	if c.counters.CompareAndSwap(nil, cs) {
		cs.in.Add(float64(c.unclassifiedRead.Swap(0)))
	}
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if cs := c.counters.Load(); cs != nil {
		cs.in.Add(float64(n))
	} else {
		c.unclassifiedRead.Add(int64(n))
	}
	return n, err
}

// Write writes to the connection and counts the bytes. The class is known by
// then, as a server writes nothing before its first call.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if cs := c.counters.Load(); cs != nil {
		cs.out.Add(float64(n))
	}
	return n, err
}

// Close closes the connection.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.onClose(c) })
	return err
}

// closeWrite closes the sending side; data already written is still delivered.
func (c *countedConn) closeWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return c.Conn.Close()
}
