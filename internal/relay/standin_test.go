package relay

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	standintarget "rhubarbwood.example/rhubarbwood/internal/standin/target"
)

// faultyTargets serves stand-in targets with random fault rates over loopback.
func faultyTargets(t *rapid.T, n int) (targets []*standintarget.Target, addresses []string, stop func()) {
	var servers []*standintarget.Server
	var work sync.WaitGroup
	share := rapid.Float64Range(0, 0.25)
	for i := range n {
		c := benchConfig(i)
		c.ServiceTime, c.Seed = standin.Latency{}, uint64(rapid.IntRange(1, 1<<20).Draw(t, "seed"))
		c.Faults = standintarget.Faults{
			Shed: share.Draw(t, "shed"), Fail: share.Draw(t, "fail"), CutBefore: share.Draw(t, "cut_before"),
			Cut: share.Draw(t, "cut"), Crossed: share.Draw(t, "crossed"), Truncate: share.Draw(t, "truncate"),
			ShortJSON: share.Draw(t, "short_json"), ShortRows: share.Draw(t, "short_rows"),
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		target := standintarget.New(c)
		server := standintarget.NewServer(target)
		work.Go(func() { _ = server.Serve(ln) })
		targets, servers = append(targets, target), append(servers, server)
		addresses = append(addresses, ln.Addr().String())
	}
	return targets, addresses, func() {
		for _, s := range servers {
			_ = s.Shutdown(context.Background())
		}
		work.Wait()
	}
}

// Whatever the faults, over both protocols: a reservation is executed at most
// once; one reported as not run has no execution and one reported as done has
// exactly one; the answer to a search has the rows of that shard and snapshot.
func TestOutcomesAreTrueUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets, addresses, stop := faultyTargets(t, 3)
		defer stop()
		protocol := rapid.SampledFrom([]string{protocolHTTP1, protocolH2C}).Draw(t, "protocol")
		f := benchRelay(addresses, 2, func(r *catalog.Rules) { r.Protocol, r.RetryBudget = protocol, 1 })
		defer func() { _ = f.relay.Stop(context.Background()); f.relay.pool("s").close() }()
		for i := range 12 {
			checkReservation(t, f, targets, i)
		}
		checkSearch(t, f)
	})
}

func checkReservation(t *rapid.T, f *fixture, targets []*standintarget.Target, i int) {
	q := query.ReserveRequest{RequestID: "q" + strconv.Itoa(i), ReservationID: fmt.Sprintf("v%d", i), Service: "s",
		Item: strconv.Itoa(i), Budget: 10 * time.Second}
	target, refusal := f.relay.Pick(q, nil)
	if refusal != nil {
		return
	}
	got := f.relay.Send(context.Background(), q, target, "a"+strconv.Itoa(i))
	executions := 0
	for _, x := range targets {
		for _, e := range x.Executions() {
			if e.ReservationID == q.ReservationID {
				executions++
			}
		}
	}
	if executions > 1 || (got.Outcome.NotRun() && executions != 0) || (got.Outcome == outcome.Done && executions != 1) {
		t.Fatalf("outcome %s for a reservation that was executed %d times: %+v", got.Outcome, executions, got)
	}
}

func checkSearch(t *rapid.T, f *fixture) {
	got, err := f.search(context.Background(), batch(30, 10*time.Second))
	if err != nil || len(got) != 30 {
		t.Fatalf("got %d results, want 30: %v", len(got), err)
	}
	for shard, r := range got {
		if r.Outcome != outcome.Done {
			continue
		}
		want := standintarget.Rows("s", shard, 7, benchRows, "")
		if len(r.Rows) != len(want) {
			t.Fatalf("shard %d: got %d rows, want %d", shard, len(r.Rows), len(want))
		}
		for i, x := range r.Rows {
			if x.Key != want[i].Key || x.Value != want[i].Value || x.Shard != shard || x.Service != "s" {
				t.Fatalf("shard %d: got row %+v, want %+v", shard, x, want[i])
			}
		}
	}
}

// A settlement is accepted only for the requested attempt. An attempt settled
// as never run is rejected from then on.
func TestSettle(t *testing.T) {
	is := is.New(t)
	c := benchConfig(0)
	c.Settles, c.ServiceTime = true, standin.Latency{}
	c.Faults = standintarget.Faults{Cut: 1}
	target := standintarget.New(c)
	server := standintarget.NewServer(target)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var work sync.WaitGroup
	work.Go(func() { _ = server.Serve(ln) })
	defer func() { _ = server.Shutdown(context.Background()); work.Wait() }()
	f := benchRelay([]string{ln.Addr().String()}, 2, func(r *catalog.Rules) { r.Settle = true })
	defer func() { f.relay.pool("s").close() }()
	is.Equal(f.relay.Send(t.Context(), reserve(time.Minute), "t0", "ran").Outcome, outcome.Unknown)
	got, err := f.relay.Settle(t.Context(), "s", "t0", "ran")
	is.NoErr(err)
	is.True(got.Ran)
	target.SetFaults(standintarget.Faults{})
	got, err = f.relay.Settle(t.Context(), "s", "t0", "never")
	is.NoErr(err)
	is.True(!got.Ran)
	late := f.relay.Send(t.Context(), query.ReserveRequest{RequestID: "r2", ReservationID: "v2", Service: "s", Item: "j",
		Budget: time.Minute}, "t0", "never")
	is.Equal(late.Outcome, outcome.Rejected)
	is.Equal(late.Reason, query.ReasonUnsettled)
	_, err = f.relay.Settle(t.Context(), "s", "t9", "ran")
	is.True(err != nil)
	f.view.change(func(s *catalog.Service) { s.Rules.Settle = false })
	_, err = f.relay.Settle(t.Context(), "s", "t0", "ran")
	is.True(err != nil)
}
