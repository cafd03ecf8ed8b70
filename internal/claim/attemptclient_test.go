package claim

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// One host queries another over a real connection.
func TestQueryAttemptOverPeers(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	defer f.end()
	c := f.hosts[0].claims
	srv := peer.NewServer("127.0.0.1:0")
	is.NoErr(peerpb.DRPCRegisterClaims(srv, c))
	is.NoErr(srv.Start(t.Context()))
	defer func() { _ = srv.Stop(context.Background()) }()
	pool := peer.NewPool()
	defer func() { _ = pool.Stop(context.Background()) }()
	asker := NewPeerAttemptClient(pool)
	to := member.Host{ID: "a", PeerAddress: srv.Addr()}

	id := mustID(newID(time.Now())).String()
	a := c.mem.add(id, Record{Attempt: "attempt"})
	st, err := asker.QueryAttempt(t.Context(), to, id, "other")
	is.NoErr(err)
	is.Equal(st, AttemptState{})
	st, err = asker.QueryAttempt(t.Context(), to, newID(time.Now()), "attempt")
	is.NoErr(err)
	is.Equal(st, AttemptState{}) // the attempt of another reservation

	spent, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	st, err = asker.QueryAttempt(spent, to, id, "attempt")
	is.True(err != nil || (st.Known && !st.Ended)) // the budget ended first, on the client or on the server

	reply := unsettled(time.Second)
	reply.Outcome, reply.Granted, reply.Answer, reply.Target = outcome.Done, true, "yours", "t0"
	c.mem.markEnded(a, reply)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	st, err = asker.QueryAttempt(ctx, to, id, "attempt")
	is.NoErr(err)
	is.Equal(st, AttemptState{Known: true, Ended: true, Reply: reply})
}
