package peer

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// countedConn is a connection whose bytes are counted by class. All calls on
// a connection have one class; bytes before it is known are counted later.
type countedConn struct {
	net.Conn
	metrics   *Metrics
	counters  atomic.Pointer[counters]
	earlyRead atomic.Int64
	closed    func(*countedConn)
	once      sync.Once
}

type counters struct{ in, out prometheus.Counter }

// countConn wraps c and calls closed once when it closes.
func countConn(c net.Conn, m *Metrics, side string, closed func(*countedConn)) *countedConn {
	gauge := m.connections.WithLabelValues(side)
	gauge.Inc()
	return &countedConn{Conn: c, metrics: m, closed: func(c *countedConn) {
		gauge.Dec()
		closed(c)
	}}
}

// setClass tells the class of the connection's calls; only the first counts.
func (c *countedConn) setClass(cl class) {
	cs := &counters{
		in:  c.metrics.bytes.WithLabelValues(string(cl), "in"),
		out: c.metrics.bytes.WithLabelValues(string(cl), "out"),
	}
	if c.counters.CompareAndSwap(nil, cs) {
		cs.in.Add(float64(c.earlyRead.Swap(0)))
	}
}

// Read counts what it reads.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if cs := c.counters.Load(); cs != nil {
		cs.in.Add(float64(n))
	} else {
		c.earlyRead.Add(int64(n))
	}
	return n, err
}

// Write counts what it writes. A server writes nothing before its first call.
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
	c.once.Do(func() { c.closed(c) })
	return err
}

// closeWrite tells the peer that nothing more will be sent; what was sent
// still arrives.
func (c *countedConn) closeWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return c.Conn.Close()
}
