package relay

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// closingTarget answers the first request on each connection. It executes the
// second one but closes the connection without a response, like a target whose
// idle timeout fires as a request arrives. net/http takes that for a stale
// idle connection, on which it may retry the request.
type closingTarget struct {
	ln         net.Listener
	executions atomic.Int64
	work       sync.WaitGroup
}

func newClosingTarget(t *testing.T) *closingTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &closingTarget{ln: ln}
	c.work.Go(c.accept)
	t.Cleanup(func() { _ = ln.Close(); c.work.Wait() })
	return c
}

func (c *closingTarget) accept() {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.work.Go(func() { c.serve(conn) })
	}
}

func (c *closingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(r.Body).WriteTo(discard{})
		c.executions.Add(1)
		if n == 1 {
			return
		}
		res := http.Response{StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1,
			Body: http.NoBody, Header: http.Header{}}
		_ = res.Write(conn)
	}
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// Each reservation is sent once, even if a reused connection is lost during
// it.
func TestReservationIsNeverReplayed(t *testing.T) {
	is := is.New(t)
	c := newClosingTarget(t)
	f := newFixture(1, 1)
	defer f.close()
	f.relay.dial = (&net.Dialer{}).DialContext
	f.view.change(func(s *catalog.Service) { s.Targets[0].Address = c.ln.Addr().String() })
	for i := range 10 {
		got := f.relay.Send(t.Context(), reserve(time.Minute), "t0", "a1")
		is.Equal(got.Outcome, outcome.Unknown)
		is.Equal(c.executions.Load(), int64(i+1))
	}
}

// The same over h2c, where the target resets the stream after it executed the
// request.
func TestReservationIsNeverReplayedOverH2C(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1, rules(func(r *catalog.Rules) { r.Protocol = protocolH2C }))
	defer f.close()
	f.targets[0].serve = func(http.ResponseWriter, *http.Request, targetapi.Answer) { panic(http.ErrAbortHandler) }
	for i := range 10 {
		is.Equal(f.relay.Send(t.Context(), reserve(time.Minute), "t0", "a1").Outcome, outcome.Unknown)
		is.Equal(f.targets[0].requestCount(), i+1)
	}
}
