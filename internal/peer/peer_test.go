package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/goleak"

	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// relay is a Relay service whose calls report their start on begun and then
// block until release is closed or their context is done.
type relay struct {
	begun   chan string   // request ids
	release chan struct{} // closed to let the calls finish
}

func newRelay() *relay { return &relay{begun: make(chan string, 1024), release: make(chan struct{})} }

func (r *relay) Reserve(ctx context.Context, req *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	if req.Item != "hold" {
		return &peerpb.ReserveReply{RequestId: req.RequestId}, nil
	}
	r.begun <- req.RequestId
	select {
	case <-r.release:
		return &peerpb.ReserveReply{RequestId: req.RequestId}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *relay) Search(req *peerpb.Batch, stream peerpb.DRPCRelay_SearchStream) error {
	if err := stream.Send(&peerpb.ShardResult{RequestId: req.RequestId}); err != nil {
		return err
	}
	r.begun <- req.RequestId
	select {
	case <-r.release:
		return nil
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
}

// serve starts a server with the service r on a free port.
func serve(t testing.TB, r *relay, opts ...Option) *Server {
	t.Helper()
	s := NewServer("127.0.0.1:0", opts...)
	if err := peerpb.DRPCRegisterRelay(s, r); err != nil {
		t.Fatal(err)
	}
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(doneContext()) })
	return s
}

// pool returns a pool in which a cancelled call may take a minute to send the
// cancellation, so that results do not depend on the load of the machine.
func pool(t testing.TB, opts ...Option) *Pool {
	t.Helper()
	p := NewPool(append(opts, func(o *options) { o.softCancelGrace = time.Minute })...)
	t.Cleanup(func() { _ = p.Stop(context.Background()) })
	return p
}

// doneContext returns a context that is done.
func doneContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// reserve makes a Reserve call; it blocks at the server if item is "hold".
func reserve(ctx context.Context, p *Pool, address, item string) error {
	client := peerpb.NewDRPCRelayClient(p.Conn(ctx, address))
	_, err := client.Reserve(ctx, &peerpb.ReserveRequest{RequestId: "r", Item: item})
	return err
}

// startBlockedCall starts a call that blocks at the server, and returns a
// channel with its result.
func startBlockedCall(ctx context.Context, p *Pool, address string) chan error {
	end := make(chan error, 1)
	go func() { end <- reserve(ctx, p, address, "hold") }()
	return end
}

// closedConns returns how many of the dialled connections were closed. A call
// right after a cancelled one may dial, as the cancellation may not be sent
// yet.
func closedConns(p *Pool) float64 {
	return dials(p) - testutil.ToFloat64(p.opts.metrics.connections.WithLabelValues(sideClient))
}

// dials returns how many data connections p has dialled.
func dials(p *Pool) float64 {
	return testutil.ToFloat64(p.opts.metrics.dials.WithLabelValues(string(classData), "ok"))
}

// silentPeer returns the address of a listener that accepts but never replies,
// like a frozen host whose kernel still acknowledges data. got receives each
// piece read, or nil for each connection if read is false.
func silentPeer(t *testing.T, read bool) (address string, got chan []byte) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got = make(chan []byte, 1024)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			if read {
				go readAll(c, got)
			} else {
				got <- nil
			}
		}
	}()
	return ln.Addr().String(), got
}

func readAll(c io.Reader, got chan []byte) {
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		got <- bytes.Clone(buf[:n])
	}
}

func TestCancelledCallsToFrozenPeerKeepTheirConnection(t *testing.T) {
	is := is.New(t)
	address, got := silentPeer(t, true)
	p := pool(t)
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		end := startBlockedCall(ctx, p, address)
		for !bytes.Contains(<-got, []byte("Reserve")) { // the cancellation of the previous call may be read first
		}
		cancel()
		err := <-end
		is.True(err != nil)   // it ends when it is cancelled
		is.True(!NotRun(err)) // the peer received it, and may run it
	}
	is.Equal(closedConns(p), 0.0) // cancelled calls returned their connections
}

func TestCallStuckInWriteEndsWhenCancelled(t *testing.T) {
	is := is.New(t)
	address, accepted := silentPeer(t, false)
	p := pool(t)
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() {
		client := peerpb.NewDRPCRelayClient(p.Conn(ctx, address))
		_, err := client.Reserve(ctx, &peerpb.ReserveRequest{Item: string(make([]byte, maxMessageBytes/2))})
		end <- err
	}()
	<-accepted
	cancel()
	is.True(<-end != nil)
}

func TestCancelledCallLeavesOthersAlone(t *testing.T) {
	is := is.New(t)
	r := newRelay()
	s := serve(t, r)
	p := pool(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := startBlockedCall(ctx, p, s.Addr())
	kept := startBlockedCall(t.Context(), p, s.Addr())
	<-r.begun
	<-r.begun
	cancel()
	is.True(<-cancelled != nil)
	is.NoErr(reserve(t.Context(), p, s.Addr(), "now")) // may use the connection of the cancelled call
	close(r.release)
	is.NoErr(<-kept)
	is.Equal(closedConns(p), 0.0)
}

func TestPeerKilledInMidStream(t *testing.T) {
	is := is.New(t)
	r, other := newRelay(), newRelay()
	dying, living := serve(t, r), serve(t, other)
	p := pool(t)
	client := peerpb.NewDRPCRelayClient(p.Conn(t.Context(), dying.Addr()))
	stream, err := client.Search(t.Context(), &peerpb.Batch{RequestId: "s"})
	is.NoErr(err)
	first, err := stream.Recv()
	is.NoErr(err)
	is.Equal(first.RequestId, "s")
	kept := startBlockedCall(t.Context(), p, living.Addr())
	<-other.begun
	is.True(dying.Stop(doneContext()) != nil) // reports that a call was aborted
	_, err = stream.Recv()
	is.True(err != nil && err != io.EOF) // not the end of a complete stream
	is.True(!NotRun(err))
	is.True(NotRun(reserve(t.Context(), p, dying.Addr(), "now"))) // the listener is closed
	close(other.release)
	is.NoErr(<-kept)
}

func TestStopFinishesWhatRuns(t *testing.T) {
	is := is.New(t)
	r := newRelay()
	s := serve(t, r)
	p := pool(t)
	is.NoErr(reserve(t.Context(), p, s.Addr(), "now")) // leaves an idle connection
	running := startBlockedCall(t.Context(), p, s.Addr())
	<-r.begun
	stopped := make(chan error, 1)
	idle := pool(t)
	is.NoErr(reserve(t.Context(), idle, s.Addr(), "now"))
	go func() { stopped <- s.Stop(context.Background()) }()
	for {
		err := reserve(t.Context(), idle, s.Addr(), "now")
		if err != nil {
			is.True(NotRun(err)) // refused over an open connection
			break
		}
		runtime.Gosched()
	}
	close(r.release)
	is.NoErr(<-running)
	is.NoErr(<-stopped)
}

func TestStopClosesListenerThatNeverServed(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := NewServer("")
	s.UseListener(ln)
	is.NoErr(s.Stop(t.Context()))
	_, err = net.Dial("tcp", ln.Addr().String())
	is.True(err != nil)
}

func TestMessageTooLargeEndsItsCallAlone(t *testing.T) {
	is := is.New(t)
	r := newRelay()
	s := serve(t, r)
	p := pool(t)
	kept := startBlockedCall(t.Context(), p, s.Addr())
	<-r.begun
	is.True(reserve(t.Context(), p, s.Addr(), string(make([]byte, maxMessageBytes+1))) != nil)
	is.NoErr(reserve(t.Context(), p, s.Addr(), string(make([]byte, maxMessageBytes-1024))))
	close(r.release)
	is.NoErr(<-kept)
}

func TestConnectionsToOneHostAreBounded(t *testing.T) {
	is := is.New(t)
	r := newRelay()
	s := serve(t, r)
	p := pool(t)
	var ends []chan error
	for range maxOpenPerHost {
		ends = append(ends, startBlockedCall(t.Context(), p, s.Addr()))
		<-r.begun
	}
	is.True(NotRun(reserve(t.Context(), p, s.Addr(), "now")))
	close(r.release)
	for _, end := range ends {
		is.NoErr(<-end)
	}
	is.NoErr(reserve(t.Context(), p, s.Addr(), "now"))
}

func TestBytesAreCountedByClass(t *testing.T) {
	is := is.New(t)
	m := NewMetrics(nil)
	r := newRelay()
	s := serve(t, r, WithMetrics(m))
	clients := NewMetrics(nil)
	p := pool(t, WithMetrics(clients))
	is.NoErr(reserve(t.Context(), p, s.Addr(), "now"))
	_, err := peerpb.NewDRPCMembersClient(p.Conn(t.Context(), s.Addr())).Probe(t.Context(), &peerpb.ProbeRequest{})
	is.True(err != nil) // the server lacks the service, but the call is control traffic
	for _, cl := range []class{classControl, classData} {
		sent := testutil.ToFloat64(clients.bytes.WithLabelValues(string(cl), "out"))
		is.True(sent > 0)
		got := func() float64 { return testutil.ToFloat64(m.bytes.WithLabelValues(string(cl), "in")) }
		// The server reads the end of a call after the client's call has
		// returned.
		for began := time.Now(); got() < sent && time.Since(began) < 10*time.Second; {
			time.Sleep(time.Millisecond)
		}
		is.Equal(sent, got())
	}
	is.Equal(testutil.ToFloat64(clients.connections.WithLabelValues(sideClient)), 2.0)
}

// BenchmarkCancel measures a cancelled call and the call that follows it.
func BenchmarkCancel(b *testing.B) {
	for name, hard := range map[string]bool{"soft": false, "hard": true} {
		b.Run(name, func(b *testing.B) {
			r := newRelay()
			s := serve(b, r)
			p := pool(b, func(o *options) { o.hardCancel = hard })
			began := time.Now()
			for b.Loop() {
				ctx, cancel := context.WithCancel(b.Context())
				end := startBlockedCall(ctx, p, s.Addr())
				<-r.begun
				cancel()
				<-end
				if err := reserve(b.Context(), p, s.Addr(), "now"); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(dials(p)/float64(b.N), "dials/op")
			b.ReportMetric(float64(time.Since(began).Microseconds())/float64(b.N), "us/op")
		})
	}
}
