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

const testRequest = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// withCallerListener runs a test against the callers' listener in virtual time. The test
// may change limits.
func withCallerListener(t *testing.T, test func(t *testing.T, l *callerListener, limits *atomic.Pointer[routing.Limits], dial func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		on, err := network.Listen("callers:80")
		if err != nil {
			t.Fatal(err)
		}
		var limits atomic.Pointer[routing.Limits]
		limits.Store(&routing.Limits{})
		handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		l := newCallerListener(on, func() routing.Limits { return *limits.Load() }, nil, handler, event.Discard())
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

// requestSucceeds sends a request and reports whether the response has status 200.
func requestSucceeds(c net.Conn) bool {
	if _, err := io.WriteString(c, testRequest); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// timeUntilClosed returns the time from now until the server closes the connection.
func timeUntilClosed(c net.Conn) time.Duration {
	began := time.Now()
	_, _ = io.Copy(io.Discard, c)
	return time.Since(began)
}

func TestIdleConnectionIsKeptAsLongAsTheConfigurationSays(t *testing.T) {
	withCallerListener(t, func(t *testing.T, _ *callerListener, limits *atomic.Pointer[routing.Limits], dial func() net.Conn) {
		is := is.New(t)
		for _, idle := range []time.Duration{5 * time.Second, 5 * time.Minute} { // below and above the server's default
			limits.Store(&routing.Limits{IdleTimeout: idle, HeaderTimeout: time.Second})
			c := dial()
			is.True(requestSucceeds(c))
			time.Sleep(idle * 4 / 5)
			is.True(requestSucceeds(c))
			is.Equal(timeUntilClosed(c), idle)
		}
		limits.Store(&routing.Limits{})
		c := dial()
		is.True(requestSucceeds(c))
		is.Equal(timeUntilClosed(c), defaultIdleTimeout)
	})
}

func TestSlowHeaderEndsTheConnection(t *testing.T) {
	withCallerListener(t, func(t *testing.T, _ *callerListener, limits *atomic.Pointer[routing.Limits], dial func() net.Conn) {
		is := is.New(t)
		limits.Store(&routing.Limits{IdleTimeout: time.Minute, HeaderTimeout: 2 * time.Second})
		c := dial()
		is.True(requestSucceeds(c))
		time.Sleep(10 * time.Second) // idle time doesn't count for the header timeout
		_, err := io.WriteString(c, testRequest[:10])
		is.NoErr(err)
		is.Equal(timeUntilClosed(c), 2*time.Second)

		c = dial()
		_, err = io.WriteString(c, testRequest[:10])
		is.NoErr(err)
		is.Equal(timeUntilClosed(c), 2*time.Second)
	})
}

// A request that is partly read when the host begins to stop is served and answered;
// an idle connection is closed.
func TestLeavingClosesOnlyConnectionsThatWait(t *testing.T) {
	withCallerListener(t, func(t *testing.T, l *callerListener, _ *atomic.Pointer[routing.Limits], dial func() net.Conn) {
		is := is.New(t)
		idle, receiving := dial(), dial()
		is.True(requestSucceeds(idle))
		is.True(requestSucceeds(receiving))
		_, err := io.WriteString(receiving, testRequest[:10])
		is.NoErr(err)
		synctest.Wait()
		l.closeIdle()
		is.Equal(timeUntilClosed(idle), time.Duration(0))
		_, err = io.WriteString(receiving, testRequest[10:])
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(receiving), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	})
}

// The HTTP server answered "OPTIONS *" by itself with an empty 200.
func TestOptionsOfTheServerReachTheGateway(t *testing.T) {
	withCallerListener(t, func(t *testing.T, l *callerListener, _ *atomic.Pointer[routing.Limits], dial func() net.Conn) {
		is := is.New(t)
		l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
		c := dial()
		_, err := io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusTeapot)
	})
}
