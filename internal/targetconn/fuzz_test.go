package targetconn

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"
)

// scriptedConn is a connection on which a target sends fixed bytes, whatever is written to it.
type scriptedConn struct {
	net.Conn
	response *bytes.Reader
}

func (c scriptedConn) Read(b []byte) (int, error)    { return c.response.Read(b) }
func (scriptedConn) Write(b []byte) (int, error)     { return len(b), nil }
func (scriptedConn) Close() error                    { return nil }
func (scriptedConn) SetDeadline(time.Time) error     { return nil }
func (scriptedConn) SetReadDeadline(time.Time) error { return nil }

// Any bytes of a target are read as a response within the limit or yield an error, and a connection
// with unread bytes is not reused.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nto the end",
		"nonsense",
	} {
		f.Add([]byte(text))
	}
	const limit = 1 << 10
	f.Fuzz(func(t *testing.T, answer []byte) {
		rest := bytes.NewReader(answer)
		pool := NewPool("t:80", 1, time.Second, func(context.Context, string, string) (net.Conn, error) { return scriptedConn{response: rest}, nil })
		pool.Reserve()
		conn, err := pool.Get(t.Context(), time.Now().Add(time.Minute), "")
		if err != nil {
			t.Fatal(err)
		}
		a, sent, err := conn.Exchange(t.Context(), time.Now().Add(time.Minute), &Request{Method: "GET", Head: []byte("GET / HTTP/1.1\r\n"), MaxBodyBytes: limit})
		if !sent {
			t.Fatal("the request was sent")
		}
		if err == nil && len(a.Body) > limit {
			t.Fatalf("body of %d bytes", len(a.Body))
		}
		pool.mu.Lock()
		defer pool.mu.Unlock()
		for _, idle := range pool.idle {
			if idle.reader.Buffered() > 0 {
				t.Fatal("a connection with bytes left is kept")
			}
		}
	})
}
