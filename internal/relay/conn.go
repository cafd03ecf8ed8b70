package relay

import (
	"context"
	"net"
	"net/http"
	"sync"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
)

// Values of catalog.Rules.Protocol.
const (
	protocolHTTP1 = "http1"
	protocolH2C   = "h2c"
)

// conn counts the writes to a connection, so that the sender of an attempt can
// prove that nothing was written.
type conn struct {
	net.Conn
	shared  bool // carries several attempts concurrently
	onClose func()

	mu        sync.Mutex
	writes    uint64
	sealed    bool
	closeOnce sync.Once
}

// Write counts the write before the first byte can leave the host.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	sealed := c.sealed
	if !sealed {
		c.writes++
	}
	c.mu.Unlock()
	if sealed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection, makes all further writes fail and returns the
// number of writes that began before.
func (c *conn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	n := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return n
}

// maxResponseHeaderBytes is the maximum size of the header of a target's response, those of 1xx responses included.
const maxResponseHeaderBytes = 32 << 10

// How many bytes of responses over HTTP/2 are held before they are read. They are in the memory of the process; the
// library's defaults are 4 MB for a response and 1 GB for a connection.
const (
	maxUnreadStreamBytes = 256 << 10
	maxUnreadConnBytes   = 1 << 20
)

// dialFunc opens a connection to a target.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newTransport returns the HTTP transport of one target.
func (r *Relay) newTransport(rules catalog.Rules, t *target) *http.Transport {
	tr := &http.Transport{
		MaxConnsPerHost:     maxConnections(rules),
		MaxIdleConnsPerHost: maxConnections(rules),
		IdleConnTimeout:     r.cfg.IdleTimeout.Std(),
		DisableCompression:  true,
		Protocols:           new(http.Protocols),

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		HTTP2:                  &http.HTTP2Config{MaxReceiveBufferPerStream: maxUnreadStreamBytes, MaxReceiveBufferPerConnection: maxUnreadConnBytes},
	}
	shared := rules.Protocol == protocolH2C
	tr.Protocols.SetHTTP1(!shared)
	tr.Protocols.SetUnencryptedHTTP2(shared)
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return r.dialTarget(ctx, network, address, t, shared)
	}
	return tr
}

func (r *Relay) dialTarget(ctx context.Context, network, address string, t *target, shared bool) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ConnectTimeout.Std())
	defer cancel()
	c, err := r.dial(ctx, network, address)
	if err != nil {
		return nil, Error.New("connect to target %s: %w", t.conf.ID, err)
	}
	t.openedConns.Add(1)
	t.openConns.Add(1)
	return &conn{Conn: c, shared: shared, onClose: func() { t.openConns.Add(-1) }}, nil
}
