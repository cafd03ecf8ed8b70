package target

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/targetapi"
)

// post calls one of the target's control paths and decodes the response body into out, unless out
// is nil.
func (c *client) post(path, body string, out any) int {
	resp, err := c.http.Post("http://"+c.host+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if out != nil && json.NewDecoder(resp.Body).Decode(out) != nil {
		return 0
	}
	return resp.StatusCode
}

// running is a target that is served on loopback until the test ends.
type running struct {
	*Server
	address string
	served  chan error
}

func start(t *testing.T, tgt *Target) running {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := running{NewServer(tgt), ln.Addr().String(), make(chan error, 1)}
	go func() { r.served <- r.Serve(ln) }()
	t.Cleanup(func() { _ = r.Shutdown(context.Background()) })
	return r
}

// transport returns a transport that speaks only HTTP/1.1 or only HTTP/2.
func transport(h2 bool) *http.Transport {
	var p http.Protocols
	p.SetHTTP1(!h2)
	p.SetUnencryptedHTTP2(h2)
	return &http.Transport{Protocols: &p}
}

func TestBothProtocolsOnOneListener(t *testing.T) {
	is := is.New(t)
	tgt := New(testConfig())
	srv := start(t, tgt)
	for _, h2 := range []bool{false, true} {
		tr := transport(h2)
		resp, err := (&http.Client{Transport: tr}).Get("http://" + srv.address + targetapi.PathStatus)
		is.NoErr(err)
		is.Equal(resp.ProtoMajor == 2, h2)
		is.NoErr(resp.Body.Close())
		tr.CloseIdleConnections()
	}
	is.NoErr(srv.Shutdown(t.Context()))
	is.NoErr(<-srv.served)
	is.Equal(tgt.Counters().ConnectionsOpened, uint64(2))
}

func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.Connections = 1
	tgt := New(cfg)
	srv := start(t, tgt)
	held, err := net.Dial("tcp", srv.address)
	is.NoErr(err)
	_, err = io.WriteString(held, "GET "+targetapi.PathStatus+" HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	_, err = http.ReadResponse(bufio.NewReader(held), nil)
	is.NoErr(err)
	over, err := net.Dial("tcp", srv.address)
	is.NoErr(err)
	_, err = over.Read(make([]byte, 1))
	is.True(err != nil)
	is.NoErr(over.Close())
	is.NoErr(held.Close())
	c := tgt.Counters()
	is.Equal(c.ConnectionsRefused, uint64(1))
	is.Equal(c.ConnectionsMax, 1)
}

// A cut connection and a cancelled request must reach the peer over both protocols.
func TestCutAndCancelOverTheWire(t *testing.T) {
	for _, h2 := range []bool{false, true} {
		is := is.New(t)
		cfg := testConfig()
		tgt := New(cfg)
		srv := start(t, tgt)
		c := &client{http.Client{Transport: transport(h2)}, srv.address}
		t.Cleanup(c.http.CloseIdleConnections)
		tgt.SetFaults(Faults{Cut: 1})
		is.True(c.send(t.Context(), reserve("a1")).err != nil)
		is.Equal(len(tgt.Executions()), 1)
		tgt.SetFaults(Faults{Truncate: 1})
		is.True(c.send(t.Context(), search()).err != nil)
		tgt.SetFaults(Faults{Freeze: FreezeBefore})
		ctx, cancel := context.WithCancel(t.Context())
		got := make(chan received, 1)
		go func() { got <- c.send(ctx, reserve("a2")) }()
		until(t, func() bool { return tgt.Counters().Received == 3 })
		cancel()
		is.True((<-got).err != nil)
		until(t, func() bool { return tgt.Counters().Count(ResultCancelled) == 1 })
		is.Equal(len(tgt.Executions()), 1)
	}
}

// A request whose client disconnects before sending the whole body counts as cancelled, not as a
// bad request.
func TestGoneBeforeItsBodyIsCancelled(t *testing.T) {
	is := is.New(t)
	tgt := New(testConfig())
	srv := start(t, tgt)
	c, err := net.Dial("tcp", srv.address)
	is.NoErr(err)
	_, err = io.WriteString(c, "POST "+targetapi.PathShard+" HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n")
	is.NoErr(err)
	until(t, func() bool { return tgt.Counters().Received == 1 })
	is.NoErr(c.Close())
	until(t, func() bool { return len(tgt.Counters().Requests) > 0 })
	is.Equal(tgt.Counters().Count(ResultCancelled), uint64(1))
}

func TestShutdownLetsRequestsEnd(t *testing.T) {
	for _, h2 := range []bool{false, true} {
		is := is.New(t)
		tgt := New(testConfig())
		srv := start(t, tgt)
		c := &client{http.Client{Transport: transport(h2)}, srv.address}
		tgt.SetFaults(Faults{Freeze: FreezeAfter})
		got := make(chan received, 1)
		go func() { got <- c.send(t.Context(), reserve("a1")) }()
		until(t, func() bool { return len(tgt.Executions()) == 1 })
		stopped := make(chan error, 1)
		go func() { stopped <- srv.Shutdown(t.Context()) }()
		is.NoErr(<-srv.served) // accepts no more connections
		tgt.SetFaults(Faults{})
		is.True((<-got).answer.Granted)
		is.NoErr(<-stopped)
	}
}

func TestControlIsReachableWhenConnectionsAreTaken(t *testing.T) {
	is := is.New(t)
	tgt := New(testConfig())
	srv := NewServer(tgt)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = srv.ServeControl(ln) }()
	resp, err := http.Get("http://" + ln.Addr().String() + PathCounters)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.NoErr(resp.Body.Close())
	is.Equal(tgt.Counters().ConnectionsOpened, uint64(0))
	is.NoErr(srv.Shutdown(t.Context()))
}

func TestControlListenerOfTheConfigIsOpened(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()
	cfg := testConfig()
	cfg.ControlListen = taken.Addr().String()
	is.True(NewServer(New(cfg)).Serve(nil) != nil)
}

func TestNewConnectionCostsItsTimeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := testConfig()
		cfg.ConnectionCost = second
		near, far := net.Pipe()
		c := &conn{Conn: near, target: New(cfg)}
		go func() {
			_, _ = far.Write([]byte("ab"))
		}()
		began := time.Now()
		for range 2 {
			_, err := c.Read(make([]byte, 1))
			is.NoErr(err)
			is.Equal(time.Since(began), time.Second) // virtual time
		}
	})
}

func TestExecutionLogFile(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.ExecutionLog = filepath.Join(t.TempDir(), "executions")
	tgt := New(cfg)
	is.NoErr(tgt.OpenLog())
	c := newClient(tgt)
	tgt.SetFaults(Faults{Freeze: FreezeAfter}) // no response, but the connection stays open
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan received, 1)
	go func() { got <- c.send(ctx, reserve("a1")) }()
	until(t, func() bool { return len(tgt.Executions()) == 1 })
	cancel()
	is.True((<-got).err != nil)
	is.NoErr(tgt.CloseLog())
	b, err := os.ReadFile(cfg.ExecutionLog)
	is.NoErr(err)
	var e Execution
	is.NoErr(json.Unmarshal(b, &e))
	is.Equal(e, tgt.Executions()[0])
}

func TestWhatIsKnownOfAttemptsOutlivesTheProcess(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.ExecutionLog = filepath.Join(t.TempDir(), "executions")
	cfg.Stock = map[string]int{"pressure cooker": 1}
	first := New(cfg)
	is.NoErr(first.OpenLog())
	granted := newClient(first).send(t.Context(), reserve("ran")).answer
	is.True(!first.reservations.settle("refused").Ran)
	is.NoErr(first.CloseLog())

	second := New(cfg)
	is.NoErr(second.OpenLog())
	defer func() { is.NoErr(second.CloseLog()) }()
	c := newClient(second)
	is.Equal(second.Executions(), first.Executions())
	is.Equal(second.reservations.settle("ran"), targetapi.Settlement{AttemptID: "ran", Ran: true, Answer: granted})
	is.Equal(c.send(t.Context(), reserve("refused")).rejection.Code, targetapi.CodeRefusedAttempt)
	is.True(!c.send(t.Context(), reserve("other")).answer.Granted) // the stock is used up
}
