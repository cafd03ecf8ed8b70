package targetconn

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin"
)

const (
	// endlessTestBytes is how much an endless response sends at most, so that a test of code without limits ends.
	endlessTestBytes = 64 << 20
	// maxUnreadBytes is more than the socket buffers of both sides hold.
	maxUnreadBytes = 16 << 20
)

// serveEndless returns a pool for a target that answers with an endless response, and a channel that receives how many
// bytes it could send.
func serveEndless(t *testing.T, e standin.EndlessResponse) (*Pool, chan int) {
	sent := make(chan int, 1)
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		sent <- e.Send(c, endlessTestBytes)
		_, _ = r.ReadByte() // keeps the connection open until the other side closes it
	}), sent
}

// A response without an end of its head was read, and kept, until the deadline of the request: the host exceeded its
// memory and was ended.
func TestEndlessResponseIsGivenUpAtOnce(t *testing.T) {
	for _, e := range standin.EndlessResponses("X-Id: 1\r\n") {
		t.Run(e.Name, func(t *testing.T) {
			is := is.New(t)
			p, sent := serveEndless(t, e)
			r := getRequest("1")
			_, wasSent, err := exchange(t, p, r)
			is.True(err != nil)
			is.True(wasSent)                 // the request may have run
			is.True(!isTimeout(err))         // it is not read until the deadline
			is.True(!ConnectionLost(err))    // this host gave it up
			is.True(<-sent < maxUnreadBytes) // the rest of it was not read
			if exceeded := (*LimitError)(nil); e.InHead {
				is.True(errors.As(err, &exceeded))
				is.True(exceeded.Limit == LimitHeadBytes || exceeded.Limit == LimitHeadLines)
				is.True(exceeded.Received <= maxHeadBytes+readBufferBytes)
			}
		})
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// A head near the limits is read: targets may send more headers than today's.
func TestHeadBelowTheLimitsIsRead(t *testing.T) {
	is := is.New(t)
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for range 100 {
		head += "X-Other: " + strings.Repeat("x", 200) + "\r\n"
	}
	p := serve(t, respondAlways("HTTP/1.1 103 Early Hints\r\n\r\n"+head+"Content-Length: 2\r\n\r\nok"))
	for range 2 {
		a, _, err := exchange(t, p, getRequest("1"))
		is.NoErr(err)
		is.Equal(string(a.Body), "ok")
		is.Equal(len(a.Header["X-Other"]), 100)
	}
	is.Equal(p.Dialed(), uint64(1))
}

// Line ends in a body are not lines of the head, also where one read returns both.
func TestBodyOfLineEndsIsNoHead(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("\n", 3000)
	p := serve(t, respondAlways("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3000\r\n\r\n"+body))
	a, _, err := exchange(t, p, getRequest("1"))
	is.NoErr(err)
	is.Equal(len(a.Body), 3000)
}
