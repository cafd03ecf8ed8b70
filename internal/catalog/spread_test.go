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
	spreadBound = 4 * time.Second // in which an accepted change is in force everywhere
	settled     = 10 * time.Second
)

// inForce returns how many hosts have the revision.
func (f *fleet) inForce(revision uint64) int {
	on := 0
	for _, n := range f.all() {
		if n.catalog.Revision() >= revision {
			on++
		}
	}
	return on
}

// stale returns how many hosts refuse callers.
func (f *fleet) stale() int {
	stale := 0
	for _, n := range f.all() {
		if n.catalog.Stale() {
			stale++
		}
	}
	return stale
}

// inFleet runs a test over a fleet that has settled on one service.
func inFleet(t *testing.T, hosts, domains int, test func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.write(testService("a"))
		f.addAll(hosts, domains)
		defer f.stop()
		f.pass(settled)
		is := is.New(t)
		is.Equal(f.inForce(1), hosts)
		is.Equal(f.stale(), 0)
		test(is, f)
	})
}

func TestChangeIsInForceEverywhereWithinSeconds(t *testing.T) {
	for _, size := range []struct{ hosts, domains int }{{1, 1}, {12, 3}, {60, 5}} {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			inFleet(t, size.hosts, size.domains, func(is *is.I, f *fleet) {
				for range 5 {
					revision := f.write(testService("a"))
					f.pass(spreadBound)
					is.Equal(f.inForce(revision), size.hosts)
				}
			})
		})
	}
}

// TestFewHostsWatch counts the calls that 60 hosts make in a minute of quiet,
// and which hosts take over when the watchers of a failure domain are gone.
func TestFewHostsWatch(t *testing.T) {
	inFleet(t, 60, 5, func(is *is.I, f *fleet) {
		before := f.platform.Calls("watch")
		f.pass(time.Minute)
		watches := f.platform.Calls("watch") - before
		perWatcher := int(time.Minute / DefaultConfig().WatchWait.Std())
		is.True(watches <= 10*(perWatcher+1))
		is.True(watches >= 10*(perWatcher-1))
		is.True(f.platform.Calls("list") <= 10) // of a fleet that started at once

		for _, n := range f.all() {
			if watchRank(n.host, n.Hosts()) < DefaultConfig().WatchersPerDomain {
				n.client.Outage(true) // the watchers lose the platform, but not their peers
			}
		}
		f.pass(2 * DefaultConfig().TakeoverAfter.Std())
		for range 10 { // others stand in, and go on doing so
			revision := f.write(testService("a"))
			f.pass(spreadBound)
			is.Equal(f.inForce(revision), 60)
		}
	})
}

// TestEmptyPlatformIsListedSeldom starts a fleet before its first service.
func TestEmptyPlatformIsListedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		f.addAll(12, 3)
		defer f.stop()
		f.pass(time.Minute)
		is.Equal(f.stale(), 0)
		is.True(f.platform.Calls("list") <= 12*60)
		revision := f.write(testService("a"))
		f.pass(spreadBound)
		is.Equal(f.inForce(revision), 12)
	})
}

func TestOutageOfThePlatform(t *testing.T) {
	inFleet(t, 12, 3, func(is *is.I, f *fleet) {
		cut := f.nodes[3]
		cut.client.Outage(true) // it has only its peers
		revision := f.write(testService("b"))
		f.pass(spreadBound)
		is.Equal(f.inForce(revision), 12)

		f.platform.Outage(true)
		f.pass(5 * time.Minute)
		is.Equal(f.stale(), 0) // the peers hear each other
		started := f.add("host-12", "domain-0")
		f.pass(spreadBound)
		is.Equal(started.catalog.Revision(), revision)
		is.True(!started.catalog.Stale())
		_, ok := started.catalog.Service("b")
		is.True(ok)

		f.platform.Outage(false)
		f.platform.Compact()
		revision = f.write(testService("c"))
		f.pass(spreadBound)
		is.Equal(f.inForce(revision), 13)
	})
}

// TestInForceAsksHostsThatReportLate has a membership that reports no revision
// at all: the hosts are asked themselves, and one that is cut off is missing.
func TestInForceAsksHostsThatReportLate(t *testing.T) {
	inFleet(t, 12, 3, func(is *is.I, f *fleet) {
		f.reportNothing = true
		revision := f.write(testService("a"))
		f.pass(spreadBound)
		is.Equal(f.nodes[0].catalog.InForce(context.Background(), revision).On, 12)
		f.isolate(f.nodes[5].host.ID)
		is.Equal(f.nodes[0].catalog.InForce(context.Background(), revision).Missing, []string{f.nodes[5].host.ID})
	})
}

// A host that was suspended is stale at once, and fresh again once a question that it asked after it
// woke is answered.
func TestHostThatWasSuspendedIsStaleAndRecovers(t *testing.T) {
	inFleet(t, 12, 3, func(is *is.I, f *fleet) {
		machine, suspend := clock.Virtual()
		f.machine = machine
		woken := f.add("host-12", "domain-0")
		f.machine = nil
		f.pass(spreadBound)
		is.True(!woken.catalog.Stale())
		suspend(DefaultConfig().StaleAfter.Std() + time.Millisecond)
		is.True(woken.catalog.Stale())
		is.Equal(f.stale(), 1)
		f.pass(2 * DefaultConfig().PullInterval.Std())
		is.Equal(f.stale(), 0)
	})
}

func TestHostCutOffFromAllIsStaleAndRecovers(t *testing.T) {
	inFleet(t, 12, 3, func(is *is.I, f *fleet) {
		alone := f.nodes[5]
		f.isolate(alone.host.ID)
		alone.client.Outage(true)
		revision := f.write(testService("a"))
		f.pass(DefaultConfig().StaleAfter.Std() + time.Millisecond)
		is.True(alone.catalog.Stale())
		is.Equal(f.stale(), 1)
		is.Equal(f.inForce(revision), 11)
		report := f.nodes[0].catalog.InForce(context.Background(), revision)
		is.Equal(report.Of, 12)
		is.Equal(report.On, 11)
		is.Equal(report.Missing, []string{alone.host.ID})
		is.True(report.Revisions[alone.host.ID] < revision)

		alone.client.Outage(false) // the platform alone is enough
		f.pass(spreadBound)
		is.True(!alone.catalog.Stale())
		is.Equal(f.inForce(revision), 12)
	})
}

// TestNetworkFailureDuringOutage takes the platform down and every host from
// every other. All are stale; once most of them hear each other again, they
// go on without the platform, but a few of them alone do not.
func TestNetworkFailureDuringOutage(t *testing.T) {
	inFleet(t, 9, 3, func(is *is.I, f *fleet) {
		f.platform.Outage(true)
		f.scatter()
		f.pass(settled)
		is.Equal(f.stale(), 9)

		few := []string{f.nodes[0].host.ID, f.nodes[4].host.ID}
		f.mu.Lock()
		f.apart = func(a, b string) bool { return a != few[0] && a != few[1] || b != few[0] && b != few[1] }
		f.mu.Unlock()
		f.pass(settled)
		is.Equal(f.stale(), 9)

		f.isolate(few...)
		f.pass(settled)
		is.Equal(f.stale(), 2) // the few

		f.join()
		f.pass(settled)
		is.Equal(f.stale(), 0)
	})
}

// slow gives answers that arrive after the host was stopped for an hour.
type slow struct {
	Puller
	objstore.Store
}

func (s slow) Pull(ctx context.Context, address string, in *peerpb.PullRequest) (*peerpb.PullReply, error) {
	out, err := s.Puller.Pull(ctx, address, in)
	time.Sleep(time.Hour)
	return out, err
}

func (s slow) Watch(ctx context.Context, after revision.Revision, wait time.Duration, kinds ...string) (objstore.Listing, error) {
	l, err := s.Store.Watch(ctx, after, wait, kinds...)
	time.Sleep(time.Hour)
	return l, err
}

// TestWokenHostIsStaleUntilItHears stops a host while answers are under way.
// What it finds in its sockets when it wakes is old and doesn't count.
func TestWokenHostIsStaleUntilItHears(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		n, peer := f.nodes[0], f.nodes[1]
		ctx := f.t.Context()
		is.NoErr(n.catalog.Stop(ctx)) // its loops; the calls below are its only ones
		n.catalog.pull(ctx, peer.host)
		is.True(!n.catalog.Stale())

		n.catalog.puller = slow{Puller: n}
		n.catalog.pull(ctx, peer.host)
		is.True(n.catalog.Stale())

		n.catalog.store = slow{Store: n.client}
		is.NoErr(n.catalog.follow(ctx))
		is.True(n.catalog.Stale())

		n.catalog.puller = n
		revision := f.write(testService("a"))
		f.pass(spreadBound)
		n.catalog.pull(ctx, peer.host)
		is.True(!n.catalog.Stale())
		is.Equal(n.catalog.Revision(), revision)
	})
}

// TestPlatformThatWentBack restores an older platform under a running fleet.
func TestPlatformThatWentBack(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		revision := f.write(testService("b"))
		f.pass(spreadBound)
		f.platform.Reset()
		f.write(testService("a"))
		f.pass(settled)
		is.Equal(f.inForce(revision), 3) // fleet.check has seen none go back
	})
}

// A change that is accepted after the platform came back from an older copy is in force on every host, whatever revision
// it gets: below, at, or past that which hosts hold.
func TestChangeAfterThePlatformWentBackIsInForce(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		f.write(testService("b"))
		f.pass(spreadBound)
		older := f.platform.Copy()
		for _, name := range []string{"c", "d", "e"} {
			f.write(testService(name))
		}
		f.pass(spreadBound)
		f.platform.Restore(older)
		for i := range 6 {
			f.write(testService(fmt.Sprintf("new%d", i)))
			f.pass(spreadBound)
			for _, n := range f.nodes {
				_, known := n.catalog.Service(fmt.Sprintf("new%d", i))
				is.True(known)
			}
		}
	})
}

// What the platform lost of changes that were accepted stays in force, and is written again: hosts that hear only the
// platform find it.
func TestAcceptedChangesOutliveAnOlderCopy(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		operator := NewEditor(f.nodes[0].catalog)
		created, altered := testService("created"), testService("a")
		older := f.platform.Copy() // in which a was written by no operator
		is.Equal(operator.Change(f.t.Context(), Request{Verb: Create, Service: created}).Status, Accepted)
		for version := range uint64(3) {
			altered.Targets[0].Slots++
			r := operator.Change(f.t.Context(), Request{Verb: Alter, Service: altered, Version: 1 + version})
			is.Equal(r.Status, Accepted)
		}
		f.pass(spreadBound)
		f.platform.Restore(older)
		f.pass(200 * time.Millisecond)
		f.platform.Restore(older) // once more, before or after it was written again
		f.pass(spreadBound)
		f.add("starts", "domain-0")
		f.pass(settled)
		for _, n := range f.nodes {
			_, known := n.catalog.Service("created")
			is.True(known)
			now, _ := n.catalog.Service("a")
			is.Equal(now.Targets[0].Slots, altered.Targets[0].Slots)
		}
		is.Equal(len(f.platform.Objects(objstore.KindService)), 2)
	})
}

// A change that an operator makes before a lost one is written again counts: it was made on what the platform held.
func TestChangeOfTheOlderCopyStands(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		lost, made := testService("a"), testService("a")
		lost.Targets[0].Slots, made.Targets[0].Slots = 7, 9
		operator := f.operator(is)
		older := f.platform.Copy()
		is.Equal(operator.Change(f.t.Context(), Request{Verb: Alter, Service: lost, Version: 2}).Status, Accepted)
		f.pass(spreadBound)
		f.reachPlatform(false)
		f.scatter()
		f.platform.Restore(older)
		unaware := f.add("unaware", "domain-0") // of the change that was lost
		f.pass(spreadBound)
		is.Equal(NewEditor(unaware.catalog).Change(f.t.Context(), Request{Verb: Alter, Service: made, Version: 2}).Status, Accepted)
		f.reachPlatform(true)
		f.join()
		f.pass(settled)
		is.Equal(f.slots(is, "a"), made.Targets[0].Slots)
	})
}

// An operator whose change races with the one that is written again is told what came of it.
func TestChangeThatRacesALostOneIsToldTruly(t *testing.T) {
	inFleet(t, 3, 1, func(is *is.I, f *fleet) {
		lost, made := testService("a"), testService("a")
		lost.Targets[0].Slots, made.Targets[0].Slots = 7, 9
		operator := f.operator(is)
		older := f.platform.Copy()
		is.Equal(operator.Change(f.t.Context(), Request{Verb: Alter, Service: lost, Version: 2}).Status, Accepted)
		f.pass(spreadBound)
		f.platform.Restore(older)
		result := operator.Change(f.t.Context(), Request{Verb: Alter, Service: made, Version: 2})
		f.pass(settled)
		switch result.Status {
		case Accepted:
			is.Equal(f.slots(is, "a"), made.Targets[0].Slots)
		case Refused:
			is.Equal(f.slots(is, "a"), lost.Targets[0].Slots)
		default:
			f.t.Fatalf("the operator was told %v", result)
		}
	})
}

// reachPlatform lets all hosts reach the platform, or none.
func (f *fleet) reachPlatform(reach bool) {
	for _, n := range f.all() {
		n.client.Outage(!reach)
	}
}

// slots returns those of the first target of a service, which all hosts hold alike.
func (f *fleet) slots(is *is.I, service string) int {
	first, _ := f.nodes[0].catalog.Service(service)
	for _, n := range f.all() {
		s, known := n.catalog.Service(service)
		is.True(known)
		is.Equal(s.Targets[0].Slots, first.Targets[0].Slots)
	}
	return first.Targets[0].Slots
}

// operator returns an editor at one of the hosts, after a first change of service a.
func (f *fleet) operator(is *is.I) *Editor {
	e := NewEditor(f.nodes[0].catalog)
	is.Equal(e.Change(f.t.Context(), Request{Verb: Alter, Service: testService("a"), Version: 1}).Status, Accepted)
	f.pass(spreadBound)
	return e
}

// TestPullOverDRPC pulls between two hosts over real connections.
func TestPullOverDRPC(t *testing.T) {
	is := is.New(t)
	n := &node{f: newFleet(t), host: member.Host{ID: "asking"}}
	from := New(DefaultConfig(), n.f.platform.Client(), n, n, n, event.Discard(), nil)
	n.catalog = from
	is.NoErr(from.applyBatch(batch{complete: 7, revision: 5}, sourcePlatform))
	server, pool := peer.NewServer("127.0.0.1:0"), peer.NewPool()
	is.NoErr(peerpb.DRPCRegisterConfiguration(server, from))
	is.NoErr(server.Start(t.Context()))
	defer func() { _ = errors.Join(pool.Stop(context.Background()), server.Stop(context.Background())) }()

	asking := New(DefaultConfig(), n.f.platform.Client(), n, NewPeerPuller(pool), n, event.Discard(), nil)
	asking.pull(t.Context(), member.Host{ID: "answering", Peer: server.Addr()})
	is.Equal(asking.Revision(), uint64(5))
	is.True(asking.Stale()) // the answering host has heard nobody itself
}

func TestStalePeerWithoutConfigurationCountsForNothing(t *testing.T) {
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
