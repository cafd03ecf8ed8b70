package peer

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/membudget"
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

	memory  *membudget.Message // what the connection's buffers hold
	message atomic.Int64       // bytes read of the current message
	charged atomic.Int64       // bytes of the largest message
}

// bufferFactor is how much memory drpc takes for a byte of a message: the frames and the message assembled from them.
// Both buffers are kept until the connection is closed, so that they are charged for the largest message so far.
const bufferFactor = 2

// counters are the byte counters of one class.
type counters struct{ in, out prometheus.Counter }

// countConn counts c as open and calls onClose once when it closes.
func countConn(c net.Conn, o options, side string, onClose func(*countedConn)) *countedConn {
	gauge := o.metrics.connections.WithLabelValues(side)
	gauge.Inc()
	return &countedConn{
		Conn: c, metrics: o.metrics,
		memory: o.memory.Open(func() { _ = c.Close() }), // drpc then closes the counted connection
		onClose: func(c *countedConn) {
			gauge.Dec()
			onClose(c)
		},
	}
}

// charge charges n bytes of the current message.
func (c *countedConn) charge(n int) error {
	size := c.message.Add(int64(n))
	more := size - c.charged.Load()
	if more <= 0 {
		return nil
	}
	c.charged.Store(size)
	return c.memory.Grow(bufferFactor * more)
}

// endMessage records that the current message was received, or is not read any more.
func (c *countedConn) endMessage() { c.message.Store(0) }

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
	if err := c.charge(n); err != nil {
		return 0, Error.New("read message: %w", err)
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
	c.closeOnce.Do(func() {
		c.memory.Release()
		c.onClose(c)
	})
	return err
}

// closeWrite closes the sending side; data already written is still delivered.
func (c *countedConn) closeWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return c.Conn.Close()
}
