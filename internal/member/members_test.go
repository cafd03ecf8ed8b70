package member

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/objstore/objstoretest"
	"rhubarbwood.example/rhubarbwood/internal/peer/peerpb"
)

// startAll starts n hosts while the platform is down and waits until each lists
// all of them.
func startAll(t *testing.T, net *network, n int, prepare ...func(*Members)) []*Members {
	t.Helper()
	var all []*Members
	for i := range n {
		all = append(all, net.start(downStore{}, i, prepare...))
	}
	if took := waitUntil(time.Minute, func() bool { return allListAlive(all, n) }); took < 0 {
		t.Fatalf("not all hosts list each other after a minute")
	}
	return all
}

// waitUntil polls ok in virtual time, and returns how long it took to hold, or
// -1 if that took longer than limit.
func waitUntil(limit time.Duration, ok func() bool) time.Duration {
	const step = 10 * time.Millisecond
	for took := time.Duration(0); took <= limit; took += step {
		if ok() {
			return took
		}
		time.Sleep(step)
	}
	return -1
}

// holdsForAll reports whether ok holds for all of the views.
func holdsForAll(views []*Members, ok func(*Members) bool) bool {
	for _, m := range views {
		if !ok(m) {
			return false
		}
	}
	return true
}

// allListAlive reports whether each of the views lists n hosts, all of them
// alive.
func allListAlive(views []*Members, n int) bool {
	return holdsForAll(views, func(m *Members) bool {
		for _, h := range m.Hosts() {
			if h.State != Alive {
				return false
			}
		}
		return len(m.Hosts()) == n
	})
}

// allListState reports whether each of the views lists host i in the state.
func allListState(views []*Members, i int, s State) bool {
	return holdsForAll(views, func(m *Members) bool {
		h, _ := m.Lookup(name(i))
		return h.State == s
	})
}

// without returns all but the i-th.
func without(all []*Members, i int) []*Members {
	return append(append([]*Members{}, all[:i]...), all[i+1:]...)
}

// eventually fails the test unless ok holds within limit.
func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	took := waitUntil(limit, ok)
	if took < 0 {
		t.Fatalf("%s: not within %v", what, limit)
	}
	t.Logf("%s after %v", what, took)
}

// inBubble runs f with a network in a synctest bubble, in virtual time.
func inBubble(t *testing.T, f func(t *testing.T, net *network)) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		defer net.stopAll()
		f(t, net)
	})
}

func TestKilledHostIsDeadEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 9)
		net.kill(4)
		eventually(t, 10*time.Second, "dead everywhere", func() bool { return allListState(without(all, 4), 4, Dead) })
	})
}

func TestFrozenHostRefutesItsDeath(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		all := startAll(t, net, 9)
		before := all[4].Self()
		net.withLock(func() { net.frozen[address(4)] = true })
		eventually(t, 10*time.Second, "dead everywhere", func() bool { return allListState(without(all, 4), 4, Dead) })
		time.Sleep(time.Minute)
		net.withLock(func() { delete(net.frozen, address(4)) })
		eventually(t, 10*time.Second, "alive everywhere", func() bool { return allListAlive(all, 9) })
		is.Equal(all[4].Self().Incarnation, before.Incarnation) // it did not restart
	})
}

func TestGroupsCutFromEachOtherMeetAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 9)
		net.withLock(func() {
			for i := 5; i < 9; i++ {
				net.partition[address(i)] = 1
			}
		})
		eventually(t, 20*time.Second, "apart", func() bool { return allListAlive(all[:5], 5) && allListAlive(all[5:], 4) })
		time.Sleep(time.Hour)
		net.withLock(func() { clear(net.partition) })
		eventually(t, 20*time.Second, "together", func() bool { return allListAlive(all, 9) })
	})
}

func TestOnePathCutMakesNoSuspect(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		all := startAll(t, net, 5)
		net.withLock(func() { net.cutPaths[[2]string{address(1), address(2)}] = true })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			is.True(allListAlive(all, 5)) // indirect probes reach both hosts
		}
	})
}

// slowProber fails long after every timeout, as if this process had been paused
// during the probe.
type slowProber struct{}

func (slowProber) Probe(context.Context, string, *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	time.Sleep(time.Minute)
	return nil, errRefused
}

func TestProbeThatFailsOverAPauseMakesNoSuspect(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 2)
		stopped := New(DefaultConfig(), Host{ID: "stopped"}, downStore{}, slowProber{}, event.Discard(), nil)
		target := update{Host: all[1].Self()}
		stopped.apply(target, 0)
		stopped.probe(t.Context(), target)
		is.New(t).True(allListState([]*Members{stopped}, 1, Alive))
	})
}

func TestLeaveSpreads(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 48)
		all[7].Leave(context.Background())
		eventually(t, 3*time.Second, "leaving everywhere", func() bool { return allListState(all, 7, Leaving) })
		time.Sleep(time.Minute)
		is.New(t).True(allListState(all, 7, Leaving)) // it still answers probes, and no host lists it as alive or dead
		is.New(t).NoErr(all[7].Stop(context.Background()))
		eventually(t, 3*time.Second, "gone everywhere", func() bool { return allListState(without(all, 7), 7, Dead) })
	})
}

func TestLeaveReachesASmallFleetBeforeItReturns(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 9)
		all[7].Leave(context.Background())
		is.New(t).True(allListState(all, 7, Leaving))
	})
}

func TestHostWithoutFullListReceivesRecordsFromProbes(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 60)
		time.Sleep(time.Minute) // until no change is left to be sent
		late := net.start(downStore{}, 60, func(m *Members) {
			m.cfg.Seeds = nil
			never := fullSync{lastDue: time.Now().Add(time.Hour), lastAgreed: time.Now().Add(time.Hour)}
			m.ownDomainSync, m.otherDomainsSync = never, never // no full list: the records sent in rotation must suffice
		})
		is.New(t).Equal(len(late.Hosts()), 1)
		first := all[0].Self()
		late.mu.Lock()
		late.table.addUnconfirmed(first, time.Now(), late.rng)
		late.mu.Unlock()
		eventually(t, 15*time.Second, "lists nearly all", func() bool { return len(late.Hosts()) >= 58 })
	})
}

func TestManyHostsStartedAtOnceMeet(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		var all []*Members
		for i := range 100 {
			all = append(all, net.start(downStore{}, i))
		}
		eventually(t, 20*time.Second, "met", func() bool { return allListAlive(all, 100) })
	})
}

func TestListReceivedAtStartIsNotSentAsChanges(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		startAll(t, net, 20)
		late := net.start(downStore{}, 20)
		is.Equal(len(late.Hosts()), 21)
		late.mu.Lock()
		defer late.mu.Unlock()
		is.Equal(len(late.table.pendingUpdates()), 0) // else these records would displace recent changes in messages
	})
}

// revisions is a configuration that pulls the revision of the host passed to
// Hint.
type revisions struct {
	net   *network
	self  *Members
	value atomic.Uint64
}

func (r *revisions) Revision() uint64 { return r.value.Load() }

func (r *revisions) Hint(peer Host) {
	r.self.goroutines.Go(func() {
		time.Sleep(2 * oneWayLatency) // the pull
		r.set(r.net.host(peer.PeerAddress).revisions.Revision())
	})
}

func (r *revisions) set(v uint64) {
	for old := r.value.Load(); old < v; old = r.value.Load() {
		if r.value.CompareAndSwap(old, v) {
			r.self.Announce()
		}
	}
}

func TestRevisionReachesAllWithinASecond(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 60, func(m *Members) { m.SetRevisionSource(&revisions{net: net, self: m}) })
		all[17].revisions.(*revisions).set(42)
		eventually(t, time.Second, "in force everywhere", func() bool {
			return holdsForAll(all, func(m *Members) bool { return m.Self().Revision == 42 })
		})
		eventually(t, time.Minute, "listed everywhere as in force", func() bool {
			return holdsForAll(all, func(m *Members) bool {
				return !slices.ContainsFunc(m.Hosts(), func(h Host) bool { return h.Revision != 42 })
			})
		})
	})
}

func TestRestartUnderSlowClockIsAccepted(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		all := startAll(t, net, 5)
		before := all[3].Self().Incarnation
		net.kill(3)
		time.Sleep(time.Minute)
		all[3] = net.start(downStore{}, 3, func(m *Members) { m.self.Incarnation = 1 })
		eventually(t, 10*time.Second, "alive everywhere", func() bool { return allListAlive(all, 5) })
		is.New(t).True(all[3].Self().Incarnation > before)
	})
}

func TestAloneWithoutPlatformOrPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		m := net.start(downStore{}, 1)
		time.Sleep(time.Minute)
		is.Equal(len(m.Hosts()), 1)
		is.True(m.lastPeerContact().IsZero())
		other := net.start(downStore{}, 0) // the seed comes up
		eventually(t, 2*time.Second, "met", func() bool { return allListAlive([]*Members{m, other}, 2) })
		is.True(time.Since(m.lastPeerContact()) < time.Second)
	})
}

// A seed without power sends no reply, not even a refusal. Callers wait for the
// start, so the start must not wait for that seed.
func TestSeedWithoutPowerDoesNotHoldUpTheStart(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		net.withLock(func() { net.frozen[address(0)] = true })
		for i, holders := range []int{0, 8} {
			began := time.Now()
			m := net.start(downStore{}, i+1, func(m *Members) { m.cfg.RecordHolders = holders })
			is.True(time.Since(began) <= 2*maxJoinWait)
			is.Equal(m.Hosts()[0].ID, name(i+1))
		}
	})
}

// With RecordHolders set, few hosts use the platform for every fleet size, but
// a host that gets no reply from a seed finds the others there.
func TestFewHostsKeepARecord(t *testing.T) {
	inBubble(t, func(t *testing.T, net *network) {
		is := is.New(t)
		platform := objstoretest.New()
		few := func(m *Members) { m.cfg.RecordHolders = 3 }
		for i := range 20 {
			net.start(platform.Client(), i, few)
		}
		time.Sleep(2 * maxRecordJoinDelay)
		is.True(len(platform.Objects(objstore.KindMember)) >= 3)
		is.True(len(platform.Objects(objstore.KindMember)) < 8)
		net.withLock(func() { net.partition[address(0)] = 1 }) // the only seed
		last := net.start(platform.Client(), 20, few)
		eventually(t, 2*maxRecordJoinDelay, "others found", func() bool { return len(last.Hosts()) > 2 })
		eventually(t, 20*time.Second, "together", func() bool { return len(last.Hosts()) >= 20 })
	})
}
