package gatewayhost

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/membudget"
	"rhubarbwood.example/rhubarbwood/internal/routing"
)

// endlessHeads are requests without an end of their head: what they begin with, and what is repeated.
var endlessHeads = map[string][2]string{
	"request line":  {"", "x"},
	"path":          {"GET /", "x"},
	"header name":   {"GET / HTTP/1.1\r\n", "x"},
	"header value":  {"GET / HTTP/1.1\r\nA: ", "x"},
	"header lines":  {"GET / HTTP/1.1\r\n", "a:\r\n"},
	"folded header": {"GET / HTTP/1.1\r\nA: a\r\n", " a\r\n"},
}

// Callers that sent heads without end, each up to the limit of one, held more than the memory of the host together.
func TestHeadsOfManyCallersAreLimitedTogether(t *testing.T) {
	const bad, maxBytes = 100, 4 << 20
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			withCallerListener(t, func(t *testing.T, l *callerListener, _ *atomic.Pointer[routing.Limits], dial func() net.Conn) {
				is := is.New(t)
				l.conns.memory = membudget.NewBudget("callers", 4<<20)
				var wg sync.WaitGroup
				for range bad {
					wg.Go(func() {
						c := dial()
						defer func() { _ = c.Close() }()
						go func() {
							block := strings.Repeat(head[1], 1<<10)
							_, err := io.WriteString(c, head[0])
							for sent := 0; err == nil && sent < maxBytes; sent += len(block) {
								_, err = io.WriteString(c, block)
							}
						}()
						began := time.Now()
						resp, err := http.ReadResponse(bufio.NewReader(c), nil)
						is.NoErr(err) // it is answered, not cut
						is.True(time.Since(began) < time.Second)
						is.True(resp.Close)
						switch resp.StatusCode {
						case http.StatusServiceUnavailable, http.StatusRequestHeaderFieldsTooLarge, http.StatusBadRequest:
						default:
							t.Errorf("status %d", resp.StatusCode)
						}
					})
				}
				for range 10 {
					wg.Go(func() { is.True(requestSucceeds(dial())) })
				}
				wg.Wait()
				synctest.Wait()
				stats := l.conns.memory.Stats()
				is.True(stats.Peak <= stats.Max)
				is.True(stats.Peak > stats.Max/2) // the heads would have exceeded it
				is.Equal(stats.Held, int64(0))    // all is released
			})
		})
	}
}
