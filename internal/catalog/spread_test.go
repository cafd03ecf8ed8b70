package catalog

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/clock"
	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
	"rhubarbwood.example/rhubarbwood/internal/revision"
)

const (
	maxPropagationTime = 4 * time.Second  // from the write of a change until it is in force on all hosts
	settleTime         = 10 * time.Second // after which a fleet has adapted to a start, a fault or its repair
)

// countInForce returns the number of hosts that have the revision or a newer one.
func (f *fleet) countInForce(revision uint64) int {
	on := 0
	for _, n := range f.allNodes() {
		if n.catalog.Revision() >= revision {
			on++
		}
	}
	return on
}

// countStale returns the number of stale hosts, which refuse callers.
func (f *fleet) countStale() int {
	stale := 0
	for _, n := range f.allNodes() {
		if n.catalog.Stale() {
			stale++
		}
	}
	return stale
}

// inFleet runs a test on a fleet in which one service is in force on all hosts.
func inFleet(t *testing.T, hosts, domains int, test func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.write(testService("a"))
		f.addAll(hosts, domains)
		defer f.stop()
		f.advance(settleTime)
		is := is.New(t)
		is.Equal(f.countInForce(1), hosts)
		is.Equal(f.countStale(), 0)
		test(is, f)
	})
}

func TestChangeIsInForceEverywhereWithinSeconds(t *testing.T) {
	for _, size := range []struct{ hosts, domains int }{{1, 1}, {12, 3}, {60, 5}} {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			inFleet(t, size.hosts, size.domains, func(is *is.I, f *fleet) {
				for range 5 {
					revision := f.write(testService("a"))
					f.advance(maxPropagationTime)
					is.Equal(f.countInForce(revision), size.hosts)
				}
			})
		})
	}
}

// TestFewHostsWatch counts the calls that 60 hosts make in a minute without
// changes, and checks that other hosts take over when the watchers of a failure
// domain can't reach the platform.
func TestFewHostsWatch(t *testing.T) {
	inFleet(t, 60, 5, func(is *is.I, f *fleet) {
		before := f.platform.Calls("watch")
		f.advance(time.Minute)
		watches := f.platform.Calls("watch") - before
		perWatcher := int(time.Minute / DefaultConfig().WatchWait.Std())
		is.True(watches <= 10*(perWatcher+1))
		is.True(watches >= 10*(perWatcher-1))
		is.True(f.platform.Calls("list") <= 10) // although all hosts started at the same time

		for _, n := range f.allNodes() {
			if watchRank(n.host, n.Hosts()) < DefaultConfig().WatchersPerDomain {
				n.client.SetDown(true) // the watchers still reach their peers
			}
		}
		f.advance(2 * DefaultConfig().TakeoverAfter.Std())
		for range 10 { // others take over and continue to watch
			revision := f.write(testService("a"))
			f.advance(maxPropagationTime)
			is.Equal(f.countInForce(revision), 60)
		}
	})
}

// TestEmptyPlatformIsListedSeldom starts a fleet before the first service is
// written. Without a revision to watch from, hosts have to list again and again.
func TestEmptyPlatformIsListedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		f.addAll(12, 3)
		defer f.stop()
		f.advance(time.Minute)
		is.Equal(f.countStale(), 0)
		is.True(f.platform.Calls("list") <= 12*60)
		revision := f.write(testService("a"))
		f.advance(maxPropagationTime)
		is.Equal(f.countInForce(revision), 12)
	})
}

func TestOutageOfThePlatform(t *testing.T) {
	inFleet(t, 12, 3, func(is *is.I, f *fleet) {
		cut := f.nodes[3]
		cut.client.SetDown(true) // it still reaches its peers
		revision := f.write(testService("b"))
		f.advance(maxPropagationTime)
		is.Equal(f.countInForce(revision), 12)

		f.platform.SetDown(true)
		f.advance(5 * time.Minute)
		is.Equal(f.countStale(), 0) // the peers confirm each other
		started := f.add("host-12", "domain-0")
		f.advance(maxPropagationTime)
		is.Equal(started.catalog.Revision(), revision)
		is.True(!started.catalog.Stale())
		_, ok := started.catalog.Service("b")
		is.True(ok)

		f.platform.SetDown(false)
		f.platform.Compact()
		revision = f.write(testService("c"))
		f.advance(maxPropagationTime)
		is.Equal(f.countInForce(revision), 13)
	})
}

// TestInForceQueriesHostsWithoutReportedRevision has a membership that reports
// no revisions: the hosts are queried directly, and one that is disconnected is
// reported as missing.
func TestInForceQueriesHostsWithoutReportedRevision(t *testing.T) {
	inFleet(t, 12, 3, func(is *is.I, f *fleet) {
		f.omitRevisions = true
		revision := f.write(testService("a"))
		f.advance(maxPropagationTime)
		is.Equal(f.nodes[0].catalog.InForce(context.Background(), revision).InForceCount, 12)
		f.isolate(f.nodes[5].host.ID)
		is.Equal(f.nodes[0].catalog.InForce(context.Background(), revision).Missing, []string{f.nodes[5].host.ID})
	})
}

// TestHostThatWasSuspendedIsStaleAndRecovers suspends a machine for longer than
// StaleAfter. The host is stale immediately, and fresh again after the response
// to a request that it sent after it resumed.
func TestHostThatWasSuspendedIsStaleAndRecovers(t *testing.T) {
	inFleet(t, 12, 3, func(is *is.I, f *fleet) {
		machine, suspend := clock.NewVirtual()
		f.hostClock = machine
		resumed := f.add("host-12", "domain-0")
		f.hostClock = nil
		f.advance(maxPropagationTime)
		is.True(!resumed.catalog.Stale())
		suspend(DefaultConfig().StaleAfter.Std() + time.Millisecond)
		is.True(resumed.catalog.Stale())
		is.Equal(f.countStale(), 1)
		f.advance(2 * DefaultConfig().PullInterval.Std())
		is.Equal(f.countStale(), 0)
	})
}

func TestHostCutOffFromAllIsStaleAndRecovers(t *testing.T) {
	inFleet(t, 12, 3, func(is *is.I, f *fleet) {
		alone := f.nodes[5]
		f.isolate(alone.host.ID)
		alone.client.SetDown(true)
		revision := f.write(testService("a"))
		f.advance(DefaultConfig().StaleAfter.Std() + time.Millisecond)
		is.True(alone.catalog.Stale())
		is.Equal(f.countStale(), 1)
		is.Equal(f.countInForce(revision), 11)
		report := f.nodes[0].catalog.InForce(context.Background(), revision)
		is.Equal(report.HostCount, 12)
		is.Equal(report.InForceCount, 11)
		is.Equal(report.Missing, []string{alone.host.ID})
		is.True(report.Revisions[alone.host.ID] < revision)

		alone.client.SetDown(false) // access to the platform alone is sufficient
		f.advance(maxPropagationTime)
		is.True(!alone.catalog.Stale())
		is.Equal(f.countInForce(revision), 12)
	})
}

// TestNetworkFailureDuringOutage takes the platform down and disconnects every
// host from every other. All become stale. Once more than half of them are
// connected again they recover without the platform; a minority does not.
func TestNetworkFailureDuringOutage(t *testing.T) {
	inFleet(t, 9, 3, func(is *is.I, f *fleet) {
		f.platform.SetDown(true)
		f.isolateAll()
		f.advance(settleTime)
		is.Equal(f.countStale(), 9)

		few := []string{f.nodes[0].host.ID, f.nodes[4].host.ID}
		f.mu.Lock()
		f.disconnected = func(a, b string) bool { return a != few[0] && a != few[1] || b != few[0] && b != few[1] }
		f.mu.Unlock()
		f.advance(settleTime)
		is.Equal(f.countStale(), 9)

		f.isolate(few...)
		f.advance(settleTime)
		is.Equal(f.countStale(), 2) // the minority

		f.reconnect()
		f.advance(settleTime)
		is.Equal(f.countStale(), 0)
	})
}

// delayed returns responses as if the host had been stopped for an hour after
// they were sent.
type delayed struct {
	Puller
	objstore.Store
}

func (s delayed) Pull(ctx context.Context, address string, in *peerpb.PullRequest) (*peerpb.PullReply, error) {
	out, err := s.Puller.Pull(ctx, address, in)
	time.Sleep(time.Hour)
	return out, err
}

func (s delayed) Watch(ctx context.Context, after revision.Revision, wait time.Duration, kinds ...string) (objstore.Listing, error) {
	l, err := s.Store.Watch(ctx, after, wait, kinds...)
	time.Sleep(time.Hour)
	return l, err
}

// TestWokenHostIsStaleUntilItHears stops a host while responses are in transit.
// Responses that it reads from its sockets when it resumes belong to old requests
// and must not make it fresh.
func TestWokenHostIsStaleUntilItHears(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		n, peer := f.nodes[0], f.nodes[1]
		ctx := f.t.Context()
		is.NoErr(n.catalog.Stop(ctx)) // stops its loops, so that the calls below are its only ones
		n.catalog.pull(ctx, peer.host)
		is.True(!n.catalog.Stale())

		n.catalog.puller = delayed{Puller: n}
		n.catalog.pull(ctx, peer.host)
		is.True(n.catalog.Stale())

		n.catalog.store = delayed{Store: n.client}
		is.NoErr(n.catalog.follow(ctx))
		is.True(n.catalog.Stale())

		n.catalog.puller = n
		revision := f.write(testService("a"))
		f.advance(maxPropagationTime)
		n.catalog.pull(ctx, peer.host)
		is.True(!n.catalog.Stale())
		is.Equal(n.catalog.Revision(), revision)
	})
}

// TestPlatformThatWentBack restores an empty platform under a running fleet: no
// host may return to an older revision.
func TestPlatformThatWentBack(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		revision := f.write(testService("b"))
		f.advance(maxPropagationTime)
		f.platform.Reset()
		f.write(testService("a"))
		f.advance(settleTime)
		is.Equal(f.countInForce(revision), 3) // checkRevisions has seen no decrease
	})
}

// TestChangeAfterThePlatformWentBackIsInForce makes changes after the platform was restored from an older copy. They must be
// in force on every host, whether their revision numbers are below, at, or above those that the hosts have.
func TestChangeAfterThePlatformWentBackIsInForce(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		f.write(testService("b"))
		f.advance(maxPropagationTime)
		older := f.platform.Backup()
		for _, name := range []string{"c", "d", "e"} {
			f.write(testService(name))
		}
		f.advance(maxPropagationTime)
		f.platform.Restore(older)
		for i := range 6 {
			f.write(testService(fmt.Sprintf("new%d", i)))
			f.advance(maxPropagationTime)
			for _, n := range f.nodes {
				_, known := n.catalog.Service(fmt.Sprintf("new%d", i))
				is.True(known)
			}
		}
	})
}

// TestAcceptedChangesOutliveAnOlderCopy restores a copy that lacks accepted changes. They must stay in force and be written
// again, so that a host that starts later and reads only the platform receives them.
func TestAcceptedChangesOutliveAnOlderCopy(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		operator := NewEditor(f.nodes[0].catalog)
		created, altered := testService("created"), testService("a")
		older := f.platform.Backup() // in this copy service a was not written by a change
		is.Equal(operator.Change(f.t.Context(), Request{Verb: Create, Service: created}).Status, Accepted)
		for version := range uint64(3) {
			altered.Targets[0].Slots++
			r := operator.Change(f.t.Context(), Request{Verb: Alter, Service: altered, Version: 1 + version})
			is.Equal(r.Status, Accepted)
		}
		f.advance(maxPropagationTime)
		f.platform.Restore(older)
		f.advance(200 * time.Millisecond)
		f.platform.Restore(older) // a second restore, before or after the changes were written again
		f.advance(maxPropagationTime)
		f.add("starts", "domain-0")
		f.advance(settleTime)
		for _, n := range f.nodes {
			_, known := n.catalog.Service("created")
			is.True(known)
			now, _ := n.catalog.Service("a")
			is.Equal(now.Targets[0].Slots, altered.Targets[0].Slots)
		}
		is.Equal(len(f.platform.Objects(objstore.KindService)), 2)
	})
}

// TestChangeOfTheOlderCopyStands makes a change after a restore, before a lost change is written again. The new change must
// stay in force, since it was made on the state that the platform had.
func TestChangeOfTheOlderCopyStands(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		lost, made := testService("a"), testService("a")
		lost.Targets[0].Slots, made.Targets[0].Slots = 7, 9
		operator := f.newOperator(is)
		older := f.platform.Backup()
		is.Equal(operator.Change(f.t.Context(), Request{Verb: Alter, Service: lost, Version: 2}).Status, Accepted)
		f.advance(maxPropagationTime)
		f.connectPlatform(false)
		f.isolateAll()
		f.platform.Restore(older)
		unaware := f.add("unaware", "domain-0") // it never received the lost change
		f.advance(maxPropagationTime)
		is.Equal(NewEditor(unaware.catalog).Change(f.t.Context(), Request{Verb: Alter, Service: made, Version: 2}).Status, Accepted)
		f.connectPlatform(true)
		f.reconnect()
		f.advance(settleTime)
		is.Equal(f.targetSlots(is, "a"), made.Targets[0].Slots)
	})
}

// TestChangeThatRacesALostOneIsToldTruly makes a change while a lost one is being written again. The operator's result must
// agree with the change that is in force in the end.
func TestChangeThatRacesALostOneIsToldTruly(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		lost, made := testService("a"), testService("a")
		lost.Targets[0].Slots, made.Targets[0].Slots = 7, 9
		operator := f.newOperator(is)
		older := f.platform.Backup()
		is.Equal(operator.Change(f.t.Context(), Request{Verb: Alter, Service: lost, Version: 2}).Status, Accepted)
		f.advance(maxPropagationTime)
		f.platform.Restore(older)
		result := operator.Change(f.t.Context(), Request{Verb: Alter, Service: made, Version: 2})
		f.advance(settleTime)
		switch result.Status {
		case Accepted:
			is.Equal(f.targetSlots(is, "a"), made.Targets[0].Slots)
		case Refused:
			is.Equal(f.targetSlots(is, "a"), lost.Targets[0].Slots)
		default:
			f.t.Fatalf("unexpected result: %v", result)
		}
	})
}

// connectPlatform connects all hosts to the platform, or disconnects them.
func (f *fleet) connectPlatform(connected bool) {
	for _, n := range f.allNodes() {
		n.client.SetDown(!connected)
	}
}

// targetSlots returns the slots of the service's first target, which must be the same on all hosts.
func (f *fleet) targetSlots(is *is.I, service string) int {
	first, _ := f.nodes[0].catalog.Service(service)
	for _, n := range f.allNodes() {
		s, known := n.catalog.Service(service)
		is.True(known)
		is.Equal(s.Targets[0].Slots, first.Targets[0].Slots)
	}
	return first.Targets[0].Slots
}

// newOperator returns an editor on the first host, after a first change of service a.
func (f *fleet) newOperator(is *is.I) *Editor {
	e := NewEditor(f.nodes[0].catalog)
	is.Equal(e.Change(f.t.Context(), Request{Verb: Alter, Service: testService("a"), Version: 1}).Status, Accepted)
	f.advance(maxPropagationTime)
	return e
}

// TestPullOverDRPC pulls over a real connection.
func TestPullOverDRPC(t *testing.T) {
	is := is.New(t)
	n := &node{fleet: newFleet(t), host: member.Host{ID: "asking"}}
	from := New(DefaultConfig(), n.fleet.platform.Client(), n, n, n, event.Discard(), nil)
	n.catalog = from
	is.NoErr(from.applyBatch(batch{complete: 7, revision: 5}, sourcePlatform))
	server, pool := peer.NewServer("127.0.0.1:0"), peer.NewPool()
	is.NoErr(peerpb.DRPCRegisterConfiguration(server, from))
	is.NoErr(server.Start(t.Context()))
	defer func() { _ = errors.Join(pool.Stop(context.Background()), server.Stop(context.Background())) }()

	puller := New(DefaultConfig(), n.fleet.platform.Client(), n, NewPeerPuller(pool), n, event.Discard(), nil)
	puller.pull(t.Context(), member.Host{ID: "answering", PeerAddress: server.Addr()})
	is.Equal(puller.Revision(), uint64(5))
	is.True(puller.Stale()) // the responding host is stale itself
}

func TestStalePeerWithoutConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFreshness(time.Second)
	start := time.Now()
	f.confirm(start, 2)
	later := start.Add(time.Minute)
	c := &Catalog{freshness: f, metrics: newMetrics(nil), log: event.Discard()}
	c.recordPeerAnswer(member.Host{ID: "a"}, later, &peerpb.PullReply{Stale: true})
	is.True(f.stale(later))
	c.recordPeerAnswer(member.Host{ID: "a"}, later, &peerpb.PullReply{Stale: true, Complete: 1})
	is.True(!f.stale(later))
}
