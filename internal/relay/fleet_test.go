package relay

import (
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// withRelays returns f and n-1 relays on other hosts for the same targets.
func (f *fixture) withRelays(n int) []*fixture {
	all := []*fixture{f}
	for i := 1; i < n; i++ {
		g := &fixture{view: f.view, targets: f.targets, members: &members{self: "h" + strconv.Itoa(i)}}
		g.relay = New(f.relay.cfg, g.view, g.members, nil, f.relay.log, nil)
		g.relay.dial = g.dial
		all = append(all, g)
	}
	return all
}

// Hosts join and leave, every host observes it at a different time, and hosts
// with an old view send requests to hosts that are no longer relays. The
// connections of each target must stay within its limit throughout.
func TestConnectionsStayBelowTheLimitWhileMembershipChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit, hosts, members = 25, 16, 12
		f := newFixture(8, 3, func(f *fixture, _ *Config) {
			for i := range f.view.service.Targets {
				f.view.service.Targets[i].Slots = 50 // so that the connections limit the attempts
			}
		})
		all := f.withRelays(hosts)
		for i, g := range all {
			g.members.set(hostIDs(0, members)...)
			is.NoErr(g.relay.Start(t.Context()))
			if i == 0 {
				continue
			}
			defer func() { _ = g.relay.Stop(t.Context()) }()
		}
		defer f.close()
		var work sync.WaitGroup
		end := time.Now().Add(10 * time.Second)
		for _, g := range all {
			work.Go(func() {
				for time.Now().Before(end) {
					if g.relay.Assigned("s") {
						_, _ = g.search(t.Context(), batch(8, time.Second))
					}
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
		for first := 1; first <= hosts-members; first++ {
			time.Sleep(2 * time.Second)
			for i, g := range all {
				time.AfterFunc(time.Duration(i)*100*time.Millisecond, func() { g.members.set(hostIDs(first, members)...) })
			}
		}
		work.Wait()
		maxOpen := 0
		for _, target := range f.targets {
			maxOpen = max(maxOpen, target.maxOpen)
		}
		is.True(maxOpen >= 20) // two connections from each of ten relays
		is.True(maxOpen <= limit)
	})
}

func hostIDs(first, n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = "h" + strconv.Itoa(first+i)
	}
	return ids
}

func TestForeignServiceIsServedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(4, 2, rules(func(r *catalog.Rules) { r.Relays = 1 }))
		defer f.close()
		f.members.set("h0")
		is.True(f.relay.Assigned("s"))
		f.members.self = "h9" // not a member
		f.members.set("h0")
		is.True(!f.relay.Assigned("s"))
		got, err := f.search(t.Context(), batch(4, time.Second))
		is.NoErr(err)
		is.Equal(got[3].Outcome, outcome.Done)
		is.Equal(testutil.ToFloat64(f.relay.metrics.foreignRequests.WithLabelValues("s")), 1.0)
		for _, target := range f.targets {
			is.True(target.maxOpen <= 1)
		}
		is.Equal(f.relay.Load("s"), 0.0)
	})
}

func TestHostListIsReadByFewHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(1, 1)
		defer f.close()
		all := f.withRelays(40)
		lists := make([]*hostList, len(all))
		for i, g := range all {
			g.members.set(hostIDs(0, 40)...)
			lists[i] = &hostList{}
			g.relay.hosts = lists[i]
			is.NoErr(g.relay.Start(t.Context()))
		}
		time.Sleep(15 * time.Second)
		for _, g := range all[1:] {
			is.NoErr(g.relay.Stop(t.Context()))
		}
		calls := 0
		for _, l := range lists {
			calls += l.calls
		}
		is.True(calls >= 12*9 && calls <= 12*12) // 12 readers for 15 s at an interval of 1.5 s with jitter
	})
}
