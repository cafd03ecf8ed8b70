package gatewayhost

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/standin"
)

const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// withCallers runs a test against the callers' listener in virtual time. limits
// may change meanwhile.
func withCallers(t *testing.T, test func(t *testing.T, l *callers, limits *atomic.Pointer[routing.Limits], dial func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		on, err := network.Listen("callers:80")
		if err != nil {
			t.Fatal(err)
		}
		var limits atomic.Pointer[routing.Limits]
		limits.Store(&routing.Limits{})
		served := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		l := newCallers(on, func() routing.Limits { return *limits.Load() }, served, event.Discard())
		if err := l.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		test(t, l, &limits, func() net.Conn {
			c, err := network.Dial(t.Context(), "tcp", "callers:80")
			if err != nil {
				t.Fatal(err)
			}
			return c
		})
		_ = l.server.Close()
		synctest.Wait()
	})
}

// served sends a request and reports whether it was answered.
func served(c net.Conn) bool {
	if _, err := io.WriteString(c, request); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// closedAfter returns how long the server keeps the connection open.
func closedAfter(c net.Conn) time.Duration {
	began := time.Now()
	_, _ = io.Copy(io.Discard, c)
	return time.Since(began)
}

func TestIdleConnectionIsKeptAsLongAsTheConfigurationSays(t *testing.T) {
	withCallers(t, func(t *testing.T, _ *callers, limits *atomic.Pointer[routing.Limits], dial func() net.Conn) {
		is := is.New(t)
		for _, idle := range []time.Duration{5 * time.Second, 5 * time.Minute} { // below and above the server's own time
			limits.Store(&routing.Limits{IdleTimeout: idle, HeaderTimeout: time.Second})
			c := dial()
			is.True(served(c))
			time.Sleep(idle * 4 / 5)
			is.True(served(c))
			is.Equal(closedAfter(c), idle)
		}
		limits.Store(&routing.Limits{})
		c := dial()
		is.True(served(c))
		is.Equal(closedAfter(c), idleTimeout)
	})
}

func TestSlowHeaderEndsTheConnection(t *testing.T) {
	withCallers(t, func(t *testing.T, _ *callers, limits *atomic.Pointer[routing.Limits], dial func() net.Conn) {
		is := is.New(t)
		limits.Store(&routing.Limits{IdleTimeout: time.Minute, HeaderTimeout: 2 * time.Second})
		c := dial()
		is.True(served(c))
		time.Sleep(10 * time.Second) // waiting is no slow header
		_, err := io.WriteString(c, request[:10])
		is.NoErr(err)
		is.Equal(closedAfter(c), 2*time.Second)

		c = dial()
		_, err = io.WriteString(c, request[:10])
		is.NoErr(err)
		is.Equal(closedAfter(c), 2*time.Second)
	})
}

// A request of which a part was read when the host begins to leave is served and
// answered; a connection that waits is closed.
func TestLeavingClosesOnlyConnectionsThatWait(t *testing.T) {
	withCallers(t, func(t *testing.T, l *callers, _ *atomic.Pointer[routing.Limits], dial func() net.Conn) {
		is := is.New(t)
		waits, begun := dial(), dial()
		is.True(served(waits))
		is.True(served(begun))
		_, err := io.WriteString(begun, request[:10])
		is.NoErr(err)
		synctest.Wait()
		l.closeIdle()
		is.Equal(closedAfter(waits), time.Duration(0))
		_, err = io.WriteString(begun, request[10:])
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(begun), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	})
}
