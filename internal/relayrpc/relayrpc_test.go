package relayrpc

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/query"
)

func TestMain(m *testing.M) {
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		println("goroutines leaked:", err.Error())
		code = 1
	}
	os.Exit(code)
}

// stub is a relay and reserver made of functions.
type stub struct {
	search  func(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error
	reserve func(ctx context.Context, r query.ReserveRequest) query.Reservation
}

func (s *stub) Search(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
	return s.search(ctx, b, emit)
}
func (s *stub) Reserve(ctx context.Context, r query.ReserveRequest) query.Reservation {
	return s.reserve(ctx, r)
}

func result(b query.Batch, shard uint32) query.ShardResult {
	return query.ShardResult{
		Key: query.ShardKey{Service: "s", Shard: shard}, Snapshot: b.Snapshot, Outcome: outcome.Done,
		Rows: []query.Row{{Service: "s", Shard: shard, Key: "k", Value: "v", Score: 2}}, TotalRows: 5, Attempts: 1,
	}
}

func answerAll(_ context.Context, b query.Batch, emit func(query.ShardResult)) error {
	for _, shard := range b.Parts[0].Shards {
		emit(result(b, shard))
	}
	return nil
}

func batch() query.Batch {
	return query.Batch{RequestID: "r1", Workload: "w", Snapshot: 7, Urgency: query.Deferrable, Text: "q",
		Limit: 3, Budget: 10 * time.Second, Parts: []query.ServiceShards{{Service: "s", Shards: []uint32{0, 1, 2}}}}
}

// testPair is a client and its server, connected over loopback.
type testPair struct {
	client *Client
	cut    func() // closes the listener and all connections of the server
}

// cuttableListener can close the connections that it accepted.
type cuttableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *cuttableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, err
}

func (l *cuttableListener) cut() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

// newTestPair serves impl over loopback and returns a client of it.
func newTestPair(t *testing.T, impl peerpb.DRPCRelayServer) *testPair {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ln, mux, pool := &cuttableListener{Listener: inner}, drpcmux.New(), peer.NewPool()
	is.NoErr(peerpb.DRPCRegisterRelay(mux, impl))
	var serving sync.WaitGroup
	serving.Go(func() { _ = drpcserver.New(mux).Serve(context.Background(), ln) })
	t.Cleanup(func() { _ = pool.Stop(context.Background()); ln.cut(); serving.Wait() })
	return &testPair{client: NewClient(pool, inner.Addr().String(), "h0"), cut: ln.cut}
}

func collect(c *Client, ctx context.Context, b query.Batch) ([]query.ShardResult, error) {
	var out []query.ShardResult
	err := c.Search(ctx, b, func(r query.ShardResult) { out = append(out, r) })
	return out, err
}

func TestSearchRoundTrip(t *testing.T) {
	is := is.New(t)
	var seen query.Batch
	pair := newTestPair(t, NewServer(&stub{search: func(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
		seen = b
		return answerAll(ctx, b, emit)
	}}, nil))
	want := batch()
	got, err := collect(pair.client, t.Context(), want)
	is.NoErr(err)
	is.Equal(len(got), 3)
	is.Equal(got[1], result(want, 1))
	is.True(seen.Budget < want.Budget && seen.Budget > want.Budget/2)
	seen.Budget = want.Budget
	is.Equal(seen, want)
}

// scriptedServer responds with the results and the reply that a test sets.
type scriptedServer struct {
	peerpb.DRPCRelayUnimplementedServer
	results []*peerpb.ShardResult
	reply   *peerpb.ReserveReply
}

func (f *scriptedServer) Search(_ *peerpb.Batch, s peerpb.DRPCRelay_SearchStream) error {
	for _, r := range f.results {
		if err := s.Send(r); err != nil {
			return err
		}
	}
	return nil
}

func (f *scriptedServer) Reserve(context.Context, *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return f.reply, nil
}

func TestSearchTakesNoForeignResult(t *testing.T) {
	good := func(shard uint32) *peerpb.ShardResult {
		return &peerpb.ShardResult{RequestId: "r1", Service: "s", Shard: shard, Snapshot: 7, Outcome: 4}
	}
	change := func(f func(*peerpb.ShardResult)) *peerpb.ShardResult {
		r := good(1)
		f(r)
		return r
	}
	for name, second := range map[string]*peerpb.ShardResult{
		"other request":  change(func(r *peerpb.ShardResult) { r.RequestId = "r2" }),
		"other snapshot": change(func(r *peerpb.ShardResult) { r.Snapshot = 8 }),
		"other service":  change(func(r *peerpb.ShardResult) { r.Service = "x" }),
		"shard twice":    good(0),
		"not requested":  good(9),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTestPair(t, &scriptedServer{results: []*peerpb.ShardResult{good(0), second, good(2)}})
			got, err := collect(r.client, t.Context(), batch())
			is.True(err != nil)
			is.Equal(len(got), 1)
		})
	}
	t.Run("early end", func(t *testing.T) {
		is := is.New(t)
		r := newTestPair(t, &scriptedServer{results: []*peerpb.ShardResult{good(0), good(2)}})
		got, err := collect(r.client, t.Context(), batch())
		is.True(err != nil)
		is.Equal(len(got), 2)
	})
}

func TestSearchRelayLostInMidAnswer(t *testing.T) {
	is := is.New(t)
	lost := make(chan struct{})
	r := newTestPair(t, NewServer(&stub{search: func(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
		emit(result(b, 2))
		<-ctx.Done()
		close(lost)
		return ctx.Err()
	}}, nil))
	var got []query.ShardResult
	err := r.client.Search(t.Context(), batch(), func(x query.ShardResult) {
		got = append(got, x)
		go r.cut()
	})
	<-lost
	is.True(err != nil)
	is.True(!peer.NotRun(err))
	is.Equal(len(got), 1)
}

func TestSearchCancelReachesTheRelay(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	r := newTestPair(t, NewServer(&stub{search: func(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
		emit(result(b, 0))
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	}}, nil))
	ctx, cancel := context.WithCancel(t.Context())
	err := r.client.Search(ctx, batch(), func(query.ShardResult) { cancel() })
	is.True(errors.Is(err, context.Canceled))
	<-ended
}

func TestReserveOutcomes(t *testing.T) {
	request := query.ReserveRequest{RequestID: "r1", ReservationID: "v1", Service: "s", Item: "i", Budget: 10 * time.Second}
	done := query.Reservation{RequestID: "r1", ReservationID: "v1", Outcome: outcome.Done, Granted: true, Answer: "kept", Target: "t1"}

	t.Run("answered", func(t *testing.T) {
		is := is.New(t)
		r := newTestPair(t, NewServer(nil, &stub{reserve: func(context.Context, query.ReserveRequest) query.Reservation { return done }}))
		is.Equal(r.client.Reserve(t.Context(), request), done)
	})
	t.Run("nobody listens", func(t *testing.T) {
		is := is.New(t)
		r := newTestPair(t, &scriptedServer{})
		r.cut()
		is.Equal(r.client.Reserve(t.Context(), request).Outcome, outcome.NotSent)
	})
	t.Run("budget over", func(t *testing.T) {
		is := is.New(t)
		late := request
		late.Budget = 0
		r := newTestPair(t, &scriptedServer{})
		is.Equal(r.client.Reserve(t.Context(), late).Outcome, outcome.NotSent)
	})
	t.Run("call lost", func(t *testing.T) {
		is := is.New(t)
		var r *testPair
		r = newTestPair(t, NewServer(nil, &stub{reserve: func(ctx context.Context, _ query.ReserveRequest) query.Reservation {
			go r.cut()
			<-ctx.Done()
			return done
		}}))
		is.Equal(r.client.Reserve(t.Context(), request).Outcome, outcome.Unknown)
	})
	t.Run("foreign reply", func(t *testing.T) {
		is := is.New(t)
		r := newTestPair(t, &scriptedServer{reply: &peerpb.ReserveReply{RequestId: "r1", ReservationId: "v2", Outcome: 4}})
		is.Equal(r.client.Reserve(t.Context(), request).Outcome, outcome.Unknown)
	})
}

func TestDrainRefusesNewWorkAndLetsRunningWorkEnd(t *testing.T) {
	is := is.New(t)
	begun, finish := make(chan struct{}), make(chan struct{})
	s := NewServer(&stub{search: func(ctx context.Context, b query.Batch, emit func(query.ShardResult)) error {
		close(begun)
		<-finish
		return answerAll(ctx, b, emit)
	}}, &stub{})
	r := newTestPair(t, s)
	type end struct {
		got []query.ShardResult
		err error
	}
	ended := make(chan end)
	go func() {
		got, err := collect(r.client, context.Background(), batch())
		ended <- end{got, err}
	}()
	<-begun
	s.Drain()
	refused, err := collect(r.client, t.Context(), batch())
	is.NoErr(err)
	is.Equal(len(refused), 3)
	for _, x := range refused {
		is.Equal(x.Outcome, outcome.NotSent)
		is.Equal(x.Reason, query.ReasonDraining)
		is.True(x.RetryAfter > 0)
	}
	reply := r.client.Reserve(t.Context(), query.ReserveRequest{RequestID: "r2", ReservationID: "v", Budget: 10 * time.Second})
	is.Equal(reply.Outcome, outcome.NotSent)
	is.Equal(reply.Reason, query.ReasonDraining)
	close(finish)
	e := <-ended
	is.NoErr(e.err)
	is.Equal(len(e.got), 3)
	is.NoErr(s.Wait(t.Context()))
}

func TestWaitReturnsWhenTheLastWorkHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewServer(nil, nil)
		is.True(s.begin())
		is.True(s.begin())
		returned := false
		go func() {
			is.NoErr(s.Wait(context.Background()))
			returned = true
		}()
		s.end()
		s.Drain()
		s.Drain()
		synctest.Wait()
		is.True(!returned)
		is.Equal(s.Running(), 1)
		s.end()
		synctest.Wait()
		is.True(returned)
	})
}
