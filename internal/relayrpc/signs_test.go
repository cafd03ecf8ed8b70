package relayrpc

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/relay"
)

type signChannel chan []relay.TargetSign

func (l signChannel) ReceiveSigns(signs []relay.TargetSign) { l <- signs }

func TestSignsTravelWhole(t *testing.T) {
	is := is.New(t)
	got, mux, pool := make(signChannel, 1), drpcmux.New(), peer.NewPool()
	is.NoErr(RegisterSigns(mux, got))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() { defer close(served); _ = drpcserver.New(mux).Serve(ctx, ln) }()
	defer func() { _ = pool.Stop(ctx); cancel(); <-served }()
	want := []relay.TargetSign{{Service: "s", Target: "t0", Incarnation: 7, Sign: "host_list"}, {Service: "s", Target: "t1"}}
	to := member.Host{ID: "h1", PeerAddress: ln.Addr().String()}
	is.NoErr(NewSignSender(pool).SendSigns(ctx, to, want))
	is.Equal(<-got, want)
	_ = ln.Close()
	is.True(NewSignSender(pool).SendSigns(ctx, member.Host{PeerAddress: "127.0.0.1:1"}, want) != nil)
}
